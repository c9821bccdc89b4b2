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
	c := &Router{clock: func() int64 { return nowUs }}
	return &exchange{router: c, rc: app.NewContext(0), deadlineUs: endUs, route: &routeconfig.Route{}}
}

func TestDroppedRequestViolatesInvariant(t *testing.T) {
	invarianttest.Expect(t, requestEnds)
	for _, last := range []attempt.Result{attempt.NotSent, attempt.NotRun, attempt.Moving} {
		before := requestEnds.Violations()
		v := newExchangeAt(1, 1_000_000)
		v.sequence.Begin()
		v.outcome, v.lastResult = compliance.Cut, last
		v.recordEnd()
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
		{"time over", compliance.Cut, attempt.Moving, 1, 1_000_000, cutTimeOver},
		{"runner broke off", compliance.Cut, attempt.BrokenOff, 1, 1, cutRunner},
		{"answer not known", compliance.Cut, attempt.Unknown, 1, 1, cutRunner},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newExchangeAt(c.nowUs, 1_000_000)
			v.outcome = c.ended
			for range c.attempts {
				v.sequence.Begin()
			}
			v.recordAttempt(c.last)
			v.recordEnd()
			for reason := range cutReasonCount {
				want := int64(0)
				if reason == c.cut {
					want = 1
				}
				must.Eq(t, want, v.router.counters.cuts[reason].Load(), must.Sprint(cutReasonNames[reason]))
			}
		})
	}
}

func TestAttemptAfterPossibleRunViolatesInvariant(t *testing.T) {
	for _, end := range []attempt.Result{attempt.Unknown, attempt.BrokenOff} {
		v := newExchangeAt(1, 1_000_000)
		v.sequence.Begin()
		v.lastResult = end
		v.route.Kind = api.Idempotent
		v.checkRepeat()
	}
	invarianttest.Expect(t, noAttemptAfterRun)
	v := newExchangeAt(1, 1_000_000)
	v.sequence.Begin()
	v.lastResult = attempt.Unknown
	v.route.Kind = api.Streaming
	v.checkRepeat()
}

func TestDenialOnUnconfirmedConfigViolatesInvariant(t *testing.T) {
	c, _, _ := start(t)
	c.core.mu.Lock()
	c.core.last = []string{"10.0.0.1:7001"}
	c.core.mu.Unlock()
	v := &exchange{router: c}
	c.majorityUs.Store(c.clock())
	v.checkDenial(404)
	v.checkDenial(503)
	invarianttest.Expect(t, denialConfirmed)
	c.majorityUs.Store(c.clock() - confirmationTTLUs - 2*c.recheckTimeout().Microseconds())
	v.checkDenial(401)
}

// The break by the first runner explains the truncated response, though the last attempt ended
// with a rejection by the second runner.
func TestStreamBrokenOffByRunnerViolatesNoInvariant(t *testing.T) {
	for name, second := range map[string]string{
		"second turns it away": "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"second is another":    "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
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
			c, front, _ := start(t, r, other)
			before := requestEnds.Violations()
			_, _, _ = roundTrip(t, front, request("/sort/", "x"))
			for c.inFlight.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			must.GreaterEq(t, 2, r.requestCount()+other.requestCount())
			must.Eq(t, before, requestEnds.Violations())
		})
	}
}
