// Quota tokens of a request. A request needs one to begin, and every attempt that a runner may
// have run uses one.

package router

import (
	"time"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/router/quotaclient"
)

// Reasons for rejecting a request because of its tenant's limit.
const (
	rejectOverQuota        admission.Reason = "tenant-quota"
	rejectQuotaUnavailable admission.Reason = "tenant-quota-unavailable"
)

// Bounds on the wait for a token, in microseconds. The wait is a quarter of the latency target;
// after a longer one a rejection would no longer count as early.
const (
	minQuotaWaitUs = 40_000
	maxQuotaWaitUs = 200_000
	// moveQuotaWaitUs is the wait of a stream that could move to another runner.
	moveQuotaWaitUs = 50_000
)

// limited reports whether the request's tenant has a limit.
func (e *exchange) limited() bool { return e.tenant != nil && !e.quotaLimit.Unlimited() }

// acquireToken acquires a token, unless the request holds a valid one, and waits up to waitUs for
// it. isArrival reports whether the request begins; it is false for further attempts.
func (e *exchange) acquireToken(isArrival bool, waitUs int64) quotaclient.Answer {
	if !e.limited() || e.quotaToken.Valid(e.router.clock()) {
		return quotaclient.Answer{Outcome: quotaclient.Granted, Token: e.quotaToken}
	}
	answer := e.router.quotas.Acquire(e.tenant.Name, e.quotaLimit, isArrival, waitUs, e.client.goneChannel())
	if answer.Outcome == quotaclient.Granted {
		e.quotaToken = answer.Token
	}
	return answer
}

// quotaWaitUs returns how long the request may wait for a token.
func (e *exchange) quotaWaitUs() int64 {
	waitUs := min(max(e.route.SetpointUs/4-10_000, minQuotaWaitUs), maxQuotaWaitUs)
	return min(waitUs, max(e.deadlineUs-e.router.clock(), 0))
}

// acquireInitialToken acquires the token with which the request begins. It rejects the request and
// returns false if there is none.
func (e *exchange) acquireInitialToken() bool {
	answer := e.acquireToken(true, e.quotaWaitUs())
	if answer.Outcome != quotaclient.Granted {
		e.rejectWithoutToken(answer)
	}
	return answer.Outcome == quotaclient.Granted
}

// acquireAttemptToken acquires a token for an attempt if the initial one has been used by an
// earlier attempt or has expired. If there is none it releases the capacity of the attempt, ends
// the request and returns false.
func (e *exchange) acquireAttemptToken(adm *admission.Admission) bool {
	answer := e.acquireToken(false, e.quotaWaitUs())
	if e.stream != nil && e.stream.started {
		answer = e.awaitToken(answer)
	}
	if answer.Outcome == quotaclient.Granted {
		return true
	}
	if e.reserved != nil {
		e.releaseReserved()
	} else {
		e.router.releaseCapacity(adm, true)
	}
	switch {
	case e.stream != nil || e.sequence.MayHaveRun():
		e.rejectFailed()
	default:
		e.rejectWithoutToken(answer)
	}
	return false
}

// awaitToken keeps acquiring a token until the deadline, for a stream that the client has received
// in part: such a stream can neither be rejected nor started anew. A moving stream acquires its
// token before it leaves its runner, but the token may expire before the next attempt is sent.
func (e *exchange) awaitToken(answer quotaclient.Answer) quotaclient.Answer {
	for answer.Outcome != quotaclient.Granted {
		leftUs := e.deadlineUs - e.router.clock()
		if leftUs <= 0 || !e.sleepUs(min(answer.WaitUs, leftUs)) {
			return answer
		}
		answer = e.acquireToken(false, e.quotaWaitUs())
	}
	return answer
}

// sleepUs waits. It returns false early if the client leaves or the final phase of the shutdown
// begins.
func (e *exchange) sleepUs(durationUs int64) bool {
	timer := time.NewTimer(time.Duration(durationUs) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.client.goneChannel():
	case <-e.router.finalPhase:
	}
	return false
}

func (e *exchange) rejectWithoutToken(answer quotaclient.Answer) {
	if answer.Outcome == quotaclient.Denied {
		e.reject(429, rejectOverQuota, answer.WaitUs)
	} else {
		e.reject(503, rejectQuotaUnavailable, answer.WaitUs)
	}
}

// spendToken marks the token as used; it is called before the request is written to a runner.
// refundToken reverts that if the runner received nothing or reported that the request has not
// run.
func (e *exchange) spendToken() { e.spentToken, e.quotaToken = e.quotaToken, quota.Token{} }

func (e *exchange) refundToken() { e.quotaToken, e.spentToken = e.spentToken, quota.Token{} }

// returnToken returns an unused token when the request ends.
func (e *exchange) returnToken() {
	if e.limited() && e.quotaToken != (quota.Token{}) {
		e.router.quotas.Return(e.tenant.Name, e.quotaToken)
	}
}
