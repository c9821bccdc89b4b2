package tally

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// randomLogs returns the logs of several origins. Some IDs are in more than one log, a few of those
// with different amounts.
func randomLogs(random *rand.Rand) []Run {
	var runs []Run
	for origin := range 4 {
		run := Run{Origin: Origin(fmt.Sprint("o", origin)), First: 1}
		for range 1 + random.IntN(40) {
			name, id := fmt.Sprint("t", random.IntN(3)), fmt.Sprint(random.IntN(60))
			amount := int64(len(id))
			if random.IntN(20) == 0 {
				amount += int64(random.IntN(5))
			}
			run.Adds = append(run.Adds, Add{Tally: name, Key: KeyOf(name, id), Amount: amount})
		}
		runs = append(runs, run)
	}
	return runs
}

// expectedTotals computes the totals of runs without a Set: the largest amount of each key counts.
func expectedTotals(runs []Run) map[string]int64 {
	counted := map[Key]Add{}
	for _, run := range runs {
		for _, add := range run.Adds {
			if existing, ok := counted[add.Key]; !ok || add.Amount > existing.Amount {
				counted[add.Key] = add
			}
		}
	}
	totals := map[string]int64{}
	for _, add := range counted {
		totals[add.Tally] += add.Amount
	}
	return totals
}

// overlappingPieces splits runs into shorter ones that overlap.
func overlappingPieces(random *rand.Rand, runs []Run) []Run {
	var out []Run
	for _, run := range runs {
		for next := 0; next < len(run.Adds); {
			from := max(next-random.IntN(3), 0)
			to := min(next+1+random.IntN(6), len(run.Adds))
			out = append(out, Run{Origin: run.Origin, First: uint64(from) + 1, Adds: run.Adds[from:to]})
			next = to
		}
	}
	return out
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		runs := randomLogs(random)
		var digests []uint64
		for range 3 {
			set := mergeInPieces(random, runs)
			for name, total := range expectedTotals(runs) {
				must.Eq(t, total, set.Total(name), must.Sprintf("seed %d", seed))
			}
			digests = append(digests, set.Digest())
		}
		must.Len(t, 1, slices.Compact(digests))
	}
}

// mergeInPieces merges runs in overlapping pieces, shuffled and each merged twice. Pieces that
// would leave a gap are ignored by Merge and merged again in the next round.
func mergeInPieces(random *rand.Rand, runs []Run) *Set {
	set := NewSet()
	for set.Len() < countAdds(runs) {
		pieces := overlappingPieces(random, runs)
		random.Shuffle(len(pieces), func(i, j int) { pieces[i], pieces[j] = pieces[j], pieces[i] })
		for _, piece := range pieces {
			set.Merge(piece)
			set.Merge(piece)
		}
	}
	return set
}

func countAdds(runs []Run) int {
	sum := 0
	for _, run := range runs {
		sum += len(run.Adds)
	}
	return sum
}

func TestMergeOfSetsIsAssociative(t *testing.T) {
	for seed := range uint64(100) {
		runs := randomLogs(rand.New(rand.NewPCG(seed, 2)))
		a, b, c := NewSet(), NewSet(), NewSet()
		a.Merge(runs[0])
		a.Merge(runs[1])
		b.Merge(runs[1])
		b.Merge(runs[2])
		c.Merge(runs[3])
		left, right := union(union(a, b), c), union(a, union(b, c))
		must.Eq(t, left.Vector(), right.Vector())
		for _, name := range left.names {
			must.Eq(t, left.Total(name), right.Total(name))
		}
	}
}

func union(a, b *Set) *Set {
	out := NewSet()
	for _, set := range []*Set{a, b} {
		for _, run := range set.Since(Vector{}, 1<<20) {
			out.Merge(run)
		}
	}
	return out
}

func TestMergeIgnoresRunAfterGap(t *testing.T) {
	set := NewSet()
	run := Run{Origin: "o", First: 2, Adds: []Add{{Tally: "t", Key: KeyOf("t", "1"), Amount: 1}}}
	must.Len(t, 0, set.Merge(run).Adds)
	must.Eq(t, 0, set.Total("t"))
	must.Eq(t, 0, set.LogLength("o"))
}

func TestSameIDInTwoTalliesCountsInBoth(t *testing.T) {
	set := NewSet()
	set.Merge(Run{Origin: "o", First: 1, Adds: []Add{{Tally: "a", Key: KeyOf("a", "1"), Amount: 2}, {Tally: "b", Key: KeyOf("b", "1"), Amount: 3}}})
	must.Eq(t, 2, set.Total("a"))
	must.Eq(t, 3, set.Total("b"))
	must.NotEq(t, KeyOf("ab", "c"), KeyOf("a", "bc"))
}

func TestConflictingAmountsCountLargerOne(t *testing.T) {
	small, large := Add{Tally: "t", Key: KeyOf("t", "1"), Amount: 1}, Add{Tally: "t", Key: KeyOf("t", "1"), Amount: 5}
	for _, adds := range [][]Add{{small, large}, {large, small}} {
		set := NewSet()
		set.Merge(Run{Origin: "o", First: 1, Adds: adds})
		must.Eq(t, 5, set.Total("t"))
		must.Eq(t, 1, set.Conflicts())
		must.Eq(t, 1, set.Distinct())
	}
}

func TestSinceReturnsMissingAddsWithinLimit(t *testing.T) {
	runs := randomLogs(rand.New(rand.NewPCG(7, 7)))
	source, target := NewSet(), NewSet()
	for _, run := range runs {
		source.Merge(run)
	}
	for range countAdds(runs) {
		for _, run := range source.Since(target.Vector(), 3) {
			must.LessEq(t, 3, len(run.Adds))
			target.Merge(run)
		}
	}
	must.Eq(t, source.Vector(), target.Vector())
	must.SliceEmpty(t, source.Since(target.Vector(), 3))
}
