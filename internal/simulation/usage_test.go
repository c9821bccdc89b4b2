package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestUsageSeedsViolateNoCheck(t *testing.T) {
	histories := Range{Model: "usage", Count: 150, Parallel: 3}
	counts := Run(histories, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(histories.Count), counts.UsageHistories)
	must.Greater(t, 5*counts.UsageHistories, counts.UsageWindows)
	must.Greater(t, counts.UsageHistories, counts.LeaseTakeovers)
}

func TestUsageSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(5) {
		a, b := PlayUsage(seed, Options{Record: true}), PlayUsage(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// Each injected defect must be detected by a check.
func TestUsageChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"lease without waits", Defects{ActWithoutWaiting: true}, "us after"},
		{"unagreed counts reported", Defects{ReportWithoutAgreement: true}, "is reported with"},
		{"unsynchronized clock", Defects{TrustOwnClock: true}, "window"},
		{"counts at one controller", Defects{CountAtOneController: true}, "was reported with"},
		{"counts sent once", Defects{NeverResend: true}, "was reported with"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(maxSeedsToDetect) {
				if r := PlayUsage(seed, Options{Defects: c.defects}); r.Failure != "" {
					t.Logf("detected by seed %d: %s", seed, r.Failure)
					must.StrContains(t, r.Failure, c.finds)
					return
				}
			}
			t.Error("no seed detects the defect")
		})
	}
}
