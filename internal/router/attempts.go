// The attempts of a request: the decision of admission, each attempt (send.go), and what
// follows when an attempt fails, as package attempt decides.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// run makes the attempts of a request, until it is answered or rejected.
func (e *exchange) run() {
	if !e.enter() {
		return
	}
	defer e.returnToken()
	e.router.admissionMu.Lock()
	e.router.budget(e.service).Request(e.startUs)
	e.router.admissionMu.Unlock()
	for e.makeAttempt() {
	}
	if e.stream != nil && e.stream.started && !e.stream.finished {
		e.ended = compliance.Cut
		e.cut()
	}
}

// makeAttempt makes the next attempt. It reports whether another one follows.
func (e *exchange) makeAttempt() bool {
	decision := e.nextPlace()
	if decision.Admission == nil {
		e.rejectUnplaced(decision)
		return false
	}
	if !e.reenter(decision.Admission) {
		return false
	}
	e.checkRepeat()
	var end attempt.Result
	end, e.stream = e.send(decision.Admission, e.stream)
	if end != attempt.Answered && e.client.hasLeft() {
		end = attempt.ClientGone
	}
	e.recordAttempt(end)
	switch end {
	case attempt.Moving:
		e.sequence.Moved()
		return true
	case attempt.Answered:
		e.ended = compliance.Answered
		return false
	case attempt.ClientGone:
		e.ended = compliance.Cut
		e.releaseNext()
		e.cut()
		return false
	}
	if !e.retries(end, decision.Admission.Runner.ID) {
		e.rejectFailed()
		return false
	}
	return true
}

// nextPlace is where the next attempt goes.
func (e *exchange) nextPlace() admission.Decision {
	if e.next != nil {
		return admission.Decision{Admission: e.next.adm}
	}
	return e.admit()
}

// retries tells whether another attempt follows one that failed.
func (e *exchange) retries(end attempt.Result, runnerID string) bool {
	if end == attempt.NotSent && e.changed {
		e.changed, end = false, attempt.Outdated
	}
	next := e.sequence.Failed(e.repeatRules(), end, e.timeOver(), retryBudget{e})
	if next.Avoid {
		e.request.ExcludedRunners = append(e.request.ExcludedRunners, runnerID)
	}
	return next.Retry
}

// repeatRules is what the route says of repeats.
func (e *exchange) repeatRules() attempt.Request {
	return attempt.Request{Repeatable: e.route.Repeatable(), Tries: e.route.Tries}
}

// retryBudget pays for the further attempts of a request.
type retryBudget struct{ e *exchange }

// Spend takes a retry from the budget of the service.
func (b retryBudget) Spend() bool { return b.e.spendRetry() }

// rejectUnplaced answers a request for which there is no place, unless a part of
// its answer has gone out.
func (e *exchange) rejectUnplaced(decision admission.Decision) {
	switch {
	case e.stream != nil:
	case e.sequence.MayHaveRun():
		e.reject(e.sequence.EndStatus(e.router.clock() >= e.endUs), decision.Reason, 0)
	default:
		e.reject(decision.Status, decision.Reason, decision.RetryAfterUs)
	}
}

// againUs is after how long a client may come back whose request found no runner.
const againUs = 100_000

// rejectFailed answers a request whose last attempt has failed.
func (e *exchange) rejectFailed() {
	if e.stream != nil && e.stream.started {
		return
	}
	e.reject(e.sequence.EndStatus(e.timeOver()), "", againUs)
}

// spendRetry takes a further attempt from the budget, if there is one.
func (e *exchange) spendRetry() bool {
	e.router.admissionMu.Lock()
	defer e.router.admissionMu.Unlock()
	return e.router.budget(e.service).Spend(e.router.clock(), int(e.router.nodes.Load()))
}

func (r *Router) budget(service string) *upstream.Budget {
	b := r.budgets[service]
	if b == nil {
		s := r.set.Bounds
		b = &upstream.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, WindowUs: int64(s.RetryWindowS * 1e6)}
		r.budgets[service] = b
	}
	return b
}

// admit asks the admission control, and waits where the request is held.
func (e *exchange) admit() admission.Decision {
	c := e.router
	ch := make(chan admission.Decision, 1)
	e.request.Ref = c.slab.Put(func(r admission.Decision) { ch <- r })
	now := c.clock()
	e.request.TimeLeftUs = e.endUs - now
	c.admissionMu.Lock()
	e.request.Canary = e.sequence.IsFirst() && (e.request.Canary || c.admission.DrawCanary(e.service))
	r := c.admission.Submit(e.request, now)
	if r.Reason == admission.RejectQueue || r.Reason == admission.RejectTokens {
		if shed, ok := c.admission.ShedLowerPriority(e.request, now); ok {
			defer c.slab.Resume(shed.Ref, shed)
			r = c.admission.Submit(e.request, now)
		}
	}
	fresh := c.admission.HasExpectedPrefixes()
	c.admissionMu.Unlock()
	if fresh {
		signal(c.prefixesPending)
	}
	signal(c.loadsChanged)
	if !r.Queued {
		c.slab.Drop(e.request.Ref)
		return r
	}
	c.wakeQueue()
	return e.awaitDecision(ch)
}

// awaitDecision waits in the queue. A request that nothing was sent of leaves it as soon as
// the router drains, if it may outlast the router.
func (e *exchange) awaitDecision(decision <-chan admission.Decision) admission.Decision {
	drainBegun := e.router.drainBegun
	for {
		select {
		case r := <-decision:
			return r
		case <-e.client.leftChannel():
			return e.abandon(decision, "")
		case <-e.router.lastAnswers:
			return e.abandon(decision, rejectDraining)
		case <-drainBegun:
			if e.sequence.Sent() == 0 && !e.router.shutdown.Load().forwards(e.endUs) {
				return e.abandon(decision, rejectDraining)
			}
			drainBegun = nil
		}
	}
}

// abandon takes a request out of the queue whose client has left, or whose router ends.
// A decision that was already on its way stands.
func (e *exchange) abandon(decision <-chan admission.Decision, reason admission.Reason) admission.Decision {
	c := e.router
	if !c.slab.Drop(e.request.Ref) {
		return <-decision
	}
	c.admissionMu.Lock()
	c.admission.Abandon(e.request)
	c.admissionMu.Unlock()
	return admission.Decision{Ref: e.request.Ref, Status: 503, Reason: reason, RetryAfterUs: drainRetryUs}
}
