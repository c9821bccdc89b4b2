// Which controllers may take over the lease of a roll-out, and in which order.

package controller

import (
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// unknownHolderUs is how long after the start of a process a holder that membership
// has not heard of may still turn up.
const unknownHolderUs = 3_000_000

// gone tells whether the holder of a lease is dead or does not answer this node.
func (m *rolloutManager) gone(holder string) bool {
	d, addr := m.controller, addrOf(holder)
	if holder == "" || d.calm.isCut(addr) {
		return holder != ""
	}
	for _, p := range d.monitor.Alive(messages.Controller) {
		if p.MemberID == holder {
			return false
		}
	}
	return d.monitor.DeadForUs(addr) > 0 || d.clock()-d.startUs >= unknownHolderUs
}

// rank is how many of the core's live controllers that this one reaches come before
// it in the succession of a lease, and whether it is itself among them. The order
// differs with each fence, so that the same controller is not always the first.
func (m *rolloutManager) rank(l messages.Lease) (rank int, candidate bool) {
	d := m.controller
	var addrs []string
	for _, p := range membership.Core(d.monitor.Alive(messages.Controller)) {
		if p.MemberID != l.Holder && (p.Addr == d.transport.Addr() || !d.calm.isCut(p.Addr)) {
			addrs = append(addrs, p.Addr)
		}
	}
	return rollout.Rank(addrs, d.transport.Addr(), l)
}
