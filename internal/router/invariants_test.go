package router

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/invariant/invarianttest"
	"beechtide.org/beechtide/internal/routeconfig"
)

// newExchangeAt returns a request with the given deadline at a router that is not running, whose
// clock stands at nowUs.
func newExchangeAt(nowUs, endUs int64) *exchange {
	router := &Router{clock: func() int64 { return nowUs }}
	return &exchange{router: router, rc: app.NewContext(0), deadlineUs: endUs, route: &routeconfig.Route{}}
}

func TestDroppedRequestViolatesInvariant(t *testing.T) {
	invarianttest.Expect(t, requestEnds)
	for _, last := range []attempt.Result{attempt.NotSent, attempt.NotExecuted, attempt.Moving} {
		before := requestEnds.Violations()
		e := newExchangeAt(1, 1_000_000)
		e.sequence.Begin()
		e.outcome, e.lastResult = compliance.Cut, last
		e.recordEnd()
		must.Eq(t, before+1, requestEnds.Violations(), must.Sprint(attemptNames[last]))
	}
}

func TestExplainedEndOfRequestViolatesNoInvariant(t *testing.T) {
	for _, c := range []struct {
		name     string
		ended    compliance.Step
		last     attempt.Result
		attempts int
		nowUs    int64
		cut      cutReason
	}{
		{"answered", compliance.Answered, attempt.Answered, 1, 1, cutReasonCount},
		{"rejected", compliance.Rejected, attempt.NotSent, 0, 1, cutReasonCount},
		{"client gone", compliance.Cut, attempt.ClientGone, 1, 1, cutClientGone},
		{"time over", compliance.Cut, attempt.Moving, 1, 1_000_000, cutTimeExpired},
		{"runner broke off", compliance.Cut, attempt.Interrupted, 1, 1, cutByRunner},
		{"result unknown", compliance.Cut, attempt.Unknown, 1, 1, cutByRunner},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newExchangeAt(c.nowUs, 1_000_000)
			e.outcome = c.ended
			for range c.attempts {
				e.sequence.Begin()
			}
			e.recordAttempt(c.last)
			e.recordEnd()
			for reason := range cutReasonCount {
				want := int64(0)
				if reason == c.cut {
					want = 1
				}
				must.Eq(t, want, e.router.counters.cuts[reason].Load(), must.Sprint(cutReasonNames[reason]))
			}
		})
	}
}

func TestAttemptAfterPossibleRunViolatesInvariant(t *testing.T) {
	for _, end := range []attempt.Result{attempt.Unknown, attempt.Interrupted} {
		e := newExchangeAt(1, 1_000_000)
		e.sequence.Begin()
		e.lastResult = end
		e.route.Kind = api.Idempotent
		e.checkRepeat()
	}
	invarianttest.Expect(t, noAttemptAfterRun)
	e := newExchangeAt(1, 1_000_000)
	e.sequence.Begin()
	e.lastResult = attempt.Unknown
	e.route.Kind = api.Streaming
	e.checkRepeat()
}

func TestDenialOnUnconfirmedConfigViolatesInvariant(t *testing.T) {
	router, _, _ := start(t)
	router.core.mu.Lock()
	router.core.lastAddrs = []string{"10.0.0.1:7001"}
	router.core.mu.Unlock()
	e := &exchange{router: router}
	router.majorityUs.Store(router.clock())
	e.checkDenial(404)
	e.checkDenial(503)
	invarianttest.Expect(t, denialConfirmed)
	router.majorityUs.Store(router.clock() - confirmationTTLUs - 2*router.recheckTimeout().Microseconds())
	e.checkDenial(401)
}

// The break by the first runner explains the truncated response, though the last attempt ended
// with a rejection by the second runner.
func TestStreamBrokenOffByRunnerViolatesNoInvariant(t *testing.T) {
	for name, second := range map[string]string{
		"second runner has no capacity":     "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"second runner is another instance": "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			script := func() string {
				if sent.Add(1) == 1 {
					return streamHead + chunk("id: 1\ndata: a\n\n") + "CUT"
				}
				return second
			}
			r, other := newRunner(t), newRunner(t)
			r.next, other.next = script, script
			router, front, _ := start(t, r, other)
			before := requestEnds.Violations()
			_, _, _ = roundTrip(t, front, request("/sort/", "x"))
			for router.inFlight.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			must.GreaterEq(t, 2, r.requestCount()+other.requestCount())
			must.Eq(t, before, requestEnds.Violations())
		})
	}
}
