// Replication of draining and leaving. A runner stops serving after its draining or leaving was
// acknowledged, so requests that arrive much later fail. The acknowledgement therefore waits for
// the other controllers, each of which notifies its routers: always for a majority of the group,
// from which the others receive the record, and for all reachable controllers up to a timeout. A
// controller with a disk acknowledges once the record is on it (drainstore), since a runner that has
// left does not repeat the call after a restart of the core.

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/controller/drainstore"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// drainTimeout bounds how long the acknowledgement of a runner's leaving waits for the
// other controllers. The runner itself waits a second before it calls another node.
const drainTimeout = 400 * time.Millisecond

// maxAckedDrains bounds how many drains are recorded as acknowledged by a majority.
const maxAckedDrains = 4096

// ackedDrains records the drains that a majority has acknowledged, so that a repeated call
// is not replicated again. The zero value is ready for use; it is safe for concurrent use.
type ackedDrains struct {
	store *drainstore.Store // nil on machines without a disk

	mu    sync.Mutex // guards acked
	acked map[string]bool
}

// drainKey distinguishes a runner that drains from the same one gone.
func drainKey(n messages.RunnerRecord) string {
	if n.Gone {
		return n.ID + " gone"
	}
	return n.ID
}

func (a *ackedDrains) contains(n messages.RunnerRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acked[drainKey(n)]
}

func (a *ackedDrains) add(n messages.RunnerRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || len(a.acked) >= maxAckedDrains {
		a.acked = map[string]bool{}
	}
	a.acked[drainKey(n)] = true
}

// drainPeer is a controller to be notified. The response of a required one is awaited even after
// a majority has acknowledged.
type drainPeer struct {
	addr     string
	required bool
}

// notifyPeer notifies the controller at addr and returns the ID of the member that
// acknowledged.
type notifyPeer func(ctx context.Context, addr string) (member string, err error)

// replicate notifies all peers at once. It returns once a majority of the group has
// acknowledged and all required peers have answered, or when ctx ends, and reports
// whether a majority has acknowledged. A member given as self counts as acknowledged.
func replicate(ctx context.Context, self string, group []string, peers []drainPeer, notify notifyPeer) bool {
	acks := notifyAll(ctx, peers, notify)
	acked := map[string]bool{self: true}
	hasMajority := func() bool { return lease.Majority(group, func(m string) bool { return acked[m] }) }
	required := countRequired(peers)
	for outstanding := len(peers); outstanding > 0 && (required > 0 || !hasMajority()); outstanding-- {
		select {
		case a := <-acks:
			if a.peer.required {
				required--
			}
			if a.err == nil {
				acked[a.member] = true
			}
		case <-ctx.Done():
			return hasMajority()
		}
	}
	return hasMajority()
}

// drainAck is the outcome of notifying one peer.
type drainAck struct {
	peer   drainPeer
	member string
	err    error
}

// notifyAll notifies the peers concurrently; one outcome for each arrives on the channel.
func notifyAll(ctx context.Context, peers []drainPeer, notify notifyPeer) <-chan drainAck {
	acks := make(chan drainAck, len(peers))
	for _, p := range peers {
		go func() {
			member, err := notify(ctx, p.addr)
			acks <- drainAck{p, member, err}
		}()
	}
	return acks
}

func countRequired(peers []drainPeer) int {
	required := 0
	for _, p := range peers {
		if p.required {
			required++
		}
	}
	return required
}

// replicateDrain notifies the core that a runner drains or is gone, and reports whether
// a majority has acknowledged it, now or earlier.
func (c *Controller) replicateDrain(ctx context.Context, n messages.RunnerRecord) bool {
	if c.ackedDrains.contains(n) {
		return true
	}
	peers := []drainPeer{{c.transport.Addr(), true}}
	for _, p := range membership.CountedControllers(c.monitor.Alive(messages.Controller)) {
		if p.Addr != c.transport.Addr() {
			peers = append(peers, drainPeer{p.Addr, !c.stability.isCut(p.Addr)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if !replicate(ctx, "", c.configGroup(), peers, c.notifyOfDrain(n)) {
		return false
	}
	c.ackedDrains.add(n)
	return true
}

// notifyOfDrain returns the function that notifies a controller, which may be this one, that a
// runner drains or is gone.
func (c *Controller) notifyOfDrain(n messages.RunnerRecord) notifyPeer {
	return func(ctx context.Context, addr string) (string, error) {
		if addr == c.transport.Addr() {
			return c.registers.ID(), c.ackedDrains.store.Record(n)
		}
		b, err := c.transport.Call(ctx, addr, transport.KindDraining, &n)
		if err != nil {
			return "", err
		}
		var m messages.Member
		if _, err := m.UnmarshalMsg(b); err != nil {
			return "", errors.Wrap(err, "controller: decode the acknowledgement of a drain")
		}
		return m.ID, nil
	}
}

// handleDrain handles another controller's notification that a runner drains or is
// gone: it publishes that to its own subscribers, and acknowledges with its identity once it is on
// this machine's disk.
func (c *Controller) handleDrain(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var record messages.RunnerRecord
	if _, err := record.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	if c.recordDrain(record) {
		c.publishRunners(record.ID)
	}
	if err := c.ackedDrains.store.Record(record); err != nil {
		return nil, err
	}
	self := messages.Member{ID: c.registers.ID(), Addr: c.transport.Addr()}
	return self.MarshalMsg(nil)
}

// recordDrain records that a runner drains or is gone, even if its later heartbeats report another
// state. The other controller's liveness flags for the runner are ignored.
func (c *Controller) recordDrain(record messages.RunnerRecord) (changed bool) {
	if record.Gone {
		_, changed = c.registry.Leave(record.ID, c.clock())
		return changed
	}
	record.Stale, record.Lost = false, false
	return c.registry.Merge(record, c.clock())
}
