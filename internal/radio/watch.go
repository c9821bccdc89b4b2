// Watch drives a Crew over a Radio: it moves its time on, carries its probes
// and greets addresses that the settings or the disk name until one answers.
package radio

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/messages"
)

const tickUs = 100_000

// Watch is safe for concurrent use.
type Watch struct {
	mu    sync.Mutex
	crew  *Crew
	radio *Radio
	clock func() int64
	seeds func() []string
}

// NewWatch hangs the crew's messages into the radio.
func NewWatch(r *Radio, self messages.Peer, clock func() int64, seeds func() []string) *Watch {
	self.Life = 1 + rand.Int64N(1<<20)
	w := &Watch{crew: NewCrew(self, DefaultCrewTimes, rand.IntN), radio: r, clock: clock, seeds: seeds}
	for _, kind := range []int{KindProbe, KindAck} {
		r.OnCast(kind, func(_ string, body []byte) {
			var p messages.Probe
			if _, err := p.UnmarshalMsg(body); err != nil {
				return
			}
			w.mu.Lock()
			out := w.crew.Hear(kind, p, w.clock())
			w.mu.Unlock()
			w.send(out)
		})
	}
	return w
}

func (w *Watch) send(list []Send) {
	for _, s := range list {
		w.radio.Cast(s.To, s.Kind, &s.Msg)
	}
}

// Run ticks until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	t := time.NewTicker(tickUs * time.Microsecond)
	defer t.Stop()
	for n := 0; ; n++ {
		w.mu.Lock()
		out := w.crew.Tick(w.clock())
		if n%5 == 0 {
			for _, s := range w.seeds() {
				if s != w.radio.Addr() && !w.crew.Knows(s) {
					out = append(out, w.crew.Greet(s))
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
func (w *Watch) Alive(role messages.Role) []messages.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crew.Alive(role)
}

// DeadForUs tells for how long a peer has been dead.
func (w *Watch) DeadForUs(addr string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crew.DeadForUs(addr, w.clock())
}

// SetMemberID tells the others under which name this node keeps the registers.
func (w *Watch) SetMemberID(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crew.SetMemberID(id)
}

// Version rises with every change of the view.
func (w *Watch) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crew.Version()
}
