package lease

import (
	"cmp"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Rank returns the position of a controller among the candidates for a lease, by
// rendezvous hashing, and whether it is one of them. The order depends on the fencing
// token, so that the same controller is not always first.
func Rank(candidates []string, self string, l messages.Lease) (rank int, found bool) {
	key := fmt.Sprint(l.Holder, " ", l.Fence)
	weight := func(addr string) uint64 { return statesync.HashText(addr, key) }
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	rank = slices.Index(ordered, self)
	return max(rank, 0), rank >= 0
}
