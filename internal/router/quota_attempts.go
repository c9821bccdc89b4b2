// Tokens of a request: it begins with one, and every attempt that a runner may run uses one.

package router

import (
	"time"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/router/quotaclient"
)

// Reasons of rejections for a tenant's limit.
const (
	rejectOverQuota  admission.Reason = "tenant-quota"
	rejectNoCounting admission.Reason = "tenant-quota-unavailable"
)

// Bounds of how long a request waits for a token, in microseconds: a quarter of its latency
// target, after which an early rejection would count as a late one.
const (
	minQuotaWaitUs = 40_000
	maxQuotaWaitUs = 200_000
	// moveQuotaWaitUs is how long a stream that could move elsewhere waits.
	moveQuotaWaitUs = 50_000
)

// limited reports whether the request's tenant has a limit.
func (e *exchange) limited() bool { return e.tenant != nil && !e.limit.Unlimited() }

// acquireToken gets a token, unless the request has one that is valid. It reports what
// became of it.
func (e *exchange) acquireToken(arrives bool, waitUs int64) quotaclient.Answer {
	if !e.limited() || e.token.Valid(e.router.clock()) {
		return quotaclient.Answer{Outcome: quotaclient.Granted, Token: e.token}
	}
	answer := e.router.quotas.Acquire(e.tenant.Name, e.limit, arrives, waitUs, e.client.leftChannel())
	if answer.Outcome == quotaclient.Granted {
		e.token = answer.Token
	}
	return answer
}

// quotaWaitUs is how long the request may wait for a token.
func (e *exchange) quotaWaitUs() int64 {
	waitUs := min(max(e.route.SetpointUs/4-10_000, minQuotaWaitUs), maxQuotaWaitUs)
	return min(waitUs, max(e.endUs-e.router.clock(), 0))
}

// enter gets the token with which the request begins; without one it is rejected.
func (e *exchange) enter() bool {
	answer := e.acquireToken(true, e.quotaWaitUs())
	if answer.Outcome != quotaclient.Granted {
		e.rejectWithoutToken(answer)
	}
	return answer.Outcome == quotaclient.Granted
}

// reenter gets a token for an attempt where the request has none any more: the one that it
// began with has been used by an earlier attempt, or is too old. Without one, the attempt's
// place is released and the request ends.
func (e *exchange) reenter(adm *admission.Admission) bool {
	answer := e.acquireToken(false, e.quotaWaitUs())
	if e.stream != nil && e.stream.started {
		answer = e.awaitToken(answer)
	}
	if answer.Outcome == quotaclient.Granted {
		return true
	}
	if e.next != nil {
		e.releaseNext()
	} else {
		e.router.done(adm, true)
	}
	switch {
	case e.stream != nil || e.sequence.MayHaveRun():
		e.rejectFailed()
	default:
		e.rejectWithoutToken(answer)
	}
	return false
}

// awaitToken waits for a token for a stream of which the client has a part, while the request
// has time left: such a stream can neither be rejected nor begun anew. A stream on the move has
// a token when it leaves its runner, which may expire before the next attempt is sent.
func (e *exchange) awaitToken(answer quotaclient.Answer) quotaclient.Answer {
	for answer.Outcome != quotaclient.Granted {
		leftUs := e.endUs - e.router.clock()
		if leftUs <= 0 || !e.pause(min(answer.WaitUs, leftUs)) {
			return answer
		}
		answer = e.acquireToken(false, e.quotaWaitUs())
	}
	return answer
}

// pause waits. It returns false at once if the client leaves or the router ends.
func (e *exchange) pause(forUs int64) bool {
	timer := time.NewTimer(time.Duration(forUs) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.client.leftChannel():
	case <-e.router.lastAnswers:
	}
	return false
}

func (e *exchange) rejectWithoutToken(answer quotaclient.Answer) {
	if answer.Outcome == quotaclient.Denied {
		e.reject(429, rejectOverQuota, answer.WaitUs)
	} else {
		e.reject(503, rejectNoCounting, answer.WaitUs)
	}
}

// spendToken is called as the request leaves for a runner. refundToken takes that back, as
// the runner has said that it has not run it, or has got nothing of it.
func (e *exchange) spendToken() { e.spent, e.token = e.token, quota.Token{} }

func (e *exchange) refundToken() { e.token, e.spent = e.spent, quota.Token{} }

// returnToken gives back what the request has not used, as it ends.
func (e *exchange) returnToken() {
	if e.limited() && e.token != (quota.Token{}) {
		e.router.quotas.Return(e.tenant.Name, e.token)
	}
}
