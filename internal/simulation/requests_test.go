package simulation

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// requestRange is the fixed range of seeds that CI simulates.
var requestRange = Range{Model: "requests", Count: 150, Parallel: 3}

func TestRequestSeedsViolateNoCheck(t *testing.T) {
	counts := Run(requestRange, Options{}, func(r Result) { t.Errorf("seed %d: %s", r.Seed, r.Failure) })
	t.Log(counts)
	must.Eq(t, int64(requestRange.Count), counts.RequestHistories)
	must.Positive(t, counts.RequestsAnswered)
	must.Positive(t, counts.RequestsRejected)
	must.Positive(t, counts.RequestRetries)
}

func TestRequestSameSeedReproducesHistory(t *testing.T) {
	for seed := range uint64(10) {
		a, b := PlayRequests(seed, Options{Record: true}), PlayRequests(seed, Options{Record: true})
		must.Eq(t, strings.Join(a.History, "\n"), strings.Join(b.History, "\n"))
	}
}

// Each injected defect must be detected by a check.
func TestRequestChecksDetectDefects(t *testing.T) {
	for _, c := range []struct {
		name    string
		defects Defects
		finds   string
	}{
		{"effectful requests retried", Defects{RetryNonIdempotent: true}, "runs twice"},
		{"503 after possible execution", Defects{ReportNotRunAfterRun: true}, "answered"},
		{"responses matched by order", Defects{MatchResponsesByOrder: true}, "gets"},
		{"retries without a budget", Defects{RetryWithoutBudget: true}, "retries"},
		{"streams resumed from the start", Defects{ResumeFromStart: true}, "gets"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(maxSeedsToDetect) {
				if r := PlayRequests(seed, Options{Defects: c.defects}); r.Failure != "" {
					t.Logf("detected by seed %d: %s", seed, r.Failure)
					must.StrContains(t, r.Failure, c.finds)
					return
				}
			}
			t.Error("no seed detects the defect")
		})
	}
}
