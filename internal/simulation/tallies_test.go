package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTallySeedsBreakNothing(t *testing.T) {
	histories := Range{Model: "tallies", Count: 120, Parallel: 3}
	counts := Run(histories, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(histories.Count), counts.TallyHistories)
	must.Greater(t, 200*counts.TallyHistories, counts.TallyAcked)
	must.Greater(t, 10*counts.TallyHistories, counts.TallyAckedCut)
}

func TestOneSeedPlaysOneTallyHistory(t *testing.T) {
	for seed := range uint64(5) {
		a, b := PlayTallies(seed, Options{Record: true}), PlayTallies(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
		must.Eq(t, a.Counts, b.Counts)
	}
}

// Each injected defect must be detected by a check.
func TestTallyChecksFindWhatIsTakenOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
		from    uint64 // first seed to simulate
	}{
		{"quorum of disks", Defects{AckOnOneDisk: true}, "acknowledges an add on", 0},
		{"witnesses", Defects{TrustSilence: true}, "acknowledges an add on", 0},
		{"a new origin for a lost disk", Defects{KeepOrigin: true}, "lacks an add", 0},
		{"evidence younger than the add", Defects{TrustOldEvidence: true}, "acknowledges an add on", 170},
		{"the others asked at the start", Defects{AnswerUnasked: true}, "answers, and does not have", 0},
		{"anti-entropy", Defects{NeverPull: true}, "lacks an add", 215},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+mostSeedsToFind; seed++ {
				r := PlayTallies(seed, Options{Defects: c.defects})
				if strings.Contains(r.Failure, c.finds) {
					t.Logf("found by seed %d: %s", seed, r.Failure)
					return
				}
			}
			t.Error("no seed finds it")
		})
	}
}
