package simulation

import (
	"fmt"
	"time"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// Periods, timeouts and limits of a router.
const (
	joinPauseUs         = 50 * Millisecond
	dialWaitUs          = 250 * Millisecond
	subscribeWaitUs     = 600 * Millisecond
	subscriberTickUs    = 250 * Millisecond
	acceptAnyAfterUs    = 2_500 * Millisecond
	compareEveryUs      = convergeUs / dissemination.ComparisonIntervalDivisor
	compareWaitUs       = convergeUs / dissemination.ComparisonTimeoutDivisor
	overdueUs           = convergeUs / dissemination.OverdueDivisor
	deadAfterUs         = 1_200 * Millisecond // after which a silent process is considered dead
	corruptPerMille     = 2                   // share of changes that arrive with a wrong digest
	minRelayChildNumber = 3
)

// sink is the configuration side of a router. It forwards the feeds of its parent to its
// subscribers.
type sink struct {
	d            *distribution
	addr         string
	number       int
	process      *Process
	activeFaults int   // number of active faults
	lastFaultUs  int64 // when a fault last began or ended

	// The fields below are reset with each life of the process.
	replica             *routeconfig.Replica
	policy              dissemination.ParentPolicy
	pacer               dissemination.RequestPacer
	comparisons         *dissemination.Comparisons
	parent              *subscription
	joining             bool
	bootUs              int64
	lastFeedUs          int64 // when the last feed of a parent arrived
	lastConnectedFeedUs int64 // when the last feed arrived that was not marked as cut off
	subscribers         []*subscription
	inForce             int64 // the newest version that was in force in this life
}

func newSink(d *distribution, i int) *sink {
	return &sink{d: d, addr: fmt.Sprintf("r%d", i+1), number: i, process: NewProcess(d.kernel)}
}

func (r *sink) address() string { return r.addr }

func (r *sink) proc() *Process { return r.process }

func (r *sink) boot() {
	r.process.Start()
	r.replica, r.policy, r.pacer = routeconfig.NewReplica(), dissemination.ParentPolicy{}, dissemination.RequestPacer{}
	r.comparisons, r.parent, r.joining = dissemination.NewComparisons(r.d.kernel.Below(64)), nil, false
	r.bootUs, r.lastFeedUs, r.lastConnectedFeedUs, r.subscribers, r.inForce = r.process.NowUs(), 0, 0, nil, 0
	r.d.every(r.process, joinPauseUs, r.join)
	r.d.every(r.process, subscriberTickUs, r.tick)
	if !r.d.defects.SkipComparisons {
		r.d.every(r.process, compareEveryUs, r.compare)
	}
}

// preferredParents returns the preferred parents: for some routers a relay with a lower number,
// then the controllers in the order of the tree.
func (r *sink) preferredParents() []string {
	var out []string
	if r.number >= minRelayChildNumber && r.number%2 == 0 {
		if relay := r.d.routers[r.number/2]; r.d.isSeenAlive(relay.process, relay.lastFaultUs) {
			out = append(out, relay.addr)
		}
	}
	var peers []messages.Peer
	for _, c := range r.d.controllers {
		if r.d.isSeenAlive(c.process, c.downUs) {
			peers = append(peers, messages.Peer{Addr: c.addr, Zone: "a", Counted: true})
		}
	}
	return append(out, dissemination.Parents(r.addr, "a", peers, nil)...)
}

// isSeenAlive reports whether other processes consider a process alive.
func (d *distribution) isSeenAlive(p *Process, sinceUs int64) bool {
	return p.Up() && !p.frozen || d.kernel.NowUs()-sinceUs < deadAfterUs
}

func (d *distribution) nodeAt(addr string) node {
	for _, c := range d.controllers {
		if c.addr == addr {
			return c
		}
	}
	for _, r := range d.routers {
		if r.addr == addr {
			return r
		}
	}
	return nil
}

func (r *sink) syncState() messages.SyncState {
	h := messages.SyncState{Configuration: r.replica.Cursor()}
	h.Anything = h.Configuration.Version == 0 && r.process.NowUs()-r.bootUs > acceptAnyAfterUs
	return h
}

// join tries to subscribe to a parent if there is none.
func (r *sink) join() {
	if r.parent != nil || r.joining {
		return
	}
	r.joining = true
	r.tryParents(r.policy.Order(r.preferredParents(), r.process.NowUs()))
}

func (r *sink) tryParents(parents []string) {
	if len(parents) == 0 {
		r.joining = false
		return
	}
	next := r.process.InLife(func() { r.tryParents(parents[1:]) })
	to := r.d.nodeAt(parents[0])
	r.dial(to, func(ok bool) {
		if !ok {
			next()
			return
		}
		sub := &subscription{d: r.d, parent: to, child: r, parentLife: to.proc().life, childLife: r.process.life, open: true}
		r.d.call(r.process, r.addr, to.proc(), to.address(), subscribeWaitUs, func() func() {
			if sub.parentLife != to.proc().life {
				return nil
			}
			to.subscribe(sub)
			h := r.syncState()
			r.d.step(to.proc(), func() { sub.push(to.feedSince(h)) })
			return func() { r.parent, r.lastFeedUs = sub, r.process.NowUs() }
		}, func(ok bool) {
			if !ok {
				sub.open = false
				next()
				return
			}
			r.joining = false
		})
	})
}

// dial opens a connection. The other machine accepts it even while its process is frozen or slow.
func (r *sink) dial(to node, ended func(bool)) {
	done := false
	inLife := r.process.InLife
	end := func(ok bool) {
		if !done {
			done = true
			ended(ok)
		}
	}
	r.d.network.Send(r.addr, to.address(), func() {
		up := to.proc().Up()
		r.d.network.Send(to.address(), r.addr, inLife(func() { r.d.step(r.process, func() { end(up) }) }))
	})
	r.process.After(dialWaitUs, func() { end(false) })
}

// tick leaves a parent that is silent, disconnected or no longer preferred.
func (r *sink) tick() {
	if r.parent == nil {
		return
	}
	nowUs := r.process.NowUs()
	addr := r.parent.parent.address()
	if !r.parent.open || r.policy.LeaveSilent(addr, nowUs-r.lastFeedUs, nowUs) || r.policy.ShouldMove(r.preferredParents(), addr, nowUs) {
		r.leave()
	}
}

func (r *sink) leave() {
	r.parent.open = false
	r.parent = nil
}

// receiveFeed forwards and applies a feed of the parent, and requests a delta if it is behind.
func (r *sink) receiveFeed(sub *subscription, f messages.Feed) {
	if r.parent != nil && r.parent != sub {
		return
	}
	nowUs := r.process.NowUs()
	r.lastFeedUs = nowUs
	if !f.CutOff {
		r.lastConnectedFeedUs = nowUs
	}
	r.subscribers = pushAll(r.subscribers, f)
	fits := r.applyFeed(f)
	if r.pacer.Due(!fits || r.replica.Version() < f.Versions[0], nowUs) {
		h := r.syncState()
		r.d.network.Send(r.addr, sub.parent.address(), func() {
			sub.parent.proc().Deliver(func() {
				r.d.step(sub.parent.proc(), func() { sub.push(sub.parent.feedSince(h)) })
			})
		})
	}
	if !f.CutOff || r.parent != sub {
		return
	}
	if h := r.syncState(); h.Configuration.Version == 0 && !h.Anything || r.policy.LeaveCutOff(sub.parent.address(), nowUs) {
		r.leave()
	}
}

// applyFeed applies the changes of a feed and checks the configuration in force afterwards.
func (r *sink) applyFeed(f messages.Feed) (fits bool) {
	fits = true
	for _, change := range f.Configuration {
		if r.d.kernel.Chance(corruptPerMille) {
			change.Digest++
		}
		result, _, err := r.replica.Apply(change)
		fits = fits && err == nil && (result == statesync.Applied || result == statesync.AlreadyApplied)
	}
	r.checkInForce()
	return fits
}

func (r *sink) feedSince(h messages.SyncState) messages.Feed {
	f := messages.Feed{Versions: []int64{r.replica.Version()}}
	if change, lacks := r.replica.DeltaSince(h.Configuration); lacks {
		f.Configuration = []messages.EntryChange{change}
	}
	return f
}

func (r *sink) subscribe(sub *subscription) { r.subscribers = append(r.subscribers, sub) }

// compare compares versions with controllers outside the tree.
func (r *sink) compare() {
	var alive []string
	for _, c := range r.d.controllers {
		if r.d.isSeenAlive(c.process, c.downUs) {
			alive = append(alive, c.addr)
		}
	}
	parent := ""
	if r.parent != nil {
		parent = r.parent.parent.address()
	}
	overdue := r.process.NowUs()-r.lastConnectedFeedUs > overdueUs
	for _, addr := range r.comparisons.Next(alive, parent, overdue) {
		r.compareWith(r.d.nodeAt(addr), overdue)
	}
}

func (r *sink) compareWith(to node, overdue bool) {
	begunUs := r.process.NowUs()
	var version int64
	ended := func(ok bool) { r.comparisons.RecordResult(to.address(), ok, true) }
	r.d.call(r.process, r.addr, to.proc(), to.address(), compareWaitUs, func() func() {
		f := to.feedSince(messages.SyncState{Configuration: messages.Cursor{Epoch: routeconfig.Epoch, Version: 1 << 62}})
		return func() { version = f.Versions[0] }
	}, func(ok bool) {
		leftUs := compareWaitUs - (r.process.NowUs() - begunUs)
		grace := compareEveryUs
		if overdue {
			grace = 0
		}
		due := r.comparisons.FetchDue([]int64{r.replica.Version()}, []int64{version}, time.Duration(grace)*time.Microsecond, r.process.NowUs())
		if !ok || !due || leftUs <= 0 || !r.comparisons.StartFetch() {
			ended(ok)
			return
		}
		h := messages.SyncState{Configuration: r.replica.Cursor()}
		r.d.call(r.process, r.addr, to.proc(), to.address(), leftUs, func() func() {
			f := to.feedSince(h)
			return func() { r.applyFeed(f) }
		}, func(ok bool) {
			r.comparisons.EndFetch()
			ended(ok)
		})
	})
}

// checkInForce checks the configuration in force: it is never older than before in the same
// life, was never rejected, and has exactly the routes of its version.
func (r *sink) checkInForce() {
	k, version := r.d.kernel, r.replica.Version()
	if version < r.inForce {
		k.Fail("%s goes back from version %d to %d", r.addr, r.inForce, version)
	}
	table := r.replica.Table()
	if version == r.inForce || table == nil {
		return
	}
	r.inForce = version
	if r.d.rejected[table.Version] {
		k.Fail("%s has configuration %d in force, which was refused", r.addr, table.Version)
		return
	}
	config, err := routeconfig.ParseAccepted(r.d.releases[version-1].submission.Raw)
	if err != nil || config.Version != table.Version {
		k.Fail("%s has configuration %d in force under version %d: %v", r.addr, table.Version, version, err)
		return
	}
	served := 0
	for _, route := range config.Routes {
		if got := table.Match(route.Host, route.Prefix); got == nil || got.Service != route.Service {
			k.Fail("%s does not serve route %s of version %d", r.addr, route.Name, version)
			return
		}
		served++
	}
	if got := table.Match("h", "/nothing/"); got != nil || served != len(config.Routes) {
		k.Fail("%s serves what version %d does not hold", r.addr, version)
	}
}

// checkDue checks that the router has the version that is due or a newer one, if it is in contact.
func (r *sink) checkDue(due int64) {
	inTouch := r.process.Up() && !r.process.frozen && r.activeFaults == 0 && r.d.kernel.NowUs()-r.lastFaultUs > contactBoundUs
	if inTouch && r.replica.Version() < due {
		parent := "nobody"
		if r.parent != nil {
			parent = r.parent.parent.address()
		}
		r.d.kernel.Fail("%s has version %d, below %s, more than %d us after version %d was acknowledged", r.addr, r.replica.Version(), parent, convergeUs, due)
	}
}
