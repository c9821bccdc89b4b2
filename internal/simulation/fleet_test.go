package simulation

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFleetSeedsViolateNoCheck(t *testing.T) {
	fleets := Range{Model: "runners", Count: 300, Parallel: 3}
	counts := Run(fleets, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	must.Eq(t, int64(fleets.Count), counts.RunnerHistories)
}

// fleetRegressionSeeds are regression seeds that violated a check before a fault was fixed.
var fleetRegressionSeeds = []uint64{10803}

func TestFleetRegressionSeedsViolateNoCheck(t *testing.T) {
	for _, seed := range fleetRegressionSeeds {
		must.Eq(t, "", PlayFleet(seed, Options{}).Failure, must.Sprintf("seed %d", seed))
	}
}

// Pairs of controllers lose their direct links but reach each other through others. A runner that
// sends heartbeats to one of them must not be considered silent by the other.
func TestFleetPartialPartitionsKeepLiveRunnersListed(t *testing.T) {
	fleets := Range{Model: "runners-partial", Count: 300, Parallel: 3}
	counts := Run(fleets, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	must.Eq(t, int64(fleets.Count), counts.RunnerHistories)
}
