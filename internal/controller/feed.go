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
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// flushEvery is how often changes of kept prompts, reports and loads go out.
const flushEvery = 60 * time.Millisecond

// Least time between two sendings where something presses: a change of runners
// or configuration, or long prompts that have been sent to a runner. What presses
// grows with the number of nodes, so the pause does too, and what reaches a node
// does not.
const (
	pressPart  = 400 * time.Microsecond // a router
	pressLeast = 2 * time.Millisecond
)

func (d *Controller) pressPause() time.Duration {
	return min(max(time.Duration(len(d.monitor.Alive(messages.Router)))*pressPart, pressLeast), flushEvery)
}

// Least time between two sums of loads to the routers. In a large fleet nearly every
// runner's load changes within a few milliseconds, so each sum has most runners, and a
// relay sends a copy to each child: the time grows with the number of routers, or the
// sums fill the links of the relays and arrive late.
const (
	loadsPart  = 800 * time.Microsecond // a router
	loadsMost  = 240 * time.Millisecond
	loadsLeast = flushEvery
)

func (d *Controller) loadsPause() time.Duration {
	return min(max(time.Duration(len(d.monitor.Alive(messages.Router)))*loadsPart, loadsLeast), loadsMost)
}

// below is under which name the nodes below this one stand in the sum of all.
const below = "below"

type feed struct {
	mu            sync.Mutex
	registry      *statesync.Entries
	configuration *routeconfig.Replica
	parts         map[int]messages.PartNote
	below         *statesync.Sum // the nodes below this one
	all           *statesync.Sum // those and the ones below the other controllers

	own, down outbox // to the other controllers, and to the routers
	urgent    chan struct{}
	sentUs    int64 // when a feed last went out to everybody
	loadsUs   int64 // when the loads last went out to the routers

	changes, wholes, malformed atomic.Int64
}

// outbox is what waits to be sent.
type outbox struct {
	configuration []messages.EntryChange
	parts         []messages.PartNote
	kept          []messages.KeptChange
	reports       []messages.ReportNote
	coming        []messages.KeptNote
}

func (o *outbox) take(f *messages.Feed) {
	f.Configuration, f.Parts, f.Kept, f.Reports, f.Coming = o.configuration, o.parts, o.kept, o.reports, o.coming
	*o = outbox{}
}

func (f *feed) init(epoch int64) {
	f.registry, f.configuration = statesync.NewEntries(), routeconfig.NewSource()
	epoch = epoch ^ time.Now().UnixNano()
	f.registry.Begin(epoch, 0)
	f.parts = map[int]messages.PartNote{}
	f.below, f.all = statesync.NewSum(epoch), statesync.NewSum(epoch+1)
	f.urgent = make(chan struct{}, 1)
}

func (f *feed) hurry() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// count is for the doctor; again tells a whole of a stream that was held already.
func (f *feed) count(r statesync.Result, again bool) (fits bool) {
	switch {
	case r == statesync.Applied && again:
		f.wholes.Add(1)
	case r == statesync.Applied:
		f.changes.Add(1)
	}
	return r == statesync.Applied || r == statesync.Known
}

// versions are those of what is told: a version of a register that has no body,
// or only another group, is none to those below.
func (f *feed) versions() []int64 {
	out := make([]int64, consensus.Parts)
	out[consensus.ConfigPart] = f.configuration.Version()
	for p, n := range f.parts {
		out[p] = n.Version
	}
	return out
}

// told are the versions that those below are told.
func (d *Controller) told() []int64 {
	d.feed.mu.Lock()
	defer d.feed.mu.Unlock()
	return d.feed.versions()
}

// tellRunners sends the notes of runners as the registry has them now.
func (d *Controller) tellRunners(ids ...string) {
	if len(ids) == 0 {
		return
	}
	f := &d.feed
	f.mu.Lock()
	err := d.registry.Publish(f.registry, ids...)
	f.mu.Unlock()
	if err != nil {
		d.log.Error(err, "a runner's record cannot be sent")
	}
	f.hurry()
}

// syncRunners brings what is told of runners to what the registry holds: those
// recalled from disk go in, those it has forgotten go out.
func (d *Controller) syncRunners() {
	d.feed.mu.Lock()
	defer d.feed.mu.Unlock()
	if err := d.registry.Sync(d.feed.registry); err != nil {
		d.log.Error(err, "a runner's record cannot be sent")
	}
}

// publishConfig puts a newly committed configuration into force here and sends what
// differs in it. Versions may be learned at the same time, in any order; an older
// one is left aside. A version of the register that only changes its group has no
// entries.
func (d *Controller) publishConfig(version int64, m api.Configuration) {
	entries, err := routeconfig.Entries(m)
	if err != nil {
		d.log.Error(err, "a committed configuration cannot be cut")
		return
	}
	t := routeconfig.Compile(m)
	f := &d.feed
	f.mu.Lock()
	if c, newer := f.configuration.Commit(version, entries); newer {
		routeconfig.PutInForce(&d.table, t)
		f.own.configuration, f.down.configuration = append(f.own.configuration, c), append(f.down.configuration, c)
	}
	f.mu.Unlock()
	f.hurry()
}

func (d *Controller) tellPart(p messages.PartNote) {
	f := &d.feed
	f.mu.Lock()
	if f.parts[p.Part].Version < p.Version {
		f.parts[p.Part] = p
		f.own.parts, f.down.parts = append(f.own.parts, p), append(f.down.parts, p)
	}
	f.mu.Unlock()
	f.hurry()
}

func (d *Controller) tellReport(n messages.ReportNote) {
	f := &d.feed
	f.mu.Lock()
	f.own.reports, f.down.reports = append(f.own.reports, n), append(f.down.reports, n)
	f.mu.Unlock()
}

