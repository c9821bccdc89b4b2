// Readers follow the cache events and reports of runners: one controller reads one
// runner, chosen by rendezvous hashing among the live controllers of the runner's
// zone, and sends the others what it has read. This file decides who reads what;
// cache_reader.go and report_reader.go read.

package controller

import (
	"context"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// readersStartAfterUs is how long a controller that has just started leaves the runners
// to the others: it goes on from what they have read, without fetching lists.
const readersStartAfterUs = 2_000_000

// wantReaders starts the readers of the runners that this controller reads, and stops
// those of all others.
func (c *Controller) wantReaders(ctx context.Context) {
	table := c.table.Load()
	if table == nil {
		return
	}
	alive := membership.Core(c.monitor.Alive(messages.Controller))
	if c.clock()-c.startUs < readersStartAfterUs {
		if len(alive) > 1 {
			return
		}
		alive = c.startPeers(alive)
	}
	wanted := map[string]messages.RunnerRecord{}
	for _, n := range c.readable(table) {
		if readerOf(n, alive) == c.transport.Addr() {
			wanted[n.ID] = n
		}
	}
	c.cachedMu.Lock()
	defer c.cachedMu.Unlock()
	c.stopReaders(wanted)
	for id, n := range wanted {
		if c.readers[id] == nil {
			c.startReader(ctx, n)
		}
	}
}

// startPeers returns among whom the runners are divided by a controller that has heard of no
// other one yet: the members of the configuration's register. After a loss of power of all, each
// would read all runners else, with two connections each.
func (c *Controller) startPeers(alive []messages.Peer) []messages.Peer {
	v, _ := c.registers.Committed(consensus.ConfigPart)
	if len(v.Group) < 2 {
		return alive
	}
	peers := make([]messages.Peer, 0, len(v.Group))
	for _, m := range v.Group {
		peers = append(peers, messages.Peer{Addr: m.Addr, Status: messages.Alive})
	}
	return peers
}

// readable returns the runners and stores that cache prefixes.
func (c *Controller) readable(table *routeconfig.Table) []messages.RunnerRecord {
	var out []messages.RunnerRecord
	for _, n := range c.registry.Snapshot().ByID {
		s := table.Service(n.Service)
		if s != nil && s.Engine.CacheTokens > 0 && !n.Stale {
			out = append(out, n)
		}
	}
	for _, store := range table.Stores {
		out = append(out, messages.RunnerRecord{ID: store.CacheStore, Addr: store.CacheStore, Zone: store.Zone})
	}
	return out
}

// stopReaders stops the readers that are not wanted. The caller holds cachedMu.
func (c *Controller) stopReaders(wanted map[string]messages.RunnerRecord) {
	for id, cancel := range c.readers {
		if _, ok := wanted[id]; ok {
			continue
		}
		cancel()
		delete(c.readers, id)
		delete(c.lastResponseUs, id)
	}
}

// startReader starts to read a runner or a store. The caller holds cachedMu.
func (c *Controller) startReader(ctx context.Context, n messages.RunnerRecord) {
	ctx, cancel := context.WithCancel(ctx)
	c.readers[n.ID] = cancel
	c.lastResponseUs[n.ID] = c.clock()
	go c.readCacheEvents(ctx, n)
	if n.Service != "" {
		go c.readReports(ctx, n)
	}
}

// readerOf returns the address of the controller that reads a runner: by rendezvous
// hashing among those of its zone, or among all if its zone has none.
func readerOf(n messages.RunnerRecord, alive []messages.Peer) string {
	inZone := func(p messages.Peer) bool { return p.Zone == n.Zone }
	if best := highestHash(n.ID, alive, inZone); best != "" {
		return best
	}
	return highestHash(n.ID, alive, func(messages.Peer) bool { return true })
}

func highestHash(id string, alive []messages.Peer, eligible func(messages.Peer) bool) string {
	best, top := "", uint64(0)
	for _, p := range alive {
		if p.Status != messages.Alive || !eligible(p) {
			continue
		}
		if v := statesync.HashText(p.Addr, id); best == "" || v > top {
			best, top = p.Addr, v
		}
	}
	return best
}
