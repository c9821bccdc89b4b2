// The attempts of a request: admission, the attempts themselves (send.go), and the retry after a
// failed attempt, as package attempt decides.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// run makes attempts until the request is answered or rejected. It closes the client's connection
// if a stream has begun and cannot be finished.
func (e *exchange) run() {
	if !e.acquireInitialToken() {
		return
	}
	defer e.returnToken()
	e.router.admissionMu.Lock()
	e.router.budget(e.service).RecordRequest(e.startUs)
	e.router.admissionMu.Unlock()
	for e.makeAttempt() {
	}
	if e.stream != nil && e.stream.started && !e.stream.finished {
		e.outcome = compliance.Cut
		e.closeClientConn()
	}
}

// makeAttempt makes the next attempt. It reports whether another one follows.
func (e *exchange) makeAttempt() bool {
	decision := e.nextDecision()
	if decision.Admission == nil {
		e.rejectNotAdmitted(decision)
		return false
	}
	if !e.acquireAttemptToken(decision.Admission) {
		return false
	}
	e.checkRepeat()
	var result attempt.Result
	result, e.stream = e.send(decision.Admission, e.stream)
	if result != attempt.Answered && e.client.isGone() {
		result = attempt.ClientGone
	}
	e.recordAttempt(result)
	switch result {
	case attempt.Moving:
		e.sequence.Moved()
		return true
	case attempt.Answered:
		e.outcome = compliance.Answered
		return false
	case attempt.ClientGone:
		e.outcome = compliance.Cut
		e.releaseReserved()
		e.closeClientConn()
		return false
	}
	if !e.shouldRetry(result, decision.Admission.Runner.ID) {
		e.rejectFailed()
		return false
	}
	return true
}

// nextDecision returns the capacity that has been reserved for a moving stream, or the decision of
// the admission control on the next attempt.
func (e *exchange) nextDecision() admission.Decision {
	if e.reserved != nil {
		return admission.Decision{Admission: e.reserved.adm}
	}
	return e.admit()
}

// shouldRetry reports whether another attempt follows one that failed with result.
func (e *exchange) shouldRetry(result attempt.Result, runnerID string) bool {
	if result == attempt.NotSent && e.regimeChanged {
		e.regimeChanged, result = false, attempt.AdmissionOutdated
	}
	next := e.sequence.Failed(e.retryPolicy(), result, e.timeExpired(), retryBudget{e})
	if next.AvoidRunner {
		e.request.ExcludedRunners = append(e.request.ExcludedRunners, runnerID)
	}
	return next.Retry
}

// retryPolicy returns the route's limits on repeated attempts.
func (e *exchange) retryPolicy() attempt.Request {
	return attempt.Request{Repeatable: e.route.Repeatable(), MaxAttempts: e.route.Tries}
}

// retryBudget adapts the retry budget of the request's service to attempt.Budget.
type retryBudget struct{ e *exchange }

// Spend takes a retry from the budget of the service and reports whether there was one.
func (b retryBudget) Spend() bool { return b.e.spendRetry() }

// rejectNotAdmitted answers a request that was not admitted. It does nothing if a streamed
// response has begun.
func (e *exchange) rejectNotAdmitted(decision admission.Decision) {
	switch {
	case e.stream != nil:
	case e.sequence.MayHaveRun():
		e.reject(e.sequence.EndStatus(e.router.clock() >= e.deadlineUs), decision.Reason, 0)
	default:
		e.reject(decision.Status, decision.Reason, decision.RetryAfterUs)
	}
}

// defaultRetryAfterUs is the Retry-After of a request for which no runner was found, in
// microseconds.
const defaultRetryAfterUs = 100_000

// rejectFailed answers a request whose last attempt has failed. It does nothing if a part of a
// streamed response has been sent to the client.
func (e *exchange) rejectFailed() {
	if e.stream != nil && e.stream.started {
		return
	}
	e.reject(e.sequence.EndStatus(e.timeExpired()), "", defaultRetryAfterUs)
}

// spendRetry takes a retry from the service's budget and reports whether there was one.
func (e *exchange) spendRetry() bool {
	e.router.admissionMu.Lock()
	defer e.router.admissionMu.Unlock()
	return e.router.budget(e.service).Spend(e.router.clock(), int(e.router.nodes.Load()))
}

func (r *Router) budget(service string) *upstream.RetryBudget {
	b := r.budgets[service]
	if b == nil {
		s := r.set.Bounds
		b = &upstream.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, WindowUs: int64(s.RetryWindowS * 1e6)}
		r.budgets[service] = b
	}
	return b
}

// admit submits the request to the admission control, and waits for the decision if the request is
// queued. If the queue is full, by requests or by tokens, it sheds a queued request of lower
// priority and submits once more.
func (e *exchange) admit() admission.Decision {
	router := e.router
	ch := make(chan admission.Decision, 1)
	e.request.Ref = router.slab.Store(func(r admission.Decision) { ch <- r })
	now := router.clock()
	e.request.TimeLeftUs = e.deadlineUs - now
	router.admissionMu.Lock()
	e.request.Canary = e.sequence.IsFirst() && (e.request.Canary || router.admission.DrawCanary(e.service))
	r := router.admission.Submit(e.request, now)
	if r.Reason == admission.RejectQueue || r.Reason == admission.RejectTokens {
		if shed, ok := router.admission.ShedLowerPriority(e.request, now); ok {
			defer router.slab.Resume(shed.Ref, shed)
			r = router.admission.Submit(e.request, now)
		}
	}
	fresh := router.admission.HasExpectedPrefixes()
	router.admissionMu.Unlock()
	if fresh {
		signal(router.prefixesPending)
	}
	signal(router.loadsChanged)
	if !r.Queued {
		router.slab.Drop(e.request.Ref)
		return r
	}
	router.wakeQueue()
	return e.awaitDecision(ch)
}

// awaitDecision waits until the queued request is admitted or rejected. The request leaves the
// queue when its client closes the connection, when the final phase of a shutdown begins, and, if
// none of its attempts has been sent and its deadline is after the end of the shutdown, as soon as
// the router drains.
func (e *exchange) awaitDecision(decision <-chan admission.Decision) admission.Decision {
	drainBegun := e.router.drainBegun
	for {
		select {
		case r := <-decision:
			return r
		case <-e.client.goneChannel():
			return e.abandon(decision, "")
		case <-e.router.finalPhase:
			return e.abandon(decision, rejectDraining)
		case <-drainBegun:
			if e.sequence.Sent() == 0 && !e.router.shutdown.Load().mayForward(e.deadlineUs) {
				return e.abandon(decision, rejectDraining)
			}
			drainBegun = nil
		}
	}
}

// abandon removes the request from the queue, as its client has left or the router shuts down. If
// it has already been decided on, that decision is returned.
func (e *exchange) abandon(decision <-chan admission.Decision, reason admission.Reason) admission.Decision {
	router := e.router
	if !router.slab.Drop(e.request.Ref) {
		return <-decision
	}
	router.admissionMu.Lock()
	router.admission.Abandon(e.request)
	router.admissionMu.Unlock()
	return admission.Decision{Ref: e.request.Ref, Status: 503, Reason: reason, RetryAfterUs: drainRetryAfterUs}
}
