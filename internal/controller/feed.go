// The feed distributes state: to routers all of it, to the other controllers only what this
// controller received first. Changes between two updates are merged. State is sent as deltas;
// a receiver that has missed some sends its cursors and receives the difference.

package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// Interval between updates of cached prefixes, reports and loads. Each update wakes every router,
// so the interval grows with their number.
const (
	minUpdateInterval       = 60 * time.Millisecond
	updateIntervalPerRouter = 400 * time.Microsecond
	maxUpdateInterval       = 120 * time.Millisecond
)

func (c *Controller) updateInterval() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*updateIntervalPerRouter, minUpdateInterval), maxUpdateInterval)
}

// Minimum interval between two urgent updates, which carry a change of runners or of the
// configuration, or a long prompt that has been sent to a runner. The rate of urgent changes grows
// with the number of nodes, so the interval does too, which bounds the rate of updates per node.
const (
	urgentPausePerRouter = 400 * time.Microsecond
	minUrgentPause       = 2 * time.Millisecond
)

func (c *Controller) urgentPause() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*urgentPausePerRouter, minUrgentPause), maxUpdateInterval)
}

// Minimum interval between two load updates to the routers. In a large fleet nearly every runner's
// load changes within a few milliseconds, so each update contains most runners, and a relay sends
// a copy to each child. The interval grows with the number of routers; otherwise the updates
// saturate the links of the relays and arrive late.
const (
	loadsIntervalPerRouter = 800 * time.Microsecond
	maxLoadsInterval       = 240 * time.Millisecond
	minLoadsInterval       = minUpdateInterval
)

func (c *Controller) loadsInterval() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*loadsIntervalPerRouter, minLoadsInterval), maxLoadsInterval)
}

// subtreeSender is the sender ID of the subscribers below this controller in the total load sum.
const subtreeSender = "below"

type feed struct {
	mu            sync.Mutex
	registry      *statesync.Entries
	configuration *routeconfig.Replica
	registers     map[int]messages.RegisterUpdate
	subtree       *statesync.LoadSum // loads of the nodes below this one
	aggregate     *statesync.LoadSum // subtree plus the loads below the other controllers

	toControllers, toRouters outbox // updates pending for the other controllers and the routers
	urgent                   chan struct{}
	lastUpdateUs             int64 // when an update was last sent to all subscribers
	lastLoadsUs              int64 // when the loads were last sent to the routers

	changes, snapshots, malformed atomic.Int64
}

// outbox holds the changes that wait for the next update.
type outbox struct {
	configuration []messages.EntryChange
	registers     []messages.RegisterUpdate
	cached        []messages.CachedChange
	reports       []messages.RunnerReport
	pending       []messages.CachedPrefixes
}

func (o *outbox) moveTo(f *messages.Feed) {
	f.Configuration, f.Parts, f.Cached, f.Reports, f.PendingBlocks = o.configuration, o.registers, o.cached, o.reports, o.pending
	*o = outbox{}
}

func (f *feed) init(epoch int64) {
	f.registry, f.configuration = statesync.NewEntries(), routeconfig.NewSource()
	epoch = epoch ^ time.Now().UnixNano()
	f.registry.Begin(epoch, 0)
	f.registers = map[int]messages.RegisterUpdate{}
	f.subtree, f.aggregate = statesync.NewLoadSum(epoch), statesync.NewLoadSum(epoch+1)
	f.urgent = make(chan struct{}, 1)
}

func (f *feed) wake() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// countResult counts a result for the doctor command and reports whether the delta matched the local
// state. The flag is set for a snapshot of a stream that was already known.
func (f *feed) countResult(r statesync.Result, resync bool) (consistent bool) {
	switch {
	case r == statesync.Applied && resync:
		f.snapshots.Add(1)
	case r == statesync.Applied:
		f.changes.Add(1)
	}
	return r == statesync.Applied || r == statesync.AlreadyApplied
}

// versions returns the versions of the published registers: a version that has no body, or that
// changes only the group, is not published. The caller holds the mutex.
func (f *feed) versions() []int64 {
	out := make([]int64, consensus.RegisterCount)
	out[consensus.ConfigRegister] = f.configuration.Version()
	for register, update := range f.registers {
		out[register] = update.Version
	}
	return out
}

// publishedVersions returns the register versions that subscribers receive.
func (c *Controller) publishedVersions() []int64 {
	c.feed.mu.Lock()
	defer c.feed.mu.Unlock()
	return c.feed.versions()
}

