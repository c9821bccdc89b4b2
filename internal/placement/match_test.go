package placement

import (
	"testing"

	"github.com/shoenig/test/must"
)

func three() []Candidate {
	return []Candidate{{ID: "a", NearSite: true, Rate: 0.03, Capacity: 64}, {ID: "b", NearSite: true, Rate: 0.03, Capacity: 64}, {ID: "c", NearSite: true, Rate: 0.03, Capacity: 64}}
}

func TestKeptPromptsDrawUntilTheWaitIsLonger(t *testing.T) {
	list := three()
	list[1].Kept = 6000
	p := Prompt{Tokens: 9000, Shared: 1}
	must.Eq(t, 1, Match(p, list))
	list[1].Prefill = 40_000
	must.NotEq(t, 1, Match(p, list))
}

func TestMovedPartsFreeTheChoice(t *testing.T) {
	list := three()
	list[1].Kept, list[1].Prefill = 6000, 5000
	list[2].Moved, list[2].MoveUs, list[2].From = 6000, 20_000, "b"
	must.Eq(t, 2, Match(Prompt{Tokens: 9000, Shared: 1}, list))
}

func TestReadingAgainCounts(t *testing.T) {
	list := three()
	list[0].Prefill = 3000
	list[0].Kept = 2500
	list[1].Again, list[2].Again = 2500, 2500
	must.Eq(t, 0, Match(Prompt{Tokens: 5000, Shared: 1}, list))
}

func TestNodesAgreeOnAHomeWithoutTalking(t *testing.T) {
	homes := map[int]int{}
	for k := uint64(1); k < 300; k++ {
		i := Match(Prompt{Tokens: 5000, Shared: k}, three())
		must.Eq(t, Home(k, three()), i)
		homes[i]++
	}
	for i := range 3 {
		must.Greater(t, 60, homes[i])
	}
	must.Eq(t, -1, Match(Prompt{}, nil))
}
