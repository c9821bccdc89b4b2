// Counters of a router for its metrics: how requests and attempts end, and how new versions of the
// configuration arrive.

package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/histogram"
	"beechtide.org/beechtide/internal/transport"
)

// counters holds the totals since the start. It is safe for concurrent use; the zero value is ready
// for use.
type counters struct {
	answered                 atomic.Int64
	rejections               rejections
	cuts                     [cutReasonCount]atomic.Int64
	attempts                 [len(attemptNames)]atomic.Int64
	acceptedWhileDraining    atomic.Int64
	unreachableStreamsMoved  atomic.Int64 // moved away from runners in unreachable zones
	unreachableStreamsStayed atomic.Int64 // not moved, as no other runner had capacity

	comparisons   callCounts
	fetches       callCounts
	rechecks      [recheckOutcomeCount]atomic.Int64
	subscriptions dissemination.SubscriptionCounts
}

// attemptNames are the metric labels of attempt results, indexed by attempt.Result.
var attemptNames = [...]string{
	attempt.Answered: "answered", attempt.NotSent: "not_sent", attempt.NotExecuted: "not_run", attempt.Unknown: "unknown", attempt.Interrupted: "broke_off",
	attempt.ClientGone: "client_gone", attempt.Moving: "moved",
}

// rejection is the status and reason that the client of a rejected request receives.
type rejection struct {
	status int
	reason admission.Reason
}

// rejections counts rejected requests by status and reason.
type rejections struct {
	mu     sync.Mutex
	counts map[rejection]int64
}

func (r *rejections) add(status int, reason admission.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[rejection]int64{}
	}
	r.counts[rejection{status, reason}]++
}

// visit calls fn for each count.
func (r *rejections) visit(fn func(rejection, int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, count := range r.counts {
		fn(key, count)
	}
}

// cutReason is the reason why a request ended without a complete answer or a rejection.
type cutReason int

const (
	cutClientGone  cutReason = iota // the client disconnected or stopped reading
	cutTimeExpired                  // the deadline or the route's cutoff was reached
	cutByRunner                     // the runner's response was incomplete
	cutByShutdown                   // this process ended while the request was in flight
	cutUnexplained                  // none of these
	cutReasonCount
)

var cutReasonNames = [cutReasonCount]string{"client_gone", "time_over", "runner_broke_off", "grace_over", "unexplained"}

// recordEnd counts how a request ended, and checks the invariant that a request without an answer
// or a rejection has a known reason for that.
func (e *exchange) recordEnd() {
	counters := &e.router.counters
	switch e.outcome {
	case compliance.Answered:
		counters.answered.Add(1)
	case compliance.Rejected:
		counters.rejections.add(e.rc.Response.StatusCode(), e.rejectReason)
	default:
		reason := e.cutReason()
		counters.cuts[reason].Add(1)
		if reason == cutUnexplained {
			requestEnds.Violated("request", e.id, "attempts", e.sequence.Sent(), "lastAttempt", attemptNames[e.lastResult], "leaving", e.router.draining())
		}
	}
}

// cutReason returns the reason why the request has no complete answer.
func (e *exchange) cutReason() cutReason {
	switch {
	case e.client.isGone() || e.lastResult == attempt.ClientGone:
		return cutClientGone
	case e.deadlineUs > 0 && e.timeExpired():
		return cutTimeExpired
	case e.sequence.Sent() > 0 && (e.brokenOff || e.lastResult == attempt.Unknown):
		return cutByRunner
	case e.sequence.Sent() > 0 && e.lastResult == attempt.Answered: // the end of the answer could not be written
		return cutClientGone
	}
	return cutUnexplained
}

// recordAttempt counts an attempt that has ended.
func (e *exchange) recordAttempt(end attempt.Result) {
	e.lastResult = end
	e.brokenOff = e.brokenOff || end == attempt.Interrupted
	e.router.counters.attempts[end].Add(1)
}

// recordCutByShutdown counts the requests that are in flight when the process ends.
func (r *Router) recordCutByShutdown() {
	if left := r.inFlight.Load(); left > 0 {
		r.counters.cuts[cutByShutdown].Add(left)
		r.log.Info("shutdown cut requests in flight", "count", left)
	}
}

// recheckOutcome is the result of a check with the core, before a denial, that the local
// configuration is the newest.
type recheckOutcome int

const (
	recheckConfirmed   recheckOutcome = iota // the local configuration is the newest
	recheckNewer                             // a newer configuration was found
	recheckUnconfirmed                       // too few controllers answered
	recheckOutcomeCount
)

var recheckOutcomeNames = [recheckOutcomeCount]string{"confirmed", "newer_found", "unconfirmed"}

// recordRecheck counts a request whose denial was checked.
func (c *counters) recordRecheck(confirmed, newer bool) {
	outcome := recheckUnconfirmed
	switch {
	case newer:
		outcome = recheckNewer
	case confirmed:
		outcome = recheckConfirmed
	}
	c.rechecks[outcome].Add(1)
}

// callCounts counts calls to other nodes by outcome.
type callCounts struct{ begun, answered, timedOut, failed, inProgress atomic.Int64 }

func (c *callCounts) begin() {
	c.begun.Add(1)
	c.inProgress.Add(1)
}

func (c *callCounts) end(err error) {
	c.inProgress.Add(-1)
	switch {
	case err == nil:
		c.answered.Add(1)
	case errors.Is(err, transport.ErrTimeout):
		c.timedOut.Add(1)
	default:
		c.failed.Add(1)
	}
}

// configLag measures the time from when this node first observes a newer version of the
// configuration at another node until that version is in force here. The zero value is ready for
// use.
type configLag struct {
	mu       sync.Mutex
	version  int64 // the first observed version that is not in force; 0 for none
	sinceUs  int64 // when it was first observed
	catchUps histogram.Durations
}

// observeRemote compares the register versions of another node, remote, with those of this node,
// local, and notes when a newer configuration is first observed.
func (l *configLag) observeRemote(local, remote []int64, nowUs int64) {
	if len(local) <= consensus.ConfigRegister || len(remote) <= consensus.ConfigRegister {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote[consensus.ConfigRegister] > local[consensus.ConfigRegister] && l.version == 0 {
		l.version, l.sinceUs = remote[consensus.ConfigRegister], nowUs
	}
}

// inForce records that a version of the configuration register is in force.
func (l *configLag) inForce(version, nowUs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || version < l.version {
		return
	}
	l.catchUps.Observe(time.Duration(nowUs-l.sinceUs) * time.Microsecond)
	l.version = 0
}

// lag returns the time since a newer version was first observed that is not in force; 0 if there
// is none.
func (l *configLag) lag(nowUs int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 {
		return 0
	}
	return time.Duration(nowUs-l.sinceUs) * time.Microsecond
}