// publishRunners publishes the current registry records of runners.
func (c *Controller) publishRunners(ids ...string) {
	if len(ids) == 0 {
		return
	}
	f := &c.feed
	f.mu.Lock()
	err := c.registry.Publish(f.registry, ids...)
	f.mu.Unlock()
	if err != nil {
		c.log.Error(err, "runner record cannot be published")
	}
	f.wake()
}

// syncRunners synchronizes the published records with the registry: records restored from disk are
// added, records that the registry has removed are deleted.
func (c *Controller) syncRunners() {
	c.feed.mu.Lock()
	defer c.feed.mu.Unlock()
	if err := c.registry.Sync(c.feed.registry); err != nil {
		c.log.Error(err, "runner record cannot be published")
	}
}

// publishConfig activates a newly committed configuration here and publishes the entries that
// changed. Versions may arrive concurrently and in any order; an older one is ignored. A
// version of the register that only changes its group has no changed entries.
func (c *Controller) publishConfig(version int64, config api.Configuration) {
	entries, err := routeconfig.Entries(config)
	if err != nil {
		c.log.Error(err, "committed configuration cannot be split into entries")
		return
	}
	table := routeconfig.Compile(config)
	f := &c.feed
	f.mu.Lock()
	if delta, newer := f.configuration.Commit(version, entries); newer {
		routeconfig.SetActive(&c.table, table)
		f.toControllers.configuration, f.toRouters.configuration = append(f.toControllers.configuration, delta), append(f.toRouters.configuration, delta)
	}
	f.mu.Unlock()
	f.wake()
}

func (c *Controller) publishRegister(update messages.RegisterUpdate) {
	f := &c.feed
	f.mu.Lock()
	if f.registers[update.Part].Version < update.Version {
		f.registers[update.Part] = update
		f.toControllers.registers, f.toRouters.registers = append(f.toControllers.registers, update), append(f.toRouters.registers, update)
	}
	f.mu.Unlock()
	f.wake()
}

func (c *Controller) publishReport(report messages.RunnerReport) {
	f := &c.feed
	f.mu.Lock()
	f.toControllers.reports, f.toRouters.reports = append(f.toControllers.reports, report), append(f.toRouters.reports, report)
	f.mu.Unlock()
}

// publishCached publishes a change of a runner's cached prefixes.
func (c *Controller) publishCached(change messages.CachedChange) {
	f := &c.feed
	f.mu.Lock()
	f.toControllers.cached, f.toRouters.cached = append(f.toControllers.cached, change), append(f.toRouters.cached, change)
	f.mu.Unlock()
}

// runFeed sends pending changes, and an empty update after an idle interval, which serves
// subscribers as a heartbeat and carries the versions of this node.
func (c *Controller) runFeed(ctx context.Context) {
	for {
		select {
		case <-time.After(c.updateInterval()):
		case <-c.feed.urgent:
		case <-ctx.Done():
			return
		}
		c.flush()
		loop.Pause(ctx, c.urgentPause())
	}
}

func (c *Controller) flush() {
	cutOff := c.cutOff()
	f := &c.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	controllerFeed := messages.Feed{Versions: f.versions(), StableForUs: c.stability.stableForUs(c.clock()), CutOff: cutOff}
	routerFeed := controllerFeed
	f.toControllers.moveTo(&controllerFeed)
	f.toRouters.moveTo(&routerFeed)
	if f.registry.Dirty() {
		delta := statesync.EncodeEntries(f.registry.Commit(f.registry.Version + 1))
		controllerFeed.Registry, routerFeed.Registry = append(controllerFeed.Registry, delta), append(routerFeed.Registry, delta)
	}
	if f.subtree.Total.Dirty() {
		delta := statesync.EncodeLoads(f.subtree.Total.Commit(f.subtree.Total.Version + 1))
		controllerFeed.Loads = append(controllerFeed.Loads, delta)
		f.aggregate.SyncFrom(subtreeSender, f.subtree.Total)
	}
	if now := c.clock(); f.aggregate.Total.Dirty() && now-f.lastLoadsUs >= c.loadsInterval().Microseconds() {
		f.lastLoadsUs = now
		routerFeed.Loads = append(routerFeed.Loads, statesync.EncodeLoads(f.aggregate.Total.Commit(f.aggregate.Total.Version+1)))
	}
	idle := c.clock()-f.lastUpdateUs > idleIntervalUs
	if idle || len(routerFeed.Parts) > 0 {
		controllerFeed.TargetAges = c.targets.ages(c.clock())
		routerFeed.TargetAges = controllerFeed.TargetAges
	}
	if idle || hasContent(&controllerFeed) {
		c.publisher.Publish(dissemination.ToControllers, controllerFeed)
	}
	if idle || hasContent(&routerFeed) {
		c.publisher.Publish(dissemination.ToRouters, routerFeed)
	}
	if idle {
		f.lastUpdateUs = c.clock()
	}
}

