package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

var begin = time.Unix(1000, 0)

// at returns the time ms milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// answeredEvidence contains a request that ran at runner r1 and was answered, and two
// acknowledged configuration changes.
func answeredEvidence() Evidence {
	kind := load.Kind{Path: "/pay/x", Class: load.Effectful}
	return Evidence{
		Records: []load.Record{{Attempt: "a", Kind: kind, Node: "router-0", Sent: at(10000), Ended: at(10050), Outcome: load.Answered, Status: 200, Seal: "s1", Checksum: 5}},
		Runs: []standin.Run{
			{Attempt: "a", Runner: "r1", Path: "/pay/x", Tenant: tenantName, Seal: "s1", Checksum: 5, Began: at(10010)},
			{Attempt: "a", Runner: "r1", Path: "/pay/x", Tenant: tenantName, Seal: "s1", Checksum: 5, Began: at(10010), Ended: at(10040), Finished: true},
		},
		Changes: []Change{
			{Version: 1, Base: 0, Digest: "d1", Sent: at(0), Ended: at(100), Outcome: ChangeAcknowledged},
			{Version: 3, Base: 1, Digest: "d3", Sent: at(200), Ended: at(300), Outcome: ChangeAcknowledged},
		},
		Reads: []Read{{Node: "controller-0", Sent: at(400), Status: 200, Version: 3, Digest: "d3"}},
		Calm:  at(20000),
	}
}

func addSecondRun(e *Evidence) {
	e.Runs = append(e.Runs, standin.Run{Attempt: "a", Runner: "r2", Path: "/pay/x", Tenant: tenantName, Seal: "s2", Checksum: 5, Began: at(10045)})
}

func removeAnswer(e *Evidence) {
	e.Records[0].Outcome, e.Records[0].Status = load.Closed, 0
}

// addRunnerLeave adds a planned departure of runner r1 that ends at to.
func addRunnerLeave(e *Evidence, to int) {
	left := span(LeaveRunner, "", 9500, to)
	left.Runner, left.Acknowledged = "r1", at(9600)
	e.Spans = append(e.Spans, left)
}

func addRefusedRequests(e *Evidence) {
	for range minRecoverySample {
		e.Records = append(e.Records, load.Record{Sent: at(21000), Status: 429})
	}
}

func span(kind FaultKind, node string, from, to int) Span {
	return Span{Fault: Fault{Kind: kind}, Node: node, From: at(from), To: at(to), Back: true}
}

func TestEvaluateRequestsReportsBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"no violation", func(*Evidence) {}, nil},
		{"faulty response", func(e *Evidence) { e.Records[0].Fault = "body" }, []Rule{RuleMixed}},
		{"seal of another request", func(e *Evidence) { e.Records[0].Seal = "other" }, []Rule{RuleMixed}},
		{"non-repeatable request ran twice", addSecondRun, []Rule{RuleTwice}},
		{"repeatable request ran twice", func(e *Evidence) { addSecondRun(e); e.Records[0].Kind.Class = load.Resumable }, nil},
		{"more runs than route attempts", func(e *Evidence) {
			addSecondRun(e)
			third := e.Runs[2]
			third.Seal = "s3"
			e.Runs = append(e.Runs, third)
			e.Records[0].Kind.Class = load.Idempotent
		}, []Rule{RuleBudget}},
		{"request ran and was refused", func(e *Evidence) { e.Records[0].Status = 503 }, []Rule{RuleRefused}},
		{"gateway timeout after a run", func(e *Evidence) { e.Records[0].Status = 504 }, nil},
		{"denied", func(e *Evidence) { e.Records[0].Status = 404 }, []Rule{RuleDenied}},
		{"run without a request", func(e *Evidence) { e.Records = nil }, []Rule{RuleUnasked}},
		{"run with another body", func(e *Evidence) { e.Records[0].Checksum = 6 }, []Rule{RuleUnasked}},
		{"process exited unexpectedly", func(e *Evidence) { e.OwnEnds = []string{"router-0"} }, []Rule{RuleProcess}},
		{"panic in a log", func(e *Evidence) { e.LogFindings = []LogFinding{{"router-0", "panic: x"}} }, []Rule{RuleInvariants}},
		{"few requests served after the faults", addRefusedRequests, []Rule{RuleRecover}},
		{"few requests served before and after the faults", func(e *Evidence) {
			e.Faulty = at(10000)
			early := load.Record{Sent: at(9000), Status: 429}
			e.Records = append(e.Records, early, early, early, early)
			addRefusedRequests(e)
		}, nil},
		{"component does not serve after its fault", func(e *Evidence) {
			down := span(KillRouter, "router-0", 1000, 2000)
			down.Back = false
			e.Spans = []Span{down}
		}, []Rule{RuleRecover}},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolations(t, c.change, c.want) })
	}
}

