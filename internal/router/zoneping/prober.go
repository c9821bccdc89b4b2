// Package zoneping finds out which zones this router cannot reach: a Prober pings routers of the
// other zones, as package reachability decides, and publishes every change.
package zoneping

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/reachability"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// minWait is the least time between two looks at the pings.
	minWait = 10 * time.Millisecond
	// nodesInterval is how often the nodes to ping are brought up to date.
	nodesInterval = time.Second
	// Each router pings every other zone; the time between two rounds grows with the fleet, or the
	// pings would grow with its square for each zone.
	idlePartUs = int64(2_000) // a router
	maxIdleUs  = int64(600_000)
	// deadNodeUs is for how long a node is pinged, where its zone has no other, that
	// membership takes for dead: behind a cut it takes all for dead.
	deadNodeUs = int64(60_000_000)
)

// Sender sends a datagram to another node (transport.Transport).
type Sender interface {
	SendDatagram(addr string, kind int, body msgp.Marshaler)
}

// Config is what a Prober is given. All fields are required.
type Config struct {
	// Addr and Zone are those of this router.
	Addr, Zone string
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Peers      Sender
	// Routers returns the routers that are alive, this one included.
	Routers func() []messages.Peer
	// SetUnreachable puts a change of the unreachable zones in force, with the time since when
	// each cannot be reached. It is called with the prober's mutex held, so that a later change
	// is not overtaken by an earlier one.
	SetUnreachable func(sinceUs map[string]int64)
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("zoneping: incomplete configuration")

// Prober is safe for concurrent use.
type Prober struct {
	config Config

	mu      sync.Mutex // guards what follows
	tracker *reachability.Tracker
	nodes   map[string]node  // by address
	known   map[string]int64 // the unreachable zones, and since when, as last set
}

// node is a router of another zone.
type node struct {
	zone   string
	seenUs int64 // when membership last took it for alive
}

// New returns a prober that takes all zones for reachable.
func New(config Config) (*Prober, error) {
	if config.Addr == "" || config.Clock == nil || config.Peers == nil || config.Routers == nil || config.SetUnreachable == nil {
		return nil, ErrConfig
	}
	return &Prober{
		config:  config,
		tracker: reachability.NewTracker(reachability.DefaultConfig, rand.IntN),
		nodes:   map[string]node{},
	}, nil
}

// Run works until ctx ends. It wakes when a ping is due, not all the time.
func (p *Prober) Run(ctx context.Context) {
	nodesDueUs := int64(0)
	for ctx.Err() == nil {
		if p.config.Clock() >= nodesDueUs {
			p.updateNodes()
			nodesDueUs = p.config.Clock() + nodesInterval.Microseconds()
		}
		nextUs := p.tick()
		if nextUs == 0 || nextUs > nodesDueUs {
			nextUs = nodesDueUs
		}
		wait := time.Duration(nextUs-p.config.Clock()) * time.Microsecond
		loop.Pause(ctx, max(wait, minWait))
	}
}

// updateNodes brings the nodes of the other zones up to date.
func (p *Prober) updateNodes() {
	alive, nowUs := p.config.Routers(), p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range alive {
		if peer.Zone != p.config.Zone {
			p.nodes[peer.Addr] = node{zone: peer.Zone, seenUs: nowUs}
		}
	}
	var own []string
	for _, peer := range alive {
		if peer.Zone == p.config.Zone && peer.Addr != p.config.Addr {
			own = append(own, peer.Addr)
		}
	}
	p.tracker.SetOwnNodes(own)
	byZone, dead := map[string][]string{}, map[string][]string{}
	for addr, known := range p.nodes {
		switch {
		case known.seenUs == nowUs:
			byZone[known.zone] = append(byZone[known.zone], addr)
		case nowUs-known.seenUs > deadNodeUs:
			delete(p.nodes, addr)
		default:
			dead[known.zone] = append(dead[known.zone], addr)
		}
	}
	for zone, addrs := range dead {
		if len(byZone[zone]) == 0 {
			byZone[zone] = addrs
		}
	}
	p.tracker.SetNodes(byZone)
	p.tracker.SetIdleInterval(idleUs(len(alive)))
}

// idleUs is the time between two rounds of pings in a fleet of so many routers.
func idleUs(routers int) int64 {
	return min(max(int64(routers)*idlePartUs, reachability.DefaultConfig.IdleUs), maxIdleUs)
}

// tick sends the pings that are due, and returns when it is next to be called; 0 where there is
// nobody to ping.
func (p *Prober) tick() (nextUs int64) {
	p.mu.Lock()
	pings := p.tracker.Tick(p.config.Clock())
	nextUs = p.tracker.NextUs()
	p.mu.Unlock()
	for _, ping := range pings {
		p.config.Peers.SendDatagram(ping.To, transport.KindReachPing, &messages.ReachPing{Seq: ping.Seq})
	}
	p.publish()
	return nextUs
}

// HandlePing answers a ping.
func (p *Prober) HandlePing(from string, body []byte) {
	var ping messages.ReachPing
	if _, err := ping.UnmarshalMsg(body); err == nil {
		p.config.Peers.SendDatagram(from, transport.KindReachAck, &ping)
	}
}

// HandleAck takes an answer.
func (p *Prober) HandleAck(from string, body []byte) {
	var ping messages.ReachPing
	if _, err := ping.UnmarshalMsg(body); err != nil {
		return
	}
	p.mu.Lock()
	p.tracker.RecordAck(p.nodes[from].zone, ping.Seq, p.config.Clock())
	p.mu.Unlock()
	p.publish()
}

// RunnerAnswered takes note that a runner of a zone has answered what it was asked at askedUs.
func (p *Prober) RunnerAnswered(zone string, askedUs int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordAnswer(zone, askedUs, p.config.Clock())
}

// Doubted returns how often silence of a zone was put down to this node.
func (p *Prober) Doubted() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.SuppressedCount()
}

// publish puts a change of the unreachable zones in force. The mutex is held until then: a later
// change is not overtaken by an earlier one.
func (p *Prober) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tracker.Unreachable()
	changed := len(now) != len(p.known)
	for zone := range now {
		_, before := p.known[zone]
		changed = changed || !before
	}
	if !changed {
		return
	}
	p.known = now
	p.config.Log.Info("unreachable zones", "zones", now)
	p.config.SetUnreachable(now)
}

// Conditions are for the doctor.
func (p *Prober) Conditions() []messages.UnreachableZone {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []messages.UnreachableZone
	for zone, sinceUs := range p.known {
		out = append(out, messages.UnreachableZone{Zone: zone, SinceUs: p.config.Clock() - sinceUs})
	}
	return out
}
