package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNextRotatesAndSkipsPendingControllers(t *testing.T) {
	var p Comparisons
	all := []string{"a", "b", "c", "d", "parent"}
	queryCounts := map[string]int{}
	for range 8 {
		for _, addr := range p.Next(all, "parent", false) {
			queryCounts[addr]++
			p.RecordResult(addr, true, true)
		}
	}
	must.Eq(t, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}, queryCounts)
	silent := p.Next(all, "parent", false)
	must.Len(t, 1, silent)
	for range 8 {
		next := p.Next(all, "parent", false)
		must.Len(t, 1, next, must.Sprint("a controller that does not answer delays no other"))
		must.NotEq(t, silent[0], next[0])
		p.RecordResult(next[0], true, true)
	}
}

func TestNextReturnsSeveralControllersWhenParentIsOverdue(t *testing.T) {
	var p Comparisons
	all := []string{"a", "b", "c", "d", "e", "f", "g", "parent"}
	must.Len(t, overdueQueryCount, p.Next(all, "parent", true))
	must.Len(t, overdueQueryCount, p.Next(all, "parent", true))
	must.SliceEmpty(t, p.Next(all, "parent", true), must.Sprint("the limit of concurrent comparisons is reached"))
	must.Eq(t, []string{"parent"}, (&Comparisons{}).Next([]string{"parent"}, "parent", false))
}

func TestRunnersFetchDueAfterTwoConsecutiveMismatches(t *testing.T) {
	var p Comparisons
	for _, same := range []bool{false, false} {
		must.False(t, p.RunnersFetchDue())
		p.RecordResult("a", true, same)
	}
	must.True(t, p.RunnersFetchDue())
	p.RecordResult("a", false, false)
	must.True(t, p.RunnersFetchDue(), must.Sprint("a failed comparison changes nothing"))
	p.RecordResult("a", true, true)
	must.False(t, p.RunnersFetchDue())
}

// State that a controller has and that the tree has not delivered within grace is fetched,
// even if other controllers lack it too. Each further version gets a grace period of its own.
func TestFetchDueOnlyAfterGrace(t *testing.T) {
	const grace = time.Second
	graceUs := grace.Microseconds()
	var p Comparisons
	due := func(mine, theirs, nowUs int64) bool {
		return p.FetchDue([]int64{mine}, []int64{theirs}, grace, nowUs)
	}
	must.False(t, due(1, 1, 1))
	must.False(t, due(1, 2, 2), must.Sprint("the tree may still deliver it"))
	must.False(t, due(1, 1, 2+graceUs), must.Sprint("this controller lacks it too"))
	must.True(t, due(1, 2, 2+graceUs))
	must.False(t, due(2, 3, 3+graceUs), must.Sprint("version 2 arrived; the grace of version 3 starts"))
	must.True(t, due(2, 4, 3+2*graceUs), must.Sprint("version 3 did not arrive"))
	must.False(t, due(4, 4, 4+2*graceUs))
	must.True(t, p.FetchDue([]int64{4}, []int64{5}, 0, 5+2*graceUs))
}

func TestStartFetchRejectsConcurrentFetch(t *testing.T) {
	var p Comparisons
	must.True(t, p.StartFetch())
	must.False(t, p.StartFetch())
	p.EndFetch()
	must.True(t, p.StartFetch())
}