func TestEvaluateReportsLateRunsAndWrongTallies(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"run at a drained runner", func(e *Evidence) {
			left := span(LeaveRunner, "", 1000, 4000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left}
		}, []Rule{RuleDrain}},
		{"run at a drained runner, during a fault of another router", func(e *Evidence) {
			left := span(LeaveRunner, "", 1000, 4000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left, span(PauseRouter, "router-1", 2000, 2200)}
		}, []Rule{RuleDrain}},
		{"run at a drained runner, during a fault of its router", func(e *Evidence) {
			left := span(LeaveRunner, "", 1000, 4000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left, span(PauseRouter, "router-0", 9000, 9200)}
		}, nil},
		{"run at a drained runner, long after a fault of its router", func(e *Evidence) {
			left := span(LeaveRunner, "", 1000, 4000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left, span(PauseRouter, "router-0", 2000, 2200)}
		}, []Rule{RuleDrain}},
		{"run at a runner that left, long after the controllers were killed", func(e *Evidence) {
			left := span(LeaveUndrained, "", 1000, 11000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left, span(KillController, "controller-0", 1200, 1800)}
		}, []Rule{RuleDrain}},
		{"run at a runner that left, right after a fault of a controller", func(e *Evidence) {
			left := span(LeaveUndrained, "", 1000, 11000)
			left.Runner, left.Acknowledged = "r1", at(1100)
			e.Spans = []Span{left, span(KillController, "controller-0", 8000, 9000)}
		}, nil},
		{"acknowledged add is missing", func(e *Evidence) {
			e.Adds = []Add{{ID: "1", Acknowledged: true, MayCount: true}, {ID: "2"}}
			e.Totals = []TallyTotal{{Node: "controller-0", Answered: true}, {Node: "controller-1", Total: 1, Answered: true}}
		}, []Rule{RuleTally}},
		{"add counts twice", func(e *Evidence) {
			e.Adds = []Add{{ID: "1", Acknowledged: true, MayCount: true}, {ID: "2", MayCount: true}}
			e.Totals = []TallyTotal{{Node: "controller-0", Total: 3, Answered: true}, {Node: "controller-1", Total: 2, Answered: true}}
		}, []Rule{RuleTally}},
		{"tally is not answered at the end", func(e *Evidence) { e.Totals = []TallyTotal{{Node: "controller-0"}} }, []Rule{RuleTally}},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolations(t, c.change, c.want) })
	}
}

func TestEvaluateUnansweredRequestsReportsUnexplainedLoss(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"unanswered", removeAnswer, []Rule{RuleLost}},
		{"unanswered, router killed", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(KillRouter, "router-0", 10020, 11000)}
		}, nil},
		{"unanswered, other router killed", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(KillRouter, "router-1", 10020, 11000)}
		}, []Rule{RuleLost}},
		{"unanswered, controller killed", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(KillController, "controller-0", 10020, 11000)}
		}, []Rule{RuleLost}},
		{"unanswered, its runner crashed", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(CrashRunner, "", 10020, 11000)}
			e.Spans[0].Runner = "r1"
		}, nil},
		{"unanswered, other runner crashed", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(CrashRunner, "", 10020, 11000)}
			e.Spans[0].Runner = "r2"
		}, []Rule{RuleLost}},
		{"connection closed before its runner left", func(e *Evidence) { removeAnswer(e); addRunnerLeave(e, 13000) }, []Rule{RuleLost}},
		{"connection closed when its runner left", func(e *Evidence) {
			removeAnswer(e)
			addRunnerLeave(e, 13000)
			e.Records[0].Ended = at(12900)
		}, nil},
		{"unanswered, long after a runner crashed", func(e *Evidence) { removeAnswer(e); e.Spans = []Span{span(CrashRunner, "", 100, 200)} }, []Rule{RuleLost}},
		{"aborted early by a draining router", func(e *Evidence) {
			removeAnswer(e)
			e.Spans = []Span{span(TerminateRouter, "router-0", 9000, 18000)}
		}, []Rule{RuleLost}},
		{"not forwarded by a draining router", func(e *Evidence) {
			removeAnswer(e)
			e.Runs = nil
			e.Spans = []Span{span(TerminateRouter, "router-0", 9000, 18000)}
		}, nil},
		{"read but not forwarded by a draining router", func(e *Evidence) {
			removeAnswer(e)
			e.Runs, e.Records[0].Ended = nil, at(16500)
			e.Spans = []Span{span(TerminateRouter, "router-0", 9000, 18000)}
		}, []Rule{RuleLost}},
		{"still running at the end of the grace period", func(e *Evidence) {
			removeAnswer(e)
			e.Records[0].Ended = at(16500)
			e.Spans = []Span{span(TerminateRouter, "router-0", 9000, 18000)}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolations(t, c.change, c.want) })
	}
}