// shelve changes what a runner keeps, as its reader, and sends the change.
func (d *Controller) shelve(id string, change func(s *prefixindex.CachedPrefixes) messages.KeptChange) {
	d.kmu.Lock()
	c := change(d.kept.CachedPrefixes(id))
	d.kmu.Unlock()
	f := &d.feed
	f.mu.Lock()
	f.own.kept, f.down.kept = append(f.own.kept, c), append(f.down.kept, c)
	f.mu.Unlock()
}

// flushFeed sends what waits, and now and then an empty feed, by which those
// below know that this node is there and which versions it holds.
func (d *Controller) flushFeed(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-d.feed.urgent:
		case <-ctx.Done():
			return
		}
		d.flush()
		loop.Pause(ctx, d.pressPause())
	}
}

func (d *Controller) flush() {
	cutOff := d.cutOff()
	f := &d.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	up := messages.Feed{Versions: f.versions(), CalmUs: d.calm.forUs(d.clock()), CutOff: cutOff}
	down := up
	f.own.take(&up)
	f.down.take(&down)
	if f.registry.Dirty() {
		c := statesync.EncodeEntries(f.registry.Commit(f.registry.Version + 1))
		up.Registry, down.Registry = append(up.Registry, c), append(down.Registry, c)
	}
	if f.below.Total.Dirty() {
		c := statesync.EncodeLoads(f.below.Total.Commit(f.below.Total.Version + 1))
		up.Loads = append(up.Loads, c)
		f.all.Follow(below, f.below.Total)
	}
	if now := d.clock(); f.all.Total.Dirty() && now-f.loadsUs >= d.loadsPause().Microseconds() {
		f.loadsUs = now
		down.Loads = append(down.Loads, statesync.EncodeLoads(f.all.Total.Commit(f.all.Total.Version+1)))
	}
	rest := d.clock()-f.sentUs > restUs
	if rest || len(down.Parts) > 0 {
		up.TargetAges = d.targets.ages(d.clock())
		down.TargetAges = up.TargetAges
	}
	if rest || something(&up) {
		d.publisher.Publish(dissemination.ToControllers, up)
	}
	if rest || something(&down) {
		d.publisher.Publish(dissemination.ToRouters, down)
	}
	if rest {
		f.sentUs = d.clock()
	}
}

// restUs is how often a feed goes out though it has nothing to tell.
const restUs = int64(dissemination.UpdateInterval/time.Microsecond) - 50_000

func something(f *messages.Feed) bool {
	return len(f.Configuration)+len(f.Parts)+len(f.Registry)+len(f.Kept)+len(f.Reports)+len(f.Loads)+len(f.Coming) > 0
}

// since gives what a receiver lacks: a router of everything, a controller of what
// this one is the first to know. Without the lease, a router that holds nothing
// gets nothing: what is here may be old. It asks again, or finds a controller that
// has the lease; if it finds none it says so, and then gets what there is. While
// this controller starts, only the configuration is withheld: runners are told of
// as they come, and one that was missed at first would be asked for late.
func (d *Controller) since(h messages.Hold) messages.Feed {
	d.targets.observe(h.TargetAges, d.clock())
	out := messages.Feed{CalmUs: d.calm.forUs(d.clock()), CutOff: d.cutOff(), TargetAges: d.targets.ages(d.clock())}
	withheld := newcomer(h) && !h.Anything && !d.inContact()
	if withheld && !d.starting() {
		out.Versions = d.told()
		return out
	}
	f := &d.feed
	f.mu.Lock()
	out.Versions = f.versions()
	if c, lacks := f.configuration.DeltaSince(h.Configuration); lacks && !withheld {
		out.Configuration = append(out.Configuration, c)
	}
	for p, n := range f.parts {
		if p >= len(h.Parts) || h.Parts[p] < n.Version {
			out.Parts = append(out.Parts, n)
		}
	}
	if c, lacks := f.registry.DeltaSince(h.Registry.Epoch, h.Registry.Version); lacks && h.Registry.Epoch != -1 {
		out.Registry = append(out.Registry, statesync.EncodeEntries(c))
	}
	if !h.ConfigOnly {
		sum := f.all.Total
		if h.Controller {
			sum = f.below.Total
		}
		if c, lacks := sum.DeltaSince(h.Loads.Epoch, h.Loads.Version); lacks {
			out.Loads = append(out.Loads, statesync.EncodeLoads(c))
		}
	}
	f.mu.Unlock()
	if !h.ConfigOnly {
		d.kmu.Lock()
		out.Kept = d.kept.DeltasSince(h.Kept, func(id string) bool { return !h.Controller || d.readers[id] != nil })
		d.kmu.Unlock()
	}
	return out
}

// newcomer tells a router that has no configuration yet.
func newcomer(h messages.Hold) bool { return !h.Controller && h.Configuration.Version == 0 }

// toldBelow takes the loads of a node below.
func (d *Controller) toldBelow(from string, t messages.Told) bool {
	for _, id := range t.Absent {
		d.registry.Doubt(id, d.silence())
	}
	f := &d.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := true
	for _, c := range t.Loads {
		r := f.below.Apply(from, c)
		ok = ok && (r == statesync.Applied || r == statesync.Known)
	}
	f.own.coming, f.down.coming = append(f.own.coming, t.Coming...), append(f.down.coming, t.Coming...)
	if len(t.Coming) > 0 {
		f.hurry()
	}
	return ok
}

func (d *Controller) goneBelow(from string) {
	d.feed.mu.Lock()
	d.feed.below.Remove(from)
	d.feed.mu.Unlock()
}
