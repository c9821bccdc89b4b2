package lease

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestRankIsPermutationOfCandidates(t *testing.T) {
	addrs := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]bool{}
	for fence := range int64(40) {
		ranks := map[int]bool{}
		for _, self := range addrs {
			rank, found := Rank(addrs, self, messages.Lease{Holder: "x", Fence: fence})
			must.True(t, found)
			ranks[rank] = true
			if rank == 0 {
				firsts[self] = true
			}
		}
		must.MapLen(t, len(addrs), ranks)
	}
	must.MapLen(t, len(addrs), firsts, must.Sprint("each candidate is first under some fencing token"))
	_, found := Rank(addrs, "z", messages.Lease{})
	must.False(t, found)
}
