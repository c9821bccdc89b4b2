// Zones that this router cannot reach (package reachability): their runners leave the choice
// together, without an attempt at each, and what has not begun there is sent elsewhere where it
// may be. The registry goes on listing them.

package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/reachability"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// zoneTick is the least time between two looks at the pings.
	zoneTick = 10 * time.Millisecond
	// zoneNodesInterval is how often the nodes to ping are brought up to date.
	zoneNodesInterval = time.Second
	// Each router pings every other zone; the time between two rounds grows with the fleet, or the
	// pings would grow with its square for each zone.
	zoneIdlePartUs = int64(2_000) // a router
	maxZoneIdleUs  = int64(600_000)
	// zoneNodeUs is for how long a node is pinged, where its zone has no other, that
	// membership takes for dead: behind a cut it takes all for dead.
	zoneNodeUs = int64(60_000_000)
)

// zonePings is safe for concurrent use.
type zonePings struct {
	router *Router

	mu      sync.Mutex // guards what follows; taken before the mutex of the admitter
	tracker *reachability.Tracker
	nodes   map[string]zoneNode // by address
	known   map[string]int64    // the unreachable zones, and since when, as last set
}

// zoneNode is a router of another zone.
type zoneNode struct {
	zone   string
	seenUs int64 // when membership last took it for alive
}

func newZonePings(c *Router) *zonePings {
	return &zonePings{router: c, tracker: reachability.NewTracker(reachability.DefaultConfig, rand.IntN), nodes: map[string]zoneNode{}}
}

// run works until ctx ends. It wakes when a ping is due, not all the time.
func (z *zonePings) run(ctx context.Context) {
	nodesDueUs := int64(0)
	for ctx.Err() == nil {
		if z.router.clock() >= nodesDueUs {
			z.updateNodes()
			nodesDueUs = z.router.clock() + zoneNodesInterval.Microseconds()
		}
		nextUs := z.tick()
		if nextUs == 0 || nextUs > nodesDueUs {
			nextUs = nodesDueUs
		}
		wait := time.Duration(nextUs-z.router.clock()) * time.Microsecond
		loop.Pause(ctx, max(wait, zoneTick))
	}
}

// updateNodes brings the nodes of the other zones up to date.
func (z *zonePings) updateNodes() {
	alive, nowUs := z.router.monitor.Alive(messages.Router), z.router.clock()
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, p := range alive {
		if p.Zone != z.router.set.Zone {
			z.nodes[p.Addr] = zoneNode{zone: p.Zone, seenUs: nowUs}
		}
	}
	var own []string
	for _, p := range alive {
		if p.Zone == z.router.set.Zone && p.Addr != z.router.transport.Addr() {
			own = append(own, p.Addr)
		}
	}
	z.tracker.SetOwnNodes(own)
	byZone, dead := map[string][]string{}, map[string][]string{}
	for addr, node := range z.nodes {
		switch {
		case node.seenUs == nowUs:
			byZone[node.zone] = append(byZone[node.zone], addr)
		case nowUs-node.seenUs > zoneNodeUs:
			delete(z.nodes, addr)
		default:
			dead[node.zone] = append(dead[node.zone], addr)
		}
	}
	for zone, addrs := range dead {
		if len(byZone[zone]) == 0 {
			byZone[zone] = addrs
		}
	}
	z.tracker.SetNodes(byZone)
	z.tracker.SetIdle(zoneIdleUs(len(alive)))
}

// zoneIdleUs is the time between two rounds of pings in a fleet of so many routers.
func zoneIdleUs(routers int) int64 {
	return min(max(int64(routers)*zoneIdlePartUs, reachability.DefaultConfig.IdleUs), maxZoneIdleUs)
}

// tick sends the pings that are due, and returns when it is next to be called; 0 where there is
// nobody to ping.
func (z *zonePings) tick() (nextUs int64) {
	z.mu.Lock()
	pings := z.tracker.Tick(z.router.clock())
	nextUs = z.tracker.NextUs()
	z.mu.Unlock()
	for _, p := range pings {
		z.router.transport.SendDatagram(p.To, transport.KindReachPing, &messages.ReachPing{Seq: p.Seq})
	}
	z.publish()
	return nextUs
}

// answer answers a ping.
func (z *zonePings) answer(from string, body []byte) {
	var ping messages.ReachPing
	if _, err := ping.UnmarshalMsg(body); err == nil {
		z.router.transport.SendDatagram(from, transport.KindReachAck, &ping)
	}
}

// acked takes an answer.
func (z *zonePings) acked(from string, body []byte) {
	var ping messages.ReachPing
	if _, err := ping.UnmarshalMsg(body); err != nil {
		return
	}
	z.mu.Lock()
	z.tracker.Acked(z.nodes[from].zone, ping.Seq, z.router.clock())
	z.mu.Unlock()
	z.publish()
}

// answered takes note that a runner of a zone has answered what it was asked at askedUs.
func (z *zonePings) answered(zone string, askedUs int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.tracker.Answered(zone, askedUs, z.router.clock())
}

// doubted returns how often silence of a zone was put down to this node.
func (z *zonePings) doubted() int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.tracker.Doubted()
}

// publish puts a change of the unreachable zones in force. The mutex is held until then: a later
// change is not overtaken by an earlier one.
func (z *zonePings) publish() {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.tracker.Unreachable()
	changed := len(now) != len(z.known)
	for zone := range now {
		_, before := z.known[zone]
		changed = changed || !before
	}
	if !changed {
		return
	}
	z.known = now
	c := z.router
	c.log.Info("unreachable zones", "zones", now)
	c.admissionMu.Lock()
	c.admission.SetUnreachable(now, c.clock())
	c.admissionMu.Unlock()
	c.wakeQueue()
}

// conditions are for the doctor.
func (z *zonePings) conditions() []messages.UnreachableZone {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []messages.UnreachableZone
	for zone, sinceUs := range z.known {
		out = append(out, messages.UnreachableZone{Zone: zone, SinceUs: z.router.clock() - sinceUs})
	}
	return out
}
