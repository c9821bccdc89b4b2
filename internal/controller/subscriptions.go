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

// subscribeToPeers maintains a subscription to every other controller. A controller outside the core
// subscribes to only one controller of the core.
func (c *Controller) subscribeToPeers(ctx context.Context) {
	active := map[string]context.CancelFunc{}
	loop.Every(ctx, 200*time.Millisecond, func() {
		wantedSubscriptions := c.wantedSubscriptions()
		for addr, wanted := range wantedSubscriptions {
			if wanted && active[addr] == nil {
				cctx, cancel := context.WithCancel(ctx)
				active[addr] = cancel
				go c.subscribeTo(cctx, addr)
			}
		}
		for addr, cancel := range active {
			if !wantedSubscriptions[addr] {
				cancel()
				delete(active, addr)
			}
		}
	})
}

// wantedSubscriptions returns the addresses of the controllers to subscribe to; the entry of this
// controller is false.
func (c *Controller) wantedSubscriptions() map[string]bool {
	want := map[string]bool{}
	controllers := c.monitor.Alive(messages.Controller)
	if !c.inCore(controllers) {
		if parent := nearest(membership.CountedControllers(controllers), c.set.Zone); parent != "" {
			want[parent] = true
		}
		return want
	}
	for _, p := range controllers {
		want[p.Addr] = p.Addr != c.transport.Addr()
	}
	return want
}

// inCore reports whether this controller belongs to the core (see membership.CountedControllers).
func (c *Controller) inCore(controllers []messages.Peer) bool {
	for _, p := range membership.CountedControllers(controllers) {
		if p.Addr == c.transport.Addr() {
			return true
		}
	}
	return false
}

// nearest returns the address of the first controller of a zone, else of the first controller.
func nearest(controllers []messages.Peer, zone string) string {
	for _, p := range controllers {
		if p.Zone == zone {
			return p.Addr
		}
	}
	if len(controllers) > 0 {
		return controllers[0].Addr
	}
	return ""
}

// subscribeTo runs the subscription to another controller until ctx ends.
func (c *Controller) subscribeTo(ctx context.Context, addr string) {
	replica := statesync.NewEntries() // replica of the records that the other publishes
	subscriber := dissemination.Subscriber{
		Controller: true,
		Parents:    func() []string { return []string{addr} },
		SyncState:  func() messages.SyncState { return c.syncStateOf(addr, replica) },
		ApplyUpdate: func(_ string, f messages.Feed, _ []byte) *messages.SyncState {
			if c.applyFeed(addr, f, replica) {
				return nil
			}
			h := c.syncStateOf(addr, replica)
			return &h
		},
		Acked: func(int64) {}, ResendAll: func() {}, Counts: &c.counters.subscriptions,
		Unsubscribed: func(string) {
			c.feed.mu.Lock()
			c.feed.aggregate.Remove(addr)
			c.feed.mu.Unlock()
		},
	}
	subscriber.Listen(ctx, c.transport)
	c.feed.malformed.Add(subscriber.Malformed.Load())
}

// syncStateOf returns the cursors of this node in another controller's streams. The
// configuration and the leases are not requested; they are replicated by the registers.
func (c *Controller) syncStateOf(addr string, replica *statesync.Entries) messages.SyncState {
	f := &c.feed
	f.mu.Lock()
	state := messages.SyncState{Configuration: messages.Cursor{Epoch: routeconfig.Epoch, Version: unreachableVersion}}
	state.Registry.Epoch, state.Registry.Version = replica.Cursor()
	if l := f.aggregate.Sender(addr); l != nil {
		state.Loads.Epoch, state.Loads.Version = l.Cursor()
	}
	f.mu.Unlock()
	for range consensus.RegisterCount {
		state.Parts = append(state.Parts, unreachableVersion)
	}
	state.Cached = c.readers.Cursors()
	return state
}

// unreachableVersion is a version that no stream reaches: a stream with this cursor is not sent.
const unreachableVersion = 1 << 62

// pullNewerVersions pulls the register versions of another controller that are newer than those
// here. A consensus round does not notify controllers outside the register's group.
func (c *Controller) pullNewerVersions(addr string, versions []int64) {
	mine := c.publishedVersions()
	for register, v := range versions {
		if register < len(mine) && v > mine[register] {
			go func() { _ = c.registers.CatchUp(context.Background(), addr, register) }()
		}
	}
}

// applyRunners applies a change of another controller's runner records. It reports whether the
// change matched the replica of that stream.
func (c *Controller) applyRunners(delta messages.EntryChange, replica *statesync.Entries, nowUs int64) (consistent bool) {
	f := &c.feed
	change := statesync.DecodeEntries(delta)
	f.mu.Lock()
	resync := delta.Snapshot && replica.Epoch == delta.Epoch
	result := replica.Apply(change)
	consistent = f.countResult(result, resync)
	f.mu.Unlock()
	if result == statesync.DigestMismatch {
		return consistent
	}
	merged, malformed := c.registry.MergeChange(change, nowUs)
	f.malformed.Add(int64(malformed))
	c.publishRunners(merged...)
	return consistent
}

// applyFeed applies an update of another controller and queues it for the routers. It reports
// whether all deltas matched the local replicas.
func (c *Controller) applyFeed(addr string, in messages.Feed, replica *statesync.Entries) (consistent bool) {
	now := c.clock()
	consistent = true
	f := &c.feed
	c.pullNewerVersions(addr, in.Versions)
	c.targets.mergeAges(in.TargetAges, now)
	for _, delta := range in.Registry {
		consistent = c.applyRunners(delta, replica, now) && consistent
	}
	c.readers.AddAnnounced(in.PendingBlocks)
	var applied []messages.CachedChange
	for _, cached := range c.readers.Apply(in.Cached) {
		consistent = f.countResult(cached.Result, cached.EpochKnown) && consistent
		if cached.Result == statesync.Applied {
			applied = append(applied, cached.Change)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, delta := range in.Loads {
		known := f.aggregate.Sender(addr)
		resync := delta.Snapshot && known != nil && known.Epoch == delta.Epoch
		consistent = f.countResult(f.aggregate.Apply(addr, delta), resync) && consistent
	}
	f.toRouters.cached = append(f.toRouters.cached, applied...)
	f.toRouters.reports = append(f.toRouters.reports, in.Reports...)
	f.toRouters.pending = append(f.toRouters.pending, in.PendingBlocks...)
	if len(in.PendingBlocks) > 0 {
		f.wake()
	}
	return consistent
}
