package simulation

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFleetSeedsBreakNothing(t *testing.T) {
	fleets := Range{Model: "runners", Count: 300, Parallel: 3}
	counts := Run(fleets, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	must.Eq(t, int64(fleets.Count), counts.Fleets)
}

// Two controllers are cut apart and both reach the third. A runner that beats at
// one of them is heard by that one and the third, so the other should not take it
// for silent. It does: this test fails for a known fault (KNOWN-RED.txt).
func TestPartialCutsTakeNoLiveRunnerAway(t *testing.T) {
	fleets := Range{Model: "runners-partial", Count: 60, Parallel: 3}
	Run(fleets, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
}
