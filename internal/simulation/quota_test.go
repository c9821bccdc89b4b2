package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestQuotaSeedsViolateNoCheck(t *testing.T) {
	histories := Range{Model: "quota", Count: 150, Parallel: 3}
	counts := Run(histories, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(histories.Count), counts.QuotaHistories)
	must.Greater(t, 1000*counts.QuotaHistories, counts.QuotaRequestsRun)
	must.Less(t, counts.QuotaWithinLimit, 100*counts.QuotaDenied)
}

func TestQuotaSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(5) {
		a, b := PlayQuota(seed, Options{Record: true}), PlayQuota(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
		must.Eq(t, a.Counts, b.Counts)
	}
}

// Each injected defect must be detected by a check.
func TestQuotaChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"vote directly after restart", Defects{VoteAfterRestart: true}, "answers as the owner"},
		{"ownership without majority", Defects{OwnWithoutMajority: true}, "answers as the owner"},
		{"token age ignored", Defects{IgnoreTokenAge: true}, "requests ran in the window"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(maxSeedsToDetect) {
				r := PlayQuota(seed, Options{Defects: c.defects})
				if strings.Contains(r.Failure, c.finds) {
					t.Logf("detected by seed %d: %s", seed, r.Failure)
					return
				}
			}
			t.Error("no seed detects the defect")
		})
	}
}
