// Package zoneping detects which zones this router cannot reach. A Prober pings routers of the
// other zones with datagrams and passes every change of the set of unreachable zones to a callback,
// with which the router excludes the runners of those zones. Package reachability decides which
// nodes are pinged and when a zone counts as unreachable.
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
	// minTickInterval is the minimum time between two calls of tick.
	minTickInterval = 10 * time.Millisecond
	// nodesInterval is the interval at which the nodes to ping are updated.
	nodesInterval = time.Second
	// Each router pings every other zone. The time between two rounds grows with the number of
	// routers; otherwise the pings that a zone receives would grow with the fleet without limit.
	idlePerRouterUs = int64(2_000) // per router
	maxIdleUs       = int64(600_000)
	// deadNodeTimeoutUs is the time for which a node that membership considers dead is still pinged
	// if its zone has no live one: during a partition membership considers all nodes of the zone
	// dead.
	deadNodeTimeoutUs = int64(60_000_000)
)

// Sender sends a datagram to another node (transport.Transport).
type Sender interface {
	SendDatagram(addr string, kind int, body msgp.Marshaler)
}

// Config holds the dependencies and parameters of a Prober. All fields are required.
type Config struct {
	// Addr and Zone are those of this router.
	Addr, Zone string
	Clock      func() int64 // microseconds, monotonic
	Log        logr.Logger
	Peers      Sender
	// Routers returns the routers that are alive, this one included.
	Routers func() []messages.Peer
	// SetUnreachable receives the unreachable zones after each change, with the time since when
	// each cannot be reached. It is called with the prober's mutex held, so that changes are
	// applied in order.
	SetUnreachable func(sinceUs map[string]int64)
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("zoneping: incomplete configuration")

// Prober pings the nodes of other zones and publishes which zones are unreachable. It is safe for
// concurrent use.
type Prober struct {
	config Config

	mu        sync.Mutex // guards what follows
	tracker   *reachability.Tracker
	nodes     map[string]node  // by address
	published map[string]int64 // unreachable zones as last published, with the time since when
}

// node is a router of another zone.
type node struct {
	zone        string
	lastAliveUs int64 // when membership last listed it as alive
}

// New returns a prober that considers all zones reachable.
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

// Run pings until ctx ends. It sleeps until the next ping is due.
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
		loop.Pause(ctx, max(wait, minTickInterval))
	}
}

// updateNodes updates the nodes to ping from the live routers. Dead nodes are pinged only in zones
// without a live one.
func (p *Prober) updateNodes() {
	alive, nowUs := p.config.Routers(), p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range alive {
		if peer.Zone != p.config.Zone {
			p.nodes[peer.Addr] = node{zone: peer.Zone, lastAliveUs: nowUs}
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
	for addr, n := range p.nodes {
		switch {
		case n.lastAliveUs == nowUs:
			byZone[n.zone] = append(byZone[n.zone], addr)
		case nowUs-n.lastAliveUs > deadNodeTimeoutUs:
			delete(p.nodes, addr)
		default:
			dead[n.zone] = append(dead[n.zone], addr)
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
	return min(max(int64(routers)*idlePerRouterUs, reachability.DefaultConfig.IdleUs), maxIdleUs)
}

// tick sends the pings that are due and returns the time at which it must be called next; 0 if
// there is no node to ping.
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

// HandleAck records the answer to a ping.
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

// RunnerAnswered records that a runner of a zone has answered a request that was sent at sentUs.
func (p *Prober) RunnerAnswered(zone string, sentUs int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordAnswer(zone, sentUs, p.config.Clock())
}

// DoubtedSilences returns how often the silence of a zone was attributed to this node or its link, because
// nodes of its own zone did not answer either.
func (p *Prober) DoubtedSilences() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.SuppressedCount()
}

// publish passes the unreachable zones on if they have changed. It holds the mutex during the
// callback, so that changes are applied in order.
func (p *Prober) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	unreachable := p.tracker.Unreachable()
	changed := len(unreachable) != len(p.published)
	for zone := range unreachable {
		_, wasPublished := p.published[zone]
		changed = changed || !wasPublished
	}
	if !changed {
		return
	}
	p.published = unreachable
	p.config.Log.Info("unreachable zones changed", "zones", unreachable)
	p.config.SetUnreachable(unreachable)
}

// Conditions returns the unreachable zones for the diagnostic report, each with the time for which
// it has been unreachable.
func (p *Prober) Conditions() []messages.UnreachableZone {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []messages.UnreachableZone
	for zone, sinceUs := range p.published {
		out = append(out, messages.UnreachableZone{Zone: zone, SinceUs: p.config.Clock() - sinceUs})
	}
	return out
}
