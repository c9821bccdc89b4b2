// Package rendezvous lets nodes that do not ask each other choose the same few among them, by
// rendezvous hashing (Thaler and Ravishankar, 1998). A Nodes is the set that one node has seen.
// It is pure and not safe for concurrent use.
package rendezvous

import (
	"cmp"
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/statesync"
)

// rememberUs is for how long a node counts that is not seen any more, in microseconds: it may
// still serve, and all should choose the same ones.
const rememberUs = int64(60_000_000)

// Nodes is the nodes that were seen a while ago, dead ones too.
type Nodes struct {
	self   string
	seenUs map[string]int64 // when each was last seen
}

// NewNodes returns a set that holds the node itself, for ever.
func NewNodes(self string, nowUs int64) *Nodes {
	return &Nodes{self: self, seenUs: map[string]int64{self: nowUs}}
}

// See records that nodes were seen, and forgets those that were not for long.
func (n *Nodes) See(addrs []string, nowUs int64) {
	for _, addr := range addrs {
		n.seenUs[addr] = nowUs
	}
	for addr, atUs := range n.seenUs {
		if nowUs-atUs > rememberUs && addr != n.self {
			delete(n.seenUs, addr)
		}
	}
}

// Len returns how many nodes there are.
func (n *Nodes) Len() int { return len(n.seenUs) }

// Top returns the nodes for a key, count of them at most, in an order that depends on the key.
func (n *Nodes) Top(key string, count int) []string {
	weight := func(addr string) uint64 { return statesync.HashText(key, addr) }
	all := slices.SortedFunc(maps.Keys(n.seenUs), func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:min(count, len(all))]
}

// Among reports whether the node itself is among the first nodes for a key.
func (n *Nodes) Among(key string, count int) bool {
	own, before := statesync.HashText(key, n.self), 0
	for addr := range n.seenUs {
		if statesync.HashText(key, addr) > own {
			before++
		}
	}
	return before < count
}
