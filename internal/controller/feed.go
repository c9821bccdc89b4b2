// The feed is what a controller sends: to the routers all that it knows, to the other
// controllers what it is the first to know. Changes between two feeds are merged.
// Everything is sent as deltas; a receiver that lacks something names what it holds.

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

// How often changes of cached prefixes, reports and loads are sent: each update wakes every router,
// so the time grows with their number.
const (
	updateInterval    = 60 * time.Millisecond
	updatePart        = 400 * time.Microsecond // a router
	maxUpdateInterval = 120 * time.Millisecond
)

func (c *Controller) updatePause() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*updatePart, updateInterval), maxUpdateInterval)
}

// Least time between two updates where something is urgent: a change of runners or of
// the configuration, or a long prompt that has been sent to a runner. What is urgent
// grows with the number of nodes, so the pause does too, and what reaches a node does
// not.
const (
	urgentPausePart = 400 * time.Microsecond // a router
	minUrgentPause  = 2 * time.Millisecond
)

func (c *Controller) urgentPause() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*urgentPausePart, minUrgentPause), maxUpdateInterval)
}

// Least time between two sums of loads to the routers. In a large fleet nearly every
// runner's load changes within a few milliseconds, so each sum has most runners, and a
// relay sends a copy to each child: the time grows with the number of routers, or the
// sums fill the links of the relays and arrive late.
const (
	loadsPart  = 800 * time.Microsecond // a router
	loadsMost  = 240 * time.Millisecond
	loadsLeast = updateInterval
)

func (c *Controller) loadsPause() time.Duration {
	return min(max(time.Duration(len(c.monitor.Alive(messages.Router)))*loadsPart, loadsLeast), loadsMost)
}

// subtreeSender is the name of the nodes below this one in the sum of all.
const subtreeSender = "below"

type feed struct {
	mu            sync.Mutex
	registry      *statesync.Entries
	configuration *routeconfig.Replica
	parts         map[int]messages.RegisterUpdate
	subtree       *statesync.LoadSum // the nodes below this one
	aggregate     *statesync.LoadSum // those and the ones below the other controllers

	toControllers, toRouters outbox // to the other controllers, and to the routers
	urgent                   chan struct{}
	lastUpdateUs             int64 // when a feed last went out to everybody
	lastLoadsUs              int64 // when the loads last went out to the routers

	changes, snapshots, malformed atomic.Int64
}

// outbox is what waits to be sent.
type outbox struct {
	configuration []messages.EntryChange
	parts         []messages.RegisterUpdate
	cached        []messages.CachedChange
	reports       []messages.RunnerReport
	pending       []messages.CachedPrefixes
}

func (o *outbox) moveTo(f *messages.Feed) {
	f.Configuration, f.Parts, f.Cached, f.Reports, f.PendingBlocks = o.configuration, o.parts, o.cached, o.reports, o.pending
	*o = outbox{}
}

func (f *feed) init(epoch int64) {
	f.registry, f.configuration = statesync.NewEntries(), routeconfig.NewSource()
	epoch = epoch ^ time.Now().UnixNano()
	f.registry.Begin(epoch, 0)
	f.parts = map[int]messages.RegisterUpdate{}
	f.subtree, f.aggregate = statesync.NewLoadSum(epoch), statesync.NewLoadSum(epoch+1)
	f.urgent = make(chan struct{}, 1)
}

func (f *feed) wake() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// count counts results for the doctor; again is set for a snapshot of a known stream.
func (f *feed) count(r statesync.Result, again bool) (fits bool) {
	switch {
	case r == statesync.Applied && again:
		f.snapshots.Add(1)
	case r == statesync.Applied:
		f.changes.Add(1)
	}
	return r == statesync.Applied || r == statesync.AlreadyApplied
}

// versions are those of the published state: a version of a register without a body, or
// with only another group, is not published.
func (f *feed) versions() []int64 {
	out := make([]int64, consensus.RegisterCount)
	out[consensus.ConfigRegister] = f.configuration.Version()
	for p, n := range f.parts {
		out[p] = n.Version
	}
	return out
}

// publishedVersions are the versions that receivers are sent.
func (c *Controller) publishedVersions() []int64 {
	c.feed.mu.Lock()
	defer c.feed.mu.Unlock()
	return c.feed.versions()
}

// publishRunners sends the records of runners as the registry has them now.
func (c *Controller) publishRunners(ids ...string) {
	if len(ids) == 0 {
		return
	}
	f := &c.feed
	f.mu.Lock()
	err := c.registry.Publish(f.registry, ids...)
	f.mu.Unlock()
	if err != nil {
		c.log.Error(err, "a runner's record cannot be sent")
	}
	f.wake()
}

// syncRunners brings the published records to what the registry has: those recalled from
// disk are added, those that it has forgotten are deleted.
func (c *Controller) syncRunners() {
	c.feed.mu.Lock()
	defer c.feed.mu.Unlock()
	if err := c.registry.Sync(c.feed.registry); err != nil {
		c.log.Error(err, "a runner's record cannot be sent")
	}
}

// publishConfig puts a newly committed configuration into force here and sends what
// differs in it. Versions may be learned at the same time, in any order; an older
// one is left aside. A version of the register that only changes its group has no
// entries.
func (c *Controller) publishConfig(version int64, m api.Configuration) {
	entries, err := routeconfig.Entries(m)
	if err != nil {
		c.log.Error(err, "a committed configuration cannot be cut")
		return
	}
	t := routeconfig.Compile(m)
	f := &c.feed
	f.mu.Lock()
	if delta, newer := f.configuration.Commit(version, entries); newer {
		routeconfig.SetActive(&c.table, t)
		f.toControllers.configuration, f.toRouters.configuration = append(f.toControllers.configuration, delta), append(f.toRouters.configuration, delta)
	}
	f.mu.Unlock()
	f.wake()
}

