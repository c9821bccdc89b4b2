package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// tickInterval is the time between two ticks while an acknowledgement or a refutation
	// is pending.
	tickInterval = 100 * time.Millisecond

	// joinInterval is the time between two join probes to the seeds that the view does not
	// contain yet.
	joinInterval = 500 * time.Millisecond

	minTickInterval = 10 * time.Millisecond

	// maxFirstIncarnation bounds the random incarnation that a node starts with.
	// The incarnation is not stored on disk; it is random so that a restarted node
	// differs from its previous process. If it is lower than the one its peers have
	// recorded, the node raises it above theirs once it receives their entry.
	maxFirstIncarnation = 1 << 20
)

// Monitor runs a View over the transport. It is safe for concurrent use.
type Monitor struct {
	transport *transport.Transport
	clock     func() int64    // microseconds, monotonic
	seeds     func() []string // addresses to join through

	mu   sync.Mutex // guards view
	view *View
}

// NewMonitor registers the handlers of the view's messages with the transport,
// which must not run yet. The clock returns microseconds; Run calls seeds.
func NewMonitor(trans *transport.Transport, self messages.Peer, clock func() int64, seeds func() []string) *Monitor {
	self.Incarnation = 1 + rand.Int64N(maxFirstIncarnation)
	m := &Monitor{transport: trans, clock: clock, seeds: seeds, view: NewView(self, DefaultConfig, rand.IntN)}
	for _, kind := range []int{transport.KindProbe, transport.KindAck, transport.KindPeerQuery, transport.KindPeerList} {
		trans.OnDatagram(kind, func(_ string, body []byte) { m.receive(kind, body) })
	}
	return m
}

// receive handles one datagram. A datagram that cannot be decoded is dropped, as if
// it had been lost.
func (m *Monitor) receive(kind int, body []byte) {
	var msg messages.Probe
	if _, err := msg.UnmarshalMsg(body); err != nil {
		return
	}
	m.mu.Lock()
	out := m.view.Receive(kind, msg, m.clock())
	m.mu.Unlock()
	m.send(out)
}

func (m *Monitor) send(datagrams []Datagram) {
	for _, d := range datagrams {
		m.transport.SendDatagram(d.To, d.Kind, &d.Msg)
	}
}

// Run advances the view until ctx ends. It sleeps until the next probe or timeout is due.
func (m *Monitor) Run(ctx context.Context) {
	nextJoinUs := m.clock()
	for ctx.Err() == nil {
		nowUs := m.clock()
		join := nowUs >= nextJoinUs
		if join {
			nextJoinUs = nowUs + joinInterval.Microseconds()
		}
		m.send(m.tick(join))
		loop.Pause(ctx, m.untilNextTick(nextJoinUs))
	}
}

// untilNextTick returns the time until the next tick.
func (m *Monitor) untilNextTick(nextJoinUs int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.AwaitingReply() {
		return tickInterval
	}
	return max(time.Duration(min(m.view.NextProbeUs(), nextJoinUs)-m.clock())*time.Microsecond, minTickInterval)
}

// tick advances the view. If join is set, it also probes the seeds that the view does not
// contain yet.
func (m *Monitor) tick(join bool) []Datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.view.Tick(m.clock())
	if !join {
		return out
	}
	for _, seed := range m.seeds() {
		if seed != m.transport.Addr() && !m.view.HasEntry(seed) {
			out = append(out, m.view.JoinProbe(seed))
		}
	}
	return out
}

// Alive returns the peers of a role that are alive or suspect, including the node
// itself, sorted by address.
func (m *Monitor) Alive(role messages.Role) []messages.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(role)
}

// DeadForUs returns for how many microseconds the peer at addr has been dead; see
// View.DeadForUs.
func (m *Monitor) DeadForUs(addr string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.DeadForUs(addr, m.clock())
}

// SetMemberID announces the ID under which this node stores the registers.
func (m *Monitor) SetMemberID(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetMemberID(id)
}

// Version returns a number that increases with every change of the view.
func (m *Monitor) Version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Version()
}
