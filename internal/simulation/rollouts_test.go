package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRolloutSeedsBreakNothing(t *testing.T) {
	rollouts := Range{Model: "rollouts", Count: 150, Parallel: 3}
	counts := Run(rollouts, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(rollouts.Count), counts.Rollouts)
	must.Positive(t, counts.Begun)
	must.Greater(t, counts.Rollouts, counts.Orders)
	must.Positive(t, counts.Takeovers)
}

func TestOneSeedPlaysOneRollout(t *testing.T) {
	for seed := range uint64(10) {
		a, b := PlayRollouts(seed, Options{Record: true}), PlayRollouts(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// Each mechanism that can be taken out in the model is missed by a check.
func TestRolloutChecksFindWhatIsTakenOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"lease without its waits", Defects{ActWithoutWaiting: true}, "us after"},
		{"plan that waits for runners", Defects{OrderWithoutBound: true}, "later than versionMs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(mostSeedsToFind) {
				if r := PlayRollouts(seed, Options{Defects: c.defects}); r.Failure != "" {
					t.Logf("found by seed %d: %s", seed, r.Failure)
					must.StrContains(t, r.Failure, c.finds)
					return
				}
			}
			t.Error("no seed finds it")
		})
	}
}
