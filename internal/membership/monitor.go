// Monitor drives a View over a Transport: it moves its time on, carries its probes
// and greets addresses that the settings or the disk name until one answers.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

const tickUs = 100_000

// Monitor is safe for concurrent use.
type Monitor struct {
	mu        sync.Mutex
	view      *View
	transport *transport.Transport
	clock     func() int64
	seeds     func() []string
}

// NewMonitor hangs the view's messages into the transport.
func NewMonitor(r *transport.Transport, self messages.Peer, clock func() int64, seeds func() []string) *Monitor {
	self.Life = 1 + rand.Int64N(1<<20)
	w := &Monitor{view: NewView(self, DefaultViewTimes, rand.IntN), transport: r, clock: clock, seeds: seeds}
	for _, kind := range []int{transport.KindProbe, transport.KindAck} {
		r.OnDatagram(kind, func(_ string, body []byte) {
			var p messages.Probe
			if _, err := p.UnmarshalMsg(body); err != nil {
				return
			}
			w.mu.Lock()
			out := w.view.Hear(kind, p, w.clock())
			w.mu.Unlock()
			w.send(out)
		})
	}
	return w
}

func (w *Monitor) send(list []Send) {
	for _, s := range list {
		w.transport.SendDatagram(s.To, s.Kind, &s.Msg)
	}
}

// Run ticks until ctx ends.
func (w *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(tickUs * time.Microsecond)
	defer t.Stop()
	for n := 0; ; n++ {
		w.mu.Lock()
		out := w.view.Tick(w.clock())
		if n%5 == 0 {
			for _, s := range w.seeds() {
				if s != w.transport.Addr() && !w.view.Knows(s) {
					out = append(out, w.view.Greet(s))
				}
			}
		}
		w.mu.Unlock()
		w.send(out)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Alive lists the live peers of a role.
func (w *Monitor) Alive(role messages.Role) []messages.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Alive(role)
}

// DeadForUs tells for how long a peer has been dead.
func (w *Monitor) DeadForUs(addr string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.DeadForUs(addr, w.clock())
}

// SetMemberID tells the others under which name this node keeps the registers.
func (w *Monitor) SetMemberID(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.SetMemberID(id)
}

// Version rises with every change of the view.
func (w *Monitor) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Version()
}
