package placement

import (
	"testing"

	"github.com/shoenig/test/must"
)

// idleCandidates returns three candidates that differ only in their IDs.
func idleCandidates() []Candidate {
	var candidates []Candidate
	for _, id := range []string{"a", "b", "c"} {
		candidates = append(candidates, Candidate{ID: id, SameZone: true, PrefillRate: 0.03, Capacity: 64})
	}
	return candidates
}

func TestChoosePrefersCachedPrefixUntilBacklogOutweighsIt(t *testing.T) {
	candidates := idleCandidates()
	candidates[1].CachedTokens = 6000
	p := Prompt{Tokens: 9000, SharedPrefix: 1}
	must.Eq(t, 1, Choose(p, candidates, nil))
	candidates[1].QueuedPrefillTokens = 40_000
	must.NotEq(t, 1, Choose(p, candidates, nil))
}

func TestChooseReturnsIdleRunnerWhenPrefixCanBeTransferred(t *testing.T) {
	candidates := idleCandidates()
	candidates[1].CachedTokens, candidates[1].QueuedPrefillTokens = 6000, 5000
	candidates[2].TransferableTokens, candidates[2].TransferUs, candidates[2].TransferFrom = 6000, 20_000, "b"
	must.Eq(t, 2, Choose(Prompt{Tokens: 9000, SharedPrefix: 1}, candidates, nil))
}

func TestChoosePenalizesDuplicatePrefill(t *testing.T) {
	candidates := idleCandidates()
	candidates[0].QueuedPrefillTokens = 3000
	candidates[0].CachedTokens = 2500
	candidates[1].DuplicateTokens, candidates[2].DuplicateTokens = 2500, 2500
	must.Eq(t, 0, Choose(Prompt{Tokens: 5000, SharedPrefix: 1}, candidates, nil))
}

func TestChooseSpreadsUncachedPrefixesByRendezvousHash(t *testing.T) {
	matches := map[int]int{}
	for prefix := uint64(1); prefix < 300; prefix++ {
		i := Choose(Prompt{Tokens: 5000, SharedPrefix: prefix}, idleCandidates(), nil)
		must.Eq(t, homeIndex(prefix, idleCandidates()), i)
		matches[i]++
	}
	for i := range idleCandidates() {
		must.Greater(t, 60, matches[i])
	}
	must.Eq(t, -1, Choose(Prompt{}, nil, nil))
}

// All routers of a fleet must compute the same scores, also if they run different
// releases.
func TestRendezvousScoreIsStable(t *testing.T) {
	must.Eq(t, uint64(0xdea13a43162696b9), rendezvousScore(1, "a"))
	must.Eq(t, uint64(0x372f9746cc5dcf1c), rendezvousScore(0xfedcba9876543210, "runner-7"))
}