func (c *Controller) publishPart(p messages.RegisterUpdate) {
	f := &c.feed
	f.mu.Lock()
	if f.parts[p.Part].Version < p.Version {
		f.parts[p.Part] = p
		f.toControllers.parts, f.toRouters.parts = append(f.toControllers.parts, p), append(f.toRouters.parts, p)
	}
	f.mu.Unlock()
	f.wake()
}

func (c *Controller) publishReport(n messages.RunnerReport) {
	f := &c.feed
	f.mu.Lock()
	f.toControllers.reports, f.toRouters.reports = append(f.toControllers.reports, n), append(f.toRouters.reports, n)
	f.mu.Unlock()
}

// publishCached sends a change of a runner's cached prefixes.
func (c *Controller) publishCached(change messages.CachedChange) {
	f := &c.feed
	f.mu.Lock()
	f.toControllers.cached, f.toRouters.cached = append(f.toControllers.cached, change), append(f.toRouters.cached, change)
	f.mu.Unlock()
}

// runFeed sends what waits, and an empty update from time to time, from which receivers
// know that this node is there and which versions it has.
func (c *Controller) runFeed(ctx context.Context) {
	for {
		select {
		case <-time.After(c.updatePause()):
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
	up := messages.Feed{Versions: f.versions(), StableForUs: c.stability.stableForUs(c.clock()), CutOff: cutOff}
	down := up
	f.toControllers.moveTo(&up)
	f.toRouters.moveTo(&down)
	if f.registry.Dirty() {
		delta := statesync.EncodeEntries(f.registry.Commit(f.registry.Version + 1))
		up.Registry, down.Registry = append(up.Registry, delta), append(down.Registry, delta)
	}
	if f.subtree.Total.Dirty() {
		delta := statesync.EncodeLoads(f.subtree.Total.Commit(f.subtree.Total.Version + 1))
		up.Loads = append(up.Loads, delta)
		f.aggregate.SyncFrom(subtreeSender, f.subtree.Total)
	}
	if now := c.clock(); f.aggregate.Total.Dirty() && now-f.lastLoadsUs >= c.loadsPause().Microseconds() {
		f.lastLoadsUs = now
		down.Loads = append(down.Loads, statesync.EncodeLoads(f.aggregate.Total.Commit(f.aggregate.Total.Version+1)))
	}
	rest := c.clock()-f.lastUpdateUs > idleIntervalUs
	if rest || len(down.Parts) > 0 {
		up.TargetAges = c.targets.ages(c.clock())
		down.TargetAges = up.TargetAges
	}
	if rest || hasContent(&up) {
		c.publisher.Publish(dissemination.ToControllers, up)
	}
	if rest || hasContent(&down) {
		c.publisher.Publish(dissemination.ToRouters, down)
	}
	if rest {
		f.lastUpdateUs = c.clock()
	}
}

// idleIntervalUs is how often an update is sent without news.
const idleIntervalUs = int64(dissemination.UpdateInterval/time.Microsecond) - 50_000

func hasContent(f *messages.Feed) bool {
	return len(f.Configuration)+len(f.Parts)+len(f.Registry)+len(f.Cached)+len(f.Reports)+len(f.Loads)+len(f.PendingBlocks) > 0
}

// deltaSince returns what a receiver needs: a router all of the state, a controller what
// this one is the first to know. Without the lease of contact, a router that has nothing
// yet gets nothing, since the state here may be old. It asks again, or finds a controller
// with the lease; if it finds none it says so (Anything), and then gets what there is.
// While this controller starts, only the configuration is withheld: records of runners
// are published as they arrive, and one that was missed at first would come late.
func (c *Controller) deltaSince(h messages.SyncState) messages.Feed {
	c.targets.observe(h.TargetAges, c.clock())
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
	for p, n := range f.parts {
		if p >= len(h.Parts) || h.Parts[p] < n.Version {
			out.Parts = append(out.Parts, n)
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

// loadsSince returns the change of the loads that a receiver lacks: a controller is sent
// those of the nodes below this one. The caller has the mutex.
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

// unsynced reports whether the receiver is a router without a configuration.
func unsynced(h messages.SyncState) bool { return !h.Controller && h.Configuration.Version == 0 }

// applyReport applies the loads of a node below.
func (c *Controller) applyReport(from string, t messages.LoadReport) bool {
	for _, id := range t.Absent {
		c.registry.MarkSuspect(id, c.silence())
	}
	c.readers.Announce(t.PendingBlocks)
	f := &c.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := true
	for _, delta := range t.Loads {
		r := f.subtree.Apply(from, delta)
		ok = ok && (r == statesync.Applied || r == statesync.AlreadyApplied)
	}
	f.toControllers.pending, f.toRouters.pending = append(f.toControllers.pending, t.PendingBlocks...), append(f.toRouters.pending, t.PendingBlocks...)
	if len(t.PendingBlocks) > 0 {
		f.wake()
	}
	return ok
}

func (c *Controller) removeSender(from string) {
	c.feed.mu.Lock()
	c.feed.subtree.Remove(from)
	c.feed.mu.Unlock()
}
