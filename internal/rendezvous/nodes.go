// Package rendezvous chooses a few nodes for a key by rendezvous hashing (Thaler and
// Ravishankar, 1998), so that all nodes choose the same ones without communication if they
// have seen the same nodes. A Nodes is the set of nodes that one node has seen, itself
// included. Routers use it. Everything here is pure: times are microseconds of the caller's
// monotonic clock, given as arguments. A Nodes is not safe for concurrent use.
package rendezvous

import (
	"cmp"
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/statesync"
)

// retentionUs is how long after it was last seen a node remains in the set, in microseconds: it
// may still serve, and all nodes should choose the same ones.
const retentionUs = int64(60_000_000)

// Nodes is the set of nodes that were seen within retentionUs, including nodes that have died
// since.
type Nodes struct {
	self   string
	seenUs map[string]int64 // when each was last seen
}

// NewNodes returns a set of the node itself, which is never removed.
func NewNodes(self string, nowUs int64) *Nodes {
	return &Nodes{self: self, seenUs: map[string]int64{self: nowUs}}
}

// MarkSeen records that nodes were seen at nowUs, and removes those not seen for more than
// retentionUs.
func (n *Nodes) MarkSeen(addrs []string, nowUs int64) {
	for _, addr := range addrs {
		n.seenUs[addr] = nowUs
	}
	for addr, lastSeenUs := range n.seenUs {
		if nowUs-lastSeenUs > retentionUs && addr != n.self {
			delete(n.seenUs, addr)
		}
	}
}

// Len returns the number of nodes in the set.
func (n *Nodes) Len() int { return len(n.seenUs) }

// Top returns the first nodes for a key, at most count of them, in an order that depends on
// the key.
func (n *Nodes) Top(key string, count int) []string {
	weight := func(addr string) uint64 { return statesync.HashText(key, addr) }
	ordered := slices.SortedFunc(maps.Keys(n.seenUs), func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ordered[:min(count, len(ordered))]
}

// SelfInTop reports whether the node itself is one of the first count nodes for a key.
func (n *Nodes) SelfInTop(key string, count int) bool {
	selfWeight, higher := statesync.HashText(key, n.self), 0
	for addr := range n.seenUs {
		if statesync.HashText(key, addr) > selfWeight {
			higher++
		}
	}
	return higher < count
}
