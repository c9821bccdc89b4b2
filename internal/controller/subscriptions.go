// Subscriptions to the other controllers: what this controller receives from them, and
// passes down to its routers.

package controller

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// listenToOthers keeps a subscription to every other controller; one that does
// not count, among others that do, listens to one of those only.
func (d *Controller) listenToOthers(ctx context.Context) {
	have := map[string]context.CancelFunc{}
	loop.Every(ctx, 200*time.Millisecond, func() {
		want := d.wantedSubscriptions()
		for addr, wanted := range want {
			if wanted && have[addr] == nil {
				cctx, cancel := context.WithCancel(ctx)
				have[addr] = cancel
				go d.listenTo(cctx, addr)
			}
		}
		for addr, cancel := range have {
			if !want[addr] {
				cancel()
				delete(have, addr)
			}
		}
	})
}

// wantedSubscriptions are the controllers to listen to.
func (d *Controller) wantedSubscriptions() map[string]bool {
	want := map[string]bool{}
	all := d.monitor.Alive(messages.Controller)
	if !d.inCore(all) {
		if near := nearest(membership.Core(all), d.set.Zone); near != "" {
			want[near] = true
		}
		return want
	}
	for _, p := range all {
		want[p.Addr] = p.Addr != d.transport.Addr()
	}
	return want
}

// inCore tells whether this controller counts, or nobody does.
func (d *Controller) inCore(all []messages.Peer) bool {
	for _, p := range membership.Core(all) {
		if p.Addr == d.transport.Addr() {
			return true
		}
	}
	return false
}

// nearest is the first of a zone, else the first of all.
func nearest(list []messages.Peer, zone string) string {
	for _, p := range list {
		if p.Zone == zone {
			return p.Addr
		}
	}
	if len(list) > 0 {
		return list[0].Addr
	}
	return ""
}

// listenTo keeps the subscription to one other controller.
func (d *Controller) listenTo(ctx context.Context, addr string) {
	runners := statesync.NewEntries() // as the other has them
	u := dissemination.Subscriber{
		Controller: true,
		Parents:    func() []string { return []string{addr} },
		SyncState:  func() messages.SyncState { return d.holdOf(addr, runners) },
		ApplyUpdate: func(_ string, f messages.Feed, _ []byte) *messages.SyncState {
			if d.takeFeed(addr, f, runners) {
				return nil
			}
			h := d.holdOf(addr, runners)
			return &h
		},
		Acked: func(int64) {}, ResendAll: func() {}, Counts: &d.counters.subscriptions,
		Unsubscribed: func(string) {
			d.feed.mu.Lock()
			d.feed.aggregate.Remove(addr)
			d.feed.mu.Unlock()
		},
	}
	u.Listen(ctx, d.transport)
	d.feed.malformed.Add(u.Malformed.Load())
}

// holdOf names what this node holds of another's streams. The configuration and
// the parts come through the registers.
func (d *Controller) holdOf(addr string, runners *statesync.Entries) messages.SyncState {
	f := &d.feed
	f.mu.Lock()
	h := messages.SyncState{Configuration: messages.Cursor{Epoch: routeconfig.Epoch, Version: never}}
	h.Registry.Epoch, h.Registry.Version = runners.Cursor()
	if l := f.aggregate.Sender(addr); l != nil {
		h.Loads.Epoch, h.Loads.Version = l.Cursor()
	}
	f.mu.Unlock()
	for range consensus.Parts {
		h.Parts = append(h.Parts, never)
	}
	d.cachedMu.Lock()
	h.Cached = d.cached.Cursors()
	d.cachedMu.Unlock()
	return h
}

// never is a version that is not reached: what is held under it is not sent.
const never = 1 << 62

// pullNewer learns at once of a version that another controller has and this one
// has not: one that is not in the group is not told by the round itself.
func (d *Controller) pullNewer(addr string, versions []int64) {
	mine := d.publishedVersions()
	for p, v := range versions {
		if p < len(mine) && v > mine[p] {
			go func() { _ = d.registers.Pull(context.Background(), addr, p) }()
		}
	}
}

// takeRunners takes a change of another controller's list of runners. It reports whether it
// fits the state that is held of it.
func (d *Controller) takeRunners(c messages.EntryChange, runners *statesync.Entries, nowUs int64) (fits bool) {
	f := &d.feed
	change := statesync.DecodeEntries(c)
	f.mu.Lock()
	again := c.Snapshot && runners.Epoch == c.Epoch
	r := runners.Apply(change)
	fits = f.count(r, again)
	f.mu.Unlock()
	if r == statesync.Mismatch {
		return fits
	}
	merged, malformed := d.registry.MergeChange(change, nowUs)
	f.malformed.Add(int64(malformed))
	d.publishRunners(merged...)
	return fits
}

// takeFeed takes what another controller is the first to know and passes it down.
func (d *Controller) takeFeed(addr string, in messages.Feed, runners *statesync.Entries) (fits bool) {
	now := d.clock()
	fits = true
	f := &d.feed
	d.pullNewer(addr, in.Versions)
	d.targets.observe(in.TargetAges, now)
	for _, c := range in.Registry {
		fits = d.takeRunners(c, runners, now) && fits
	}
	var kept []messages.CachedChange
	d.cachedMu.Lock()
	d.sharedKeys.Announce(in.PendingBlocks)
	for _, c := range in.Cached {
		if d.readers[c.ID] != nil {
			continue
		}
		again := c.Snapshot && d.cached.CachedPrefixes(c.ID).Epoch == c.Epoch
		r := d.cached.Apply(c)
		fits = f.count(r, again) && fits
		if r == statesync.Applied {
			kept = append(kept, c)
		}
	}
	d.cachedMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range in.Loads {
		held := f.aggregate.Sender(addr)
		again := c.Snapshot && held != nil && held.Epoch == c.Epoch
		fits = f.count(f.aggregate.Apply(addr, c), again) && fits
	}
	f.toRouters.kept = append(f.toRouters.kept, kept...)
	f.toRouters.reports = append(f.toRouters.reports, in.Reports...)
	f.toRouters.coming = append(f.toRouters.coming, in.PendingBlocks...)
	if len(in.PendingBlocks) > 0 {
		f.wake()
	}
	return fits
}
