// Subscriptions to the other controllers. Received updates are applied here and forwarded to the
// routers.

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

// listenToOthers maintains a subscription to every other controller. A controller outside the core
// subscribes to only one controller of the core.
func (c *Controller) listenToOthers(ctx context.Context) {
	have := map[string]context.CancelFunc{}
	loop.Every(ctx, 200*time.Millisecond, func() {
		want := c.wantedSubscriptions()
		for addr, wanted := range want {
			if wanted && have[addr] == nil {
				cctx, cancel := context.WithCancel(ctx)
				have[addr] = cancel
				go c.listenTo(cctx, addr)
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

// wantedSubscriptions returns the addresses of the controllers to subscribe to; the entry of this
// controller is false.
func (c *Controller) wantedSubscriptions() map[string]bool {
	want := map[string]bool{}
	all := c.monitor.Alive(messages.Controller)
	if !c.inCore(all) {
		if near := nearest(membership.Core(all), c.set.Zone); near != "" {
			want[near] = true
		}
		return want
	}
	for _, p := range all {
		want[p.Addr] = p.Addr != c.transport.Addr()
	}
	return want
}

// inCore reports whether this controller belongs to the core (see membership.Core).
func (c *Controller) inCore(all []messages.Peer) bool {
	for _, p := range membership.Core(all) {
		if p.Addr == c.transport.Addr() {
			return true
		}
	}
	return false
}

// nearest returns the address of the first controller of a zone, else of the first controller.
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

// listenTo runs the subscription to another controller until ctx ends.
func (c *Controller) listenTo(ctx context.Context, addr string) {
	runners := statesync.NewEntries() // replica of the records that the other publishes
	u := dissemination.Subscriber{
		Controller: true,
		Parents:    func() []string { return []string{addr} },
		SyncState:  func() messages.SyncState { return c.syncStateOf(addr, runners) },
		ApplyUpdate: func(_ string, f messages.Feed, _ []byte) *messages.SyncState {
			if c.takeFeed(addr, f, runners) {
				return nil
			}
			h := c.syncStateOf(addr, runners)
			return &h
		},
		Acked: func(int64) {}, ResendAll: func() {}, Counts: &c.counters.subscriptions,
		Unsubscribed: func(string) {
			c.feed.mu.Lock()
			c.feed.aggregate.Remove(addr)
			c.feed.mu.Unlock()
		},
	}
	u.Listen(ctx, c.transport)
	c.feed.malformed.Add(u.Malformed.Load())
}

// syncStateOf returns the cursors of this node in another controller's streams. The
// configuration and the leases are not requested; they are replicated by the registers.
func (c *Controller) syncStateOf(addr string, runners *statesync.Entries) messages.SyncState {
	f := &c.feed
	f.mu.Lock()
	h := messages.SyncState{Configuration: messages.Cursor{Epoch: routeconfig.Epoch, Version: never}}
	h.Registry.Epoch, h.Registry.Version = runners.Cursor()
	if l := f.aggregate.Sender(addr); l != nil {
		h.Loads.Epoch, h.Loads.Version = l.Cursor()
	}
	f.mu.Unlock()
	for range consensus.RegisterCount {
		h.Parts = append(h.Parts, never)
	}
	h.Cached = c.readers.Cursors()
	return h
}

// never is a version that no stream reaches: a stream with this cursor is not sent.
const never = 1 << 62

// pullNewer pulls the register versions of another controller that are newer than those here.
// A consensus round does not notify controllers outside the register's group.
func (c *Controller) pullNewer(addr string, versions []int64) {
	mine := c.publishedVersions()
	for p, v := range versions {
		if p < len(mine) && v > mine[p] {
			go func() { _ = c.registers.CatchUp(context.Background(), addr, p) }()
		}
	}
}

// takeRunners applies a change of another controller's runner records. It reports whether the change
// matched the replica of that stream.
func (c *Controller) takeRunners(delta messages.EntryChange, runners *statesync.Entries, nowUs int64) (fits bool) {
	f := &c.feed
	change := statesync.DecodeEntries(delta)
	f.mu.Lock()
	again := delta.Snapshot && runners.Epoch == delta.Epoch
	r := runners.Apply(change)
	fits = f.count(r, again)
	f.mu.Unlock()
	if r == statesync.DigestMismatch {
		return fits
	}
	merged, malformed := c.registry.MergeChange(change, nowUs)
	f.malformed.Add(int64(malformed))
	c.publishRunners(merged...)
	return fits
}

// takeFeed applies an update of another controller and queues it for the routers. It reports whether
// all deltas matched the local replicas.
func (c *Controller) takeFeed(addr string, in messages.Feed, runners *statesync.Entries) (fits bool) {
	now := c.clock()
	fits = true
	f := &c.feed
	c.pullNewer(addr, in.Versions)
	c.targets.observe(in.TargetAges, now)
	for _, delta := range in.Registry {
		fits = c.takeRunners(delta, runners, now) && fits
	}
	c.readers.Announce(in.PendingBlocks)
	var applied []messages.CachedChange
	for _, cached := range c.readers.Apply(in.Cached) {
		fits = f.count(cached.Result, cached.Again) && fits
		if cached.Result == statesync.Applied {
			applied = append(applied, cached.Change)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, delta := range in.Loads {
		known := f.aggregate.Sender(addr)
		again := delta.Snapshot && known != nil && known.Epoch == delta.Epoch
		fits = f.count(f.aggregate.Apply(addr, delta), again) && fits
	}
	f.toRouters.cached = append(f.toRouters.cached, applied...)
	f.toRouters.reports = append(f.toRouters.reports, in.Reports...)
	f.toRouters.pending = append(f.toRouters.pending, in.PendingBlocks...)
	if len(in.PendingBlocks) > 0 {
		f.wake()
	}
	return fits
}
