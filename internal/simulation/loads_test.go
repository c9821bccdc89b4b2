package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// loadRange is the fixed range of seeds that CI simulates.
var loadRange = Range{Model: "loads", Count: 200, Parallel: 3}

func TestLoadSeedsViolateNoCheck(t *testing.T) {
	counts := Run(loadRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(loadRange.Count), counts.LoadHistories)
	must.Positive(t, counts.LoadReports)
}

func TestLoadSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := PlayLoads(seed, Options{Record: true}), PlayLoads(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

func TestLoadChecksDetectLoadsKeptAfterSenderEnds(t *testing.T) {
	for seed := range uint64(maxSeedsToDetect) {
		if r := PlayLoads(seed, Options{Defects: Defects{KeepEndedSenders: true}}); r.Failure != "" {
			t.Logf("detected by seed %d: %s", seed, r.Failure)
			return
		}
	}
	t.Error("no seed detects the defect")
}