func TestEvaluateConfigurationsReportsBrokenRules(t *testing.T) {
	probe := func(version int64, sent, status int) Probe {
		return Probe{Node: "router-0", Life: 1, Version: version, Sent: at(sent), Ended: at(sent + 10), Status: status, Newest: 3}
	}
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"read returns an older version than acknowledged", func(e *Evidence) { e.Reads[0].Version, e.Reads[0].Digest = 1, "d1" }, []Rule{RuleConfig}},
		{"read before the acknowledgement", func(e *Evidence) {
			e.Reads[0] = Read{Node: "controller-0", Sent: at(250), Status: 200, Version: 1, Digest: "d1"}
		}, nil},
		{"read returns content that was not submitted", func(e *Evidence) { e.Reads[0].Digest = "x" }, []Rule{RuleConfig}},
		{"no configuration after an acknowledgement", func(e *Evidence) { e.Reads[0].Status = 404 }, []Rule{RuleConfig}},
		{"read unavailable during faults", func(e *Evidence) { e.Reads[0].Status = 503 }, nil},
		{"read unavailable at the end", func(e *Evidence) { e.Reads[0].Status, e.Reads[0].Final = 503, true }, []Rule{RuleConfig}},
		{"two changes acknowledged on one base", func(e *Evidence) {
			e.Changes = append(e.Changes, Change{Version: 4, Base: 1, Digest: "d4", Sent: at(500), Ended: at(600), Outcome: ChangeAcknowledged})
		}, []Rule{RuleConfig}},
		{"read returns a rejected version", func(e *Evidence) { e.Changes[1].Outcome = ChangeConflict }, []Rule{RuleConfig}},
		{"repeated change rejected", func(e *Evidence) {
			again := e.Changes[1]
			again.Repeat, again.Outcome = true, ChangeConflict
			e.Changes = append(e.Changes, again)
		}, []Rule{RuleConfig}},
		{"served version no longer served", func(e *Evidence) { e.Probes = []Probe{probe(3, 500, 200), probe(3, 600, 404)} }, []Rule{RuleConfig}},
		{"older version served again", func(e *Evidence) { e.Probes = []Probe{probe(3, 500, 200), probe(1, 600, 200)} }, []Rule{RuleConfig}},
		{"version not served yet", func(e *Evidence) { e.Probes = []Probe{probe(3, 500, 404), probe(3, 600, 200)} }, nil},
		{"valid key denied", func(e *Evidence) { e.Probes = []Probe{probe(3, 500, 401)} }, []Rule{RuleDenied}},
		{"version never served", func(e *Evidence) { e.Convergences = []Convergence{{Node: "router-0", Version: 3}} }, []Rule{RuleConfig}},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolations(t, c.change, c.want) })
	}
}

func TestEvaluateWeightsReportsBrokenRules(t *testing.T) {
	order := func(runner, holder string, fence int64) standin.Order {
		return standin.Order{Runner: runner, Holder: holder, Fence: fence, Arrived: at(500)}
	}
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"two holders under different fences", func(e *Evidence) {
			e.Orders = []standin.Order{order("r1", "a", 1), order("r1", "a", 1), order("r1", "b", 2)}
		}, nil},
		{"two holders under one fence", func(e *Evidence) {
			e.Orders = []standin.Order{order("r1", "a", 1), order("r1", "b", 1)}
		}, []Rule{RuleOne}},
		{"target weights loaded", func(e *Evidence) {
			e.Namings, e.Weights = []WeightsTarget{{Version: 2, Acknowledged: true}}, []LoadedWeights{{"r1", 2}}
		}, nil},
		{"target weights not loaded", func(e *Evidence) {
			e.Namings, e.Weights = []WeightsTarget{{Version: 2, Acknowledged: true}}, []LoadedWeights{{"r1", 1}}
		}, []Rule{RuleVersion}},
		{"target weights not acknowledged", func(e *Evidence) { e.Namings = []WeightsTarget{{Version: 2}} }, []Rule{RuleVersion}},
	} {
		t.Run(c.name, func(t *testing.T) { checkViolations(t, c.change, c.want) })
	}
}

// checkViolations applies change to answeredEvidence and compares the rules of the violations
// with want.
func checkViolations(t *testing.T, change func(e *Evidence), want []Rule) {
	t.Helper()
	evidence := answeredEvidence()
	change(&evidence)
	var got []Rule
	for _, violation := range Evaluate(evidence) {
		got = append(got, violation.Rule)
	}
	must.Eq(t, want, got)
}
