package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// distributionRange is the fixed set of seeds that CI runs.
var distributionRange = Range{Model: "distribution", Count: 120, Parallel: 3}

func TestDistributionSeedsViolateNoCheck(t *testing.T) {
	counts := Run(distributionRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(distributionRange.Count), counts.DistributionHistories)
	must.Positive(t, counts.ConfigsAccepted)
	must.Positive(t, counts.ConfigsRejected)
}

func TestDistributionSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := PlayDistribution(seed, Options{Record: true}), PlayDistribution(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// For each mechanism that the model can disable, a check must detect that it is missing.
func TestDistributionChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
	}{
		{"rounds of ended proposers not finished", Defects{LeaveRoundsUnfinished: true}},
		{"no comparisons outside the tree", Defects{SkipComparisons: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(maxSeedsToDetect) {
				if r := PlayDistribution(seed, Options{Defects: c.defects}); r.Failure != "" {
					t.Logf("detected by seed %d: %s", seed, r.Failure)
					return
				}
			}
			t.Error("no seed detects the defect")
		})
	}
}
