// Evaluation of a soak: checks the observations of clients, runners and the operator against
// rules that must hold under any faults. The evaluation has no side effects.

package soak

import (
	"fmt"
	"slices"
	"time"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// Rule identifies a property that must hold.
type Rule string

// The rules.
const (
	RuleMixed      Rule = "MIXED"     // an answer is complete, sealed and belongs to its request
	RuleUnasked    Rule = "UNASKED"   // a runner runs only requests that a client sent
	RuleTwice      Rule = "TWICE"     // a request that is not repeatable runs at most once
	RuleRefused    Rule = "REFUSED"   // a request refused with the guarantee that it has not run did not run
	RuleDenied     Rule = "DENIED"    // a valid request gets no 4xx response from the system
	RuleLost       Rule = "LOST"      // a request ends without an answer only if a fault is on its path
	RuleBudget     Rule = "BUDGET"    // a request runs on at most as many runners as its route allows attempts
	RuleDrain      Rule = "DRAIN"     // no request reaches a runner long after its draining was acknowledged
	RuleEvacuation Rule = "EVAC"      // no request reaches an evacuated zone
	RuleMemory     Rule = "MEMORY"    // a process stays within its memory
	RuleConfig     Rule = "CONFIG"    // acknowledged changes are durable, have distinct bases, and versions never go back
	RuleOne        Rule = "ONE"       // no two controllers act under one fence, and a window has one usage report
	RuleUsage      Rule = "USAGE"     // every window in calm is reported with the requests that began in it
	RuleTally      Rule = "TALLY"     // a tally has every acknowledged add, and none twice
	RuleVersion    Rule = "VERSION"   // every runner loads the target weights version
	RuleRecover    Rule = "RECOVER"   // all components serve once the faults are over
	RuleProcess    Rule = "PROCESS"   // no process exits unexpectedly
	RuleInvariants Rule = "INVARIANT" // no process logs an invariant violation or a panic
)

// Violation reports that a rule does not hold.
type Violation struct {
	Rule   Rule
	At     time.Time
	Detail string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

const (
	// faultMarginBefore and faultMarginAfter extend the period of a fault: it is recorded slightly
	// late, and its effects outlast it, in particular on a loaded machine.
	faultMarginBefore = 500 * time.Millisecond
	faultMarginAfter  = contactMs * time.Millisecond
	// drainSlack allows for requests in flight when the draining was acknowledged.
	drainSlack = 2 * time.Second
	// earliestGraceCutoff is the time after SIGTERM from which a draining router may abort the
	// requests still running. maxSentAfterTerminate limits this excuse to requests sent by then.
	earliestGraceCutoff   = graceS * time.Second * 5 / 6
	maxSentAfterTerminate = 3 * time.Second
	// maxCloseRace is the longest time, on a loaded machine, until a client detects that its
	// request was sent while the router closed the connection. A router that closes later has read
	// the request.
	maxCloseRace = 2 * time.Second
	// minServedShare is the smallest acceptable share of served requests after the faults.
	minServedShare    = 0.25
	minRecoverySample = 20
)

// Evaluate returns all violations in chronological order.
func Evaluate(evidence Evidence) []Violation {
	j := evaluator{Evidence: evidence, runsByAttempt: map[string][]standin.Run{}, recordByAttempt: map[string]load.Record{}}
	j.index()
	for _, record := range j.Records {
		j.checkRecord(record)
	}
	j.checkRuns()
	j.checkDraining()
	j.checkConfiguration()
	j.checkWeights()
	j.checkUsage()
	checkTallies(&j)
	checkEvacuations(&j)
	checkMemory(&j)
	j.checkRecovery()
	j.checkProcesses()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return j.violations
}

type evaluator struct {
	Evidence
	runsByAttempt   map[string][]standin.Run // one run for each seal
	recordByAttempt map[string]load.Record
	violations      []Violation
}

func (e *evaluator) addViolation(rule Rule, at time.Time, format string, args ...any) {
	e.violations = append(e.violations, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
}

// index groups the runs by attempt. The entry for the end of a run replaces the entry for its
// beginning.
func (e *evaluator) index() {
	positions := map[string]int{}
	for _, run := range e.Runs {
		runs := e.runsByAttempt[run.Attempt]
		if at, begun := positions[run.Seal]; begun {
			runs[at] = run
			continue
		}
		positions[run.Seal] = len(runs)
		e.runsByAttempt[run.Attempt] = append(runs, run)
	}
	for _, record := range e.Records {
		e.recordByAttempt[record.Attempt] = record
	}
}

func (e *evaluator) checkRecord(r load.Record) {
	if r.Fault != "" {
		e.addViolation(RuleMixed, r.Ended, "%s: %s", r, r.Fault)
	}
	if r.Outcome != load.Answered {
		e.checkUnanswered(r)
		return
	}
	runs := e.runsByAttempt[r.Attempt]
	switch {
	case r.Status/100 == 2:
		if !slices.ContainsFunc(runs, func(run standin.Run) bool { return run.Seal == r.Seal }) {
			e.addViolation(RuleMixed, r.Ended, "%s: the seal is of no run of this request", r)
		}
	case guaranteesNotRun(r.Status):
		if len(runs) > 0 && !r.Kind.Class.Repeatable() {
			e.addViolation(RuleRefused, r.Ended, "%s: has run at %s", r, runs[0].Runner)
		}
	case r.Status/100 == 3 || r.Status/100 == 4:
		e.addViolation(RuleDenied, r.Ended, "%s", r)
	}
}

// guaranteesNotRun reports whether a status guarantees that the request has not run and never
// will.
func guaranteesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkUnanswered reports a request without a complete answer unless a fault explains it.
func (e *evaluator) checkUnanswered(r load.Record) {
	for _, span := range e.Spans {
		if e.explains(span, r) {
			return
		}
	}
	e.addViolation(RuleLost, r.Ended, "%s: %d runs, no fault on its path", r, len(e.runsByAttempt[r.Attempt]))
}

// explains reports whether a fault explains that a request got no complete answer.
func (e *evaluator) explains(span Span, r load.Record) bool {
	switch span.Fault.Kind {
	case KillRouter, PauseRouter, SilenceRouter, CutFront:
		return span.Node == r.Node && overlaps(span, r.Sent, r.Ended)
	case TerminateRouter:
		return span.Node == r.Node && overlaps(span, r.Sent, r.Ended) && e.drainExplains(span, r)
	case CrashRunner, CutRunner, LoseRunner, FloodRunner:
		return overlaps(span, r.Sent, r.Ended) && e.mayHaveReachedRunner(span, r)
	case LeaveRunner, LeaveUndrained:
		return overlaps(span, r.Sent, r.Ended) && e.mayHaveReachedRunner(span, r) && runnerEndedBefore(span, r)
	default:
		return false // controllers are not on the path of a request
	}
}

// runnerEndedBefore reports whether a runner with a planned departure had stopped when the
// request ended: stopping aborts the requests still running there. A runner without an
// acknowledgement may stop at any time.
func runnerEndedBefore(span Span, r load.Record) bool {
	return span.Acknowledged.IsZero() || r.Ended.After(span.To.Add(-faultMarginBefore))
}

// mayHaveReachedRunner reports whether a request may have been sent to the runner of a fault:
// it ran there, or it ran nowhere, or it may have been retried at a second runner.
func (e *evaluator) mayHaveReachedRunner(span Span, r load.Record) bool {
	runs := e.runsByAttempt[r.Attempt]
	ranThere := slices.ContainsFunc(runs, func(run standin.Run) bool { return run.Runner == span.Runner })
	return ranThere || len(runs) == 0 || r.Kind.Class.Repeatable()
}

// drainExplains reports whether a draining router may have aborted a request: either the
// request was sent while the router closed the connection and was not forwarded, or it was
// still running late in the grace period.
func (e *evaluator) drainExplains(span Span, r load.Record) bool {
	if len(e.runsByAttempt[r.Attempt]) == 0 {
		return r.Ended.Sub(r.Sent) < maxCloseRace
	}
	inTime := r.Sent.Before(span.From.Add(maxSentAfterTerminate))
	return inTime && !r.Ended.Before(span.From.Add(earliestGraceCutoff))
}

// overlaps reports whether a fault, extended by its margins, overlaps the given period.
func overlaps(span Span, from, to time.Time) bool {
	return span.From.Add(-faultMarginBefore).Before(to) && from.Before(span.To.Add(faultMarginAfter))
}

// checkRuns checks what ran at the runners.
func (e *evaluator) checkRuns() {
	probes := map[string]bool{}
	for _, probe := range e.Probes {
		probes[probe.Attempt] = true
	}
	for attempt, runs := range e.runsByAttempt {
		record, known := e.recordByAttempt[attempt]
		first := runs[0]
		if first.Tenant != tenantName {
			e.addViolation(RuleUnasked, first.Began, "%s ran for tenant %q", attempt, first.Tenant)
		}
		switch {
		case known:
			e.checkRunsOfRecord(record, runs)
		case !probes[attempt]:
			e.addViolation(RuleUnasked, first.Began, "%s ran at %s, and no client sent it", attempt, first.Runner)
		}
	}
}

func (e *evaluator) checkRunsOfRecord(r load.Record, runs []standin.Run) {
	for _, run := range runs {
		if run.Checksum != r.Checksum || run.Path != r.Kind.Path {
			e.addViolation(RuleUnasked, run.Began, "%s: ran with another path or body: %s", r, run.Path)
		}
	}
	last := runs[len(runs)-1]
	switch {
	case len(runs) > 1 && !r.Kind.Class.Repeatable():
		e.addViolation(RuleTwice, last.Began, "%s: ran %d times, last at %s", r, len(runs), last.Runner)
	case len(runs) > maxRouteAttempts && !e.hasFault(ComponentRunner, r.Sent, r.Ended):
		e.addViolation(RuleBudget, last.Began, "%s: ran %d times", r, len(runs))
	}
}

func (e *evaluator) hasFault(component ComponentKind, from, to time.Time) bool {
	return slices.ContainsFunc(e.Spans, func(span Span) bool {
		return span.Fault.Kind.Component() == component && overlaps(span, from, to)
	})
}

// checkDraining reports requests that reached a runner long after a controller had acknowledged
// its draining.
func (e *evaluator) checkDraining() {
	for _, span := range e.Spans {
		if span.Acknowledged.IsZero() {
			continue
		}
		late := span.Acknowledged.Add(drainMs*time.Millisecond + drainSlack)
		for _, run := range e.Runs {
			isLate := run.Runner == span.Runner && run.Ended.IsZero() && run.Began.After(late)
			if isLate && !e.explainsLateRun(run) {
				e.addViolation(RuleDrain, run.Began, "%s ran at %s %s after its draining was acknowledged", run.Attempt, run.Runner, run.Began.Sub(span.Acknowledged))
			}
		}
	}
}

// explainsLateRun reports whether the router that forwarded the request may not have been in touch: there
// was a fault of the router itself or of a controller less than contactMs before. An earlier
// fault is no excuse: the acknowledgement binds, whatever happened to those that gave it.
func (e *evaluator) explainsLateRun(run standin.Run) bool {
	forwardedBy := e.recordByAttempt[run.Attempt].Node
	return slices.ContainsFunc(e.Spans, func(span Span) bool {
		component := span.Fault.Kind.Component()
		onPath := component == ComponentController || component == ComponentRouter && span.Node == forwardedBy
		return onPath && overlaps(span, run.Began, run.Began)
	})
}

// checkRecovery requires service after the faults if there was service before them: the load of
// the clients may exceed the capacity of the runners throughout.
func (e *evaluator) checkRecovery() {
	before, sentBefore := CountServed(e.Records, time.Time{}, e.Faulty)
	after, sentAfter := CountServed(e.Records, e.Calm, endOfTime)
	served := sentBefore == 0 || float64(before) >= minServedShare*float64(sentBefore)
	if served && sentAfter >= minRecoverySample && float64(after) < minServedShare*float64(sentAfter) {
		e.addViolation(RuleRecover, e.Calm, "%d of %d requests served after the faults, %d of %d before", after, sentAfter, before, sentBefore)
	}
	for _, name := range e.Unserved {
		e.addViolation(RuleRecover, e.Calm, "%s doesn't serve after the faults", name)
	}
	for _, span := range e.Spans {
		if !span.Back {
			e.addViolation(RuleRecover, span.To, "%s doesn't serve after %s", span.Node, span.Fault)
		}
	}
}

// endOfTime is later than any time in a soak.
var endOfTime = time.Unix(1<<40, 0)

// CountServed counts the requests sent from from until before to, and those of them that
// succeeded.
func CountServed(records []load.Record, from, to time.Time) (served, sent int) {
	for _, r := range records {
		if r.Sent.Before(from) || !r.Sent.Before(to) {
			continue
		}
		sent++
		if r.Outcome == load.Answered && r.Status/100 == 2 {
			served++
		}
	}
	return served, sent
}

func (e *evaluator) checkProcesses() {
	for _, end := range e.OwnEnds {
		e.addViolation(RuleProcess, e.Calm, "%s", end)
	}
	for _, finding := range e.LogFindings {
		e.addViolation(RuleInvariants, e.Calm, "%s: %s", finding.Node, finding.Line)
	}
}
