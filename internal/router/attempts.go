// The attempts of a request: the decision of admission, each attempt (send.go), the
// stream, and what may follow when an attempt fails. Another attempt is made only
// where the runner said that it has not run the request, where nothing was sent, or
// where the route is repeatable; and only within tries, budget and time.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// attemptResult is how an attempt went.
type attemptResult int

const (
	resultAnswered  attemptResult = iota // the client has the whole answer
	resultNotSent                        // nothing reached the runner
	resultNotRun                         // the runner said that it has not run it
	resultUnknown                        // it was sent, and may have run
	resultBrokenOff                      // broken after a part had been passed on
	resultClientGone
	resultMoving // it goes on at another runner, whose place and link are there

	resultSent // it has been sent, and the answer is to be read
)

// maxUnsent bounds how many runners are tried whose links do not come up.
const maxUnsent = 4

// progress is how far a request has come.
type progress struct {
	stream *answerStream
	unsent int  // attempts of which nothing reached a runner
	ran    bool // it may have run somewhere
}

// run makes the attempts of a request, until it is answered or rejected.
func (e *exchange) run() {
	if !e.enter() {
		return
	}
	defer e.returnToken()
	e.c.admissionMu.Lock()
	e.c.budget(e.service).Request(e.startUs)
	e.c.admissionMu.Unlock()
	var state progress
	for e.attempt(&state) {
	}
	if state.stream != nil && state.stream.started && !state.stream.finished {
		e.ended = compliance.Cut
		e.cut()
	}
}

// attempt makes the next attempt. It reports whether another one follows.
func (e *exchange) attempt(state *progress) bool {
	decision := e.nextPlace()
	if decision.Admit == nil {
		e.rejectUnplaced(decision, state)
		return false
	}
	if !e.reenter(decision.Admit, state) {
		return false
	}
	e.checkRepeat(state)
	var end attemptResult
	end, state.stream = e.send(decision.Admit, state.stream)
	if end != resultAnswered && e.client.hasLeft() {
		end = resultClientGone
	}
	e.recordAttempt(end)
	switch end {
	case resultMoving:
		return true
	case resultAnswered:
		e.ended = compliance.Answered
		return false
	case resultClientGone:
		e.ended = compliance.Cut
		e.releaseNext()
		e.cut()
		return false
	}
	if !e.retries(end, decision.Admit.Runner.ID, state) {
		e.rejectFailed(state)
		return false
	}
	return true
}

// nextPlace is where the next attempt goes.
func (e *exchange) nextPlace() admission.Decision {
	if e.next != nil {
		return admission.Decision{Admit: e.next.adm}
	}
	return e.admit()
}

// retries tells whether another attempt follows one that failed.
func (e *exchange) retries(end attemptResult, runnerID string, state *progress) bool {
	if end == resultNotSent {
		return e.retriesUnsent(runnerID, state)
	}
	e.request.Avoid = append(e.request.Avoid, runnerID)
	if end != resultNotRun {
		state.ran = true
		if !e.route.Repeatable() {
			return false
		}
	}
	return e.attempts < max(e.route.Tries, 1) && !e.timeOver() && e.spendRetry()
}

// retriesUnsent is the same for an attempt of which nothing reached the runner: it
// counts neither as a try nor against the budget.
func (e *exchange) retriesUnsent(runnerID string, state *progress) bool {
	e.attempts--
	state.unsent++
	if state.unsent >= maxUnsent || e.timeOver() {
		return false
	}
	if e.changed {
		e.changed = false
		return true
	}
	e.request.Avoid = append(e.request.Avoid, runnerID)
	return true
}

// rejectUnplaced answers a request for which there is no place, unless a part of
// its answer has gone out.
func (e *exchange) rejectUnplaced(decision admission.Decision, state *progress) {
	switch {
	case state.stream != nil:
	case state.ran && e.c.clock() >= e.endUs:
		e.reject(504, decision.Reject, 0)
	case state.ran:
		e.reject(502, decision.Reject, 0)
	default:
		e.reject(decision.Status, decision.Reject, decision.AgainUs)
	}
}

// againUs is after how long a client may come back whose request found no runner.
const againUs = 100_000

// rejectFailed answers a request whose last attempt has failed. What may have run
// gets no status that promises that it has not.
func (e *exchange) rejectFailed(state *progress) {
	switch {
	case state.stream != nil && state.stream.started:
	case state.ran && e.timeOver():
		e.reject(504, "", 0)
	case state.ran:
		e.reject(502, "", 0)
	default:
		e.reject(503, "", againUs)
	}
}

// spendRetry takes a further attempt from the budget, if there is one.
func (e *exchange) spendRetry() bool {
	e.c.admissionMu.Lock()
	defer e.c.admissionMu.Unlock()
	return e.c.budget(e.service).Spend(e.c.clock(), int(e.c.nodes.Load()))
}

func (c *Router) budget(service string) *upstream.Budget {
	b := c.budgets[service]
	if b == nil {
		s := c.set.Bounds
		b = &upstream.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, WindowUs: int64(s.RetryWindowS * 1e6)}
		c.budgets[service] = b
	}
	return b
}

// admit asks the admission control, and waits where the request is held.
func (e *exchange) admit() admission.Decision {
	c := e.c
	ch := make(chan admission.Decision, 1)
	e.request.Ref = c.slab.Put(func(r admission.Decision) { ch <- r })
	now := c.clock()
	e.request.LeftUs = e.endUs - now
	c.admissionMu.Lock()
	r := c.admission.Submit(e.request, now)
	if r.Reject == admission.RejectQueue || r.Reject == admission.RejectTokens {
		if shed, ok := c.admission.ShedFor(e.request, now); ok {
			defer c.slab.Resume(shed.Ref, shed)
			r = c.admission.Submit(e.request, now)
		}
	}
	fresh := c.admission.HasFresh()
	c.admissionMu.Unlock()
	if fresh {
		signal(c.prefixesPending)
	}
	signal(c.loadsChanged)
	if !r.Hold {
		c.slab.Drop(e.request.Ref)
		return r
	}
	c.wakeQueue()
	return e.awaitDecision(ch)
}

// awaitDecision waits in the queue. A request that nothing was sent of leaves it as soon as
// the router drains, if it may outlast the router.
func (e *exchange) awaitDecision(decision <-chan admission.Decision) admission.Decision {
	drainBegun := e.c.drainBegun
	for {
		select {
		case r := <-decision:
			return r
		case <-e.client.leftChannel():
			return e.abandon(decision, "")
		case <-e.c.lastAnswers:
			return e.abandon(decision, rejectDraining)
		case <-drainBegun:
			if e.attempts == 0 && !e.c.shutdown.Load().forwards(e.endUs) {
				return e.abandon(decision, rejectDraining)
			}
			drainBegun = nil
		}
	}
}

// abandon takes a request out of the queue whose client has left, or whose router ends.
// A decision that was already on its way stands.
func (e *exchange) abandon(decision <-chan admission.Decision, reason admission.Reason) admission.Decision {
	c := e.c
	if !c.slab.Drop(e.request.Ref) {
		return <-decision
	}
	c.admissionMu.Lock()
	c.admission.Abandon(e.request)
	c.admissionMu.Unlock()
	return admission.Decision{Ref: e.request.Ref, Status: 503, Reject: reason, AgainUs: drainRetryUs}
}