// idleIntervalUs is the interval after which an update is sent without changes.
const idleIntervalUs = int64(dissemination.UpdateInterval/time.Microsecond) - 50_000

func hasContent(f *messages.Feed) bool {
	return len(f.Configuration)+len(f.Parts)+len(f.Registry)+len(f.Cached)+len(f.Reports)+len(f.Loads)+len(f.PendingBlocks) > 0
}

// deltaSince returns the changes that a subscriber lacks: a router receives all state, a controller
// only what this one received first. Without the contact lease, a router that has no
// configuration yet receives no state, since the state here may be stale. It tries again or finds
// a controller that holds the lease; if it finds none it sets Anything and then receives the state
// as it is. While this controller starts, only the configuration is withheld: records of runners
// are published as they arrive, and a record missed in this response would be sent again only late.
func (c *Controller) deltaSince(h messages.SyncState) messages.Feed {
	c.targets.mergeAges(h.TargetAges, c.clock())
	out := messages.Feed{StableForUs: c.stability.stableForUs(c.clock()), CutOff: c.cutOff(), TargetAges: c.targets.ages(c.clock())}
	withheld := unsynced(h) && !h.Anything && !c.inContact()
	if withheld && !c.starting() {
		out.Versions = c.publishedVersions()
		return out
	}
	f := &c.feed
	f.mu.Lock()
	out.Versions = f.versions()
	if delta, lacks := f.configuration.DeltaSince(h.Configuration); lacks && !withheld {
		out.Configuration = append(out.Configuration, delta)
	}
	for register, update := range f.registers {
		if register >= len(h.Parts) || h.Parts[register] < update.Version {
			out.Parts = append(out.Parts, update)
		}
	}
	if delta, lacks := f.registry.DeltaSince(h.Registry.Epoch, h.Registry.Version); lacks && h.Registry.Epoch != -1 {
		out.Registry = append(out.Registry, statesync.EncodeEntries(delta))
	}
	if !h.ConfigOnly {
		out.Loads = f.loadsSince(h)
	}
	f.mu.Unlock()
	if !h.ConfigOnly {
		out.Cached = c.readers.DeltasSince(h.Cached, h.Controller)
	}
	return out
}

// loadsSince returns the load changes that a subscriber lacks; a controller receives only the loads
// of the nodes below this one. The caller holds the mutex.
func (f *feed) loadsSince(h messages.SyncState) []messages.LoadChange {
	sum := f.aggregate.Total
	if h.Controller {
		sum = f.subtree.Total
	}
	change, lacks := sum.DeltaSince(h.Loads.Epoch, h.Loads.Version)
	if !lacks {
		return nil
	}
	return []messages.LoadChange{statesync.EncodeLoads(change)}
}

// unsynced reports whether the subscriber is a router without a configuration.
func unsynced(h messages.SyncState) bool { return !h.Controller && h.Configuration.Version == 0 }

// applyReport applies the load report of a subscriber and reports whether its deltas matched the
// local state.
func (c *Controller) applyReport(from string, report messages.LoadReport) bool {
	for _, id := range report.Absent {
		c.registry.MarkSuspect(id, c.silenceLimits())
	}
	c.readers.AddAnnounced(report.PendingBlocks)
	f := &c.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := true
	for _, delta := range report.Loads {
		r := f.subtree.Apply(from, delta)
		ok = ok && (r == statesync.Applied || r == statesync.AlreadyApplied)
	}
	f.toControllers.pending, f.toRouters.pending = append(f.toControllers.pending, report.PendingBlocks...), append(f.toRouters.pending, report.PendingBlocks...)
	if len(report.PendingBlocks) > 0 {
		f.wake()
	}
	return ok
}

func (c *Controller) removeSender(from string) {
	c.feed.mu.Lock()
	c.feed.subtree.Remove(from)
	c.feed.mu.Unlock()
}
