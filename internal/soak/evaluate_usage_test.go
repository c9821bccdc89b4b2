package soak

import (
	"fmt"
	"testing"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// usageWindow is a window in calm in the evidence that usageEvidence adds.
var usageWindow = lastWindowBefore(at(100_000)) + 3

// usageEvidence adds three requests that ran in a window in calm, and the usage report of that
// window.
func usageEvidence(e *Evidence) {
	e.Calm, e.UsageDue = windowStart(usageWindow).Add(-usageSlack-time.Millisecond), usageWindow
	for i := range 3 {
		began := windowStart(usageWindow).Add(usageSlack + time.Duration(i+1)*100*time.Millisecond)
		run := standin.Run{Attempt: fmt.Sprint("usage-", i), Runner: "r9", Tenant: tenantName, Seal: fmt.Sprint("usage-seal-", i), Began: began, Ended: began.Add(time.Millisecond), Finished: true}
		e.Runs = append(e.Runs, run)
		e.Records = append(e.Records, load.Record{Attempt: run.Attempt, Sent: began, Ended: run.Ended, Outcome: load.Answered, Status: 200, Seal: run.Seal})
	}
	e.Calls = append(e.Calls, usageCall(3))
}

func usageCall(count int64) standin.PlatformCall {
	return standin.PlatformCall{Duty: standin.DutyUsage, Holder: "c-0", Fence: 4, Status: 200, Usage: api.UsageReport{WindowSeq: usageWindow, Counts: map[string]int64{tenantName: count}}}
}

func TestEvaluateUsageReportsBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"exact count", func(*Evidence) {}, nil},
		{"identical report repeated", func(e *Evidence) { e.Calls = append(e.Calls, usageCall(3)) }, nil},
		{"window not reported", func(e *Evidence) { e.Calls = nil }, []Rule{RuleUsage}},
		{"report not accepted", func(e *Evidence) { e.Calls[0].Status = 503 }, []Rule{RuleUsage}},
		{"count too low", func(e *Evidence) { e.Calls = []standin.PlatformCall{usageCall(2)} }, []Rule{RuleUsage}},
		{"count too high", func(e *Evidence) { e.Calls = []standin.PlatformCall{usageCall(4)} }, []Rule{RuleUsage}},
		{"two different reports", func(e *Evidence) { e.Calls = append(e.Calls, usageCall(5)) }, []Rule{RuleOne}},
		{"two holders under one fence", func(e *Evidence) {
			second := usageCall(3)
			second.Holder = "c-1"
			e.Calls = append(e.Calls, second)
		}, []Rule{RuleOne}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkViolations(t, func(e *Evidence) {
				usageEvidence(e)
				c.change(e)
			}, c.want)
		})
	}
}
