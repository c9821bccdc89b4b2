// Replication of draining and leaving. A runner whose draining or leaving was
// acknowledged relies on it: requests that reach it much later fail. So the
// acknowledgement waits for the other controllers, each of which notifies the routers
// below it: for a majority of the group in any case, from which the rest learn it, and
// for all that are reachable if they are quick.

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// drainWait bounds how long a runner's leaving waits for the other controllers.
// The runner itself waits a second before it calls another node.
const drainWait = 400 * time.Millisecond

// mostDrained bounds how many runners are remembered as told.
const mostDrained = 4096

// drained remembers what a majority has been told, so that a repeat costs nothing.
type drained struct {
	mu   sync.Mutex
	told map[string]bool
}

// drainKey tells a runner that drains from the same one gone.
func drainKey(n messages.RunnerRecord) string {
	if n.Gone {
		return n.ID + " gone"
	}
	return n.ID
}

func (t *drained) known(n messages.RunnerRecord) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told[drainKey(n)]
}

func (t *drained) note(n messages.RunnerRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil || len(t.told) >= mostDrained {
		t.told = map[string]bool{}
	}
	t.told[drainKey(n)] = true
}

// peerWord is a controller to be told; urgent ones are waited for.
type peerWord struct {
	addr   string
	urgent bool
}

// sendWord tells one controller and gives its identity as the acknowledgement.
type sendWord func(ctx context.Context, addr string) (member string, err error)

// spreadWord tells all peers. It ends once a majority of the group has it and all
// urgent peers have answered, or with ctx; it tells whether a majority has it.
func spreadWord(ctx context.Context, self string, group []string, peers []peerWord, send sendWord) bool {
	type ack struct {
		peer   peerWord
		member string
		err    error
	}
	acks := make(chan ack, len(peers))
	urgent := 0
	for _, p := range peers {
		if p.urgent {
			urgent++
		}
		go func() {
			member, err := send(ctx, p.addr)
			acks <- ack{p, member, err}
		}()
	}
	has := map[string]bool{self: true}
	enough := func() bool { return lease.Majority(group, func(m string) bool { return has[m] }) }
	for left := len(peers); left > 0 && (urgent > 0 || !enough()); left-- {
		select {
		case a := <-acks:
			if a.peer.urgent {
				urgent--
			}
			if a.err == nil {
				has[a.member] = true
			}
		case <-ctx.Done():
			return enough()
		}
	}
	return enough()
}

// spreadLeaving tells the core that a runner drains or is gone, and whether a
// majority has acknowledged it, now or earlier.
func (d *Controller) spreadLeaving(ctx context.Context, n messages.RunnerRecord) bool {
	if d.drained.known(n) {
		return true
	}
	var peers []peerWord
	for _, p := range membership.Core(d.monitor.Alive(messages.Controller)) {
		if p.Addr != d.transport.Addr() {
			peers = append(peers, peerWord{p.Addr, !d.calm.isCut(p.Addr)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, drainWait)
	defer cancel()
	if !spreadWord(ctx, d.registers.ID(), d.configGroup(), peers, d.sendLeaving(n)) {
		return false
	}
	d.drained.note(n)
	return true
}

func (d *Controller) sendLeaving(n messages.RunnerRecord) sendWord {
	return func(ctx context.Context, addr string) (string, error) {
		b, err := d.transport.Call(ctx, addr, transport.KindDraining, &n)
		if err != nil {
			return "", err
		}
		var m messages.Member
		if _, err := m.UnmarshalMsg(b); err != nil {
			return "", errors.Wrap(err, "controller: acknowledgement")
		}
		return m.ID, nil
	}
}

// hearLeaving takes another controller's word that a runner drains or is gone,
// sends it down its own tree and acknowledges it by its identity.
func (d *Controller) hearLeaving(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var n messages.RunnerRecord
	if _, err := n.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	if d.takeLeaving(n) {
		d.tellRunners(n.ID)
	}
	self := messages.Member{ID: d.registers.ID(), Addr: d.transport.Addr()}
	return self.MarshalMsg(nil)
}

// takeLeaving notes what a runner has said of itself, whatever its beats said since
// and whatever the other controller believes of it.
func (d *Controller) takeLeaving(n messages.RunnerRecord) (changed bool) {
	if n.Gone {
		_, changed = d.registry.Leave(n.ID, d.clock())
		return changed
	}
	n.Stale, n.Lost = false, false
	return d.registry.Merge(n, d.clock())
}
