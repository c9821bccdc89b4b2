package router

import (
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/routeconfig"
)

// limitedConfig is configText with a rate limit for the tenant.
var limitedConfig = strings.Replace(configText, `"isolated":true`, `"isolated":true,"ratePerS":10,"burst":10`, 1)

// startLimited starts a router whose tenant has a rate limit, and a core of controllers.
func startLimited(t *testing.T, controllers int, runners ...*runner) (*Router, *coreStub, string) {
	t.Helper()
	router, front, _ := start(t, runners...)
	core := startCore(t, router, controllers)
	must.True(t, router.applyFeed("", messages.Feed{Configuration: []messages.EntryChange{configSnapshot(t, limitedConfig, 2)}}))
	return router, core, front
}

// grantTokens makes every controller own all quotas, with the given number of tokens in total. It
// returns the number of tokens taken, to be read with readLocked.
func (s *coreStub) grantTokens(tokens int) *int {
	taken := new(int)
	s.set(func() {
		s.quota = func(_ int, ask messages.QuotaAsk) messages.QuotaGrant {
			granted := min(ask.Need, tokens-*taken)
			*taken += granted
			return messages.QuotaGrant{Owner: true, Granted: granted, WaitUs: 700_000}
		}
	})
	return taken
}

func (s *coreStub) readLocked(n *int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *n
}

func TestRequestOverTheLimitGets429WithRetryAfter(t *testing.T) {
	r := newRunner(t)
	_, core, front := startLimited(t, 1, r)
	core.grantTokens(2)
	for range 2 {
		a, _, err := roundTrip(t, front, request("/pay/1", ""))
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode)
	}
	a, body, err := roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 429, a.StatusCode)
	must.Eq(t, "0.700", a.Header.Get(hRetryAfter))
	must.Eq(t, string(rejectOverQuota)+"\n", body)
	must.Eq(t, 2, r.requestCount())
}

func TestTenantWithoutLimitNeedsNoQuotaOwner(t *testing.T) {
	r := newRunner(t)
	_, front, _ := start(t, r)
	a, _, err := roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
}

func TestRequestIsRejectedIfNoControllerOwnsTheQuota(t *testing.T) {
	r := newRunner(t)
	router, _, front := startLimited(t, 2, r)
	a, body, err := roundTrip(t, front, request("/chat/1", ""))
	must.NoError(t, err)
	must.Eq(t, 503, a.StatusCode)
	must.NotEq(t, "", a.Header.Get(hRetryAfter))
	must.Eq(t, string(rejectQuotaUnavailable)+"\n", body)
	must.Zero(t, r.requestCount())
	must.Eq(t, 1, router.quotas.Counts().Unknown)
}

func TestRouterFollowsHintToQuotaOwner(t *testing.T) {
	r := newRunner(t)
	router, core, front := startLimited(t, 3, r)
	owner := quota.OwnerOrder(quota.ShardOf("t1"), router.allCoreAddrs())[2]
	addrs := router.allCoreAddrs()
	core.set(func() {
		core.quota = func(i int, ask messages.QuotaAsk) messages.QuotaGrant {
			if core.addrs[i] == owner {
				return messages.QuotaGrant{Owner: true, Granted: ask.Need}
			}
			return messages.QuotaGrant{Hint: owner}
		}
	})
	must.Len(t, 3, addrs)
	a, _, err := roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
}

func TestAttemptThatDidNotRunUsesNoToken(t *testing.T) {
	notRun := "HTTP/1.1 503 Busy\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	one, two := newRunner(t, notRun), newRunner(t, notRun)
	_, core, front := startLimited(t, 1, one, two)
	taken := core.grantTokens(5)
	_, _, err := roundTrip(t, front, request("/pay/1", ""))
	must.NoError(t, err)
	must.Eq(t, 2, one.requestCount()+two.requestCount())
	must.Eq(t, 1, core.readLocked(taken))
}

func TestRetryThatMayRunUsesAnotherToken(t *testing.T) {
	one, two := newRunner(t, "CUT"), newRunner(t, "CUT")
	_, core, front := startLimited(t, 1, one, two)
	taken := core.grantTokens(5)
	_, _, err := roundTrip(t, front, request("/open/1", ""))
	must.NoError(t, err)
	must.Zero(t, core.readLocked(taken), must.Sprint("a route without an API key has no tenant"))
	before := one.requestCount() + two.requestCount()
	_, _, _ = roundTrip(t, front, request("/sort/1", ""))
	must.Eq(t, one.requestCount()+two.requestCount()-before, core.readLocked(taken))
}

func TestRetryWithoutTokenIsNotSent(t *testing.T) {
	one, two := newRunner(t, "CUT", "CUT"), newRunner(t, "CUT", "CUT")
	_, core, front := startLimited(t, 1, one, two)
	core.grantTokens(1)
	a, _, err := roundTrip(t, front, request("/sort/1", ""))
	must.NoError(t, err)
	must.Eq(t, 502, a.StatusCode, must.Sprint("the request may have run, so the status must not promise that it has not"))
	must.Eq(t, 1, one.requestCount()+two.requestCount())
}

func TestRequestWaitsForToken(t *testing.T) {
	r := newRunner(t)
	_, core, front := startLimited(t, 1, r)
	asked := 0
	core.set(func() {
		core.quota = func(_ int, ask messages.QuotaAsk) messages.QuotaGrant {
			if asked++; asked == 1 {
				return messages.QuotaGrant{Owner: true, WaitUs: 10_000}
			}
			return messages.QuotaGrant{Owner: true, Granted: ask.Need}
		}
	})
	a, _, err := roundTrip(t, front, request("/chat/1", ""))
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	must.Eq(t, 2, core.readLocked(&asked))
}

// newMovingStream returns a request of the limited tenant whose stream has begun and moves, with
// its deadline in timeoutUs.
func newMovingStream(router *Router, timeoutUs int64) *exchange {
	return &exchange{
		router: router, rc: app.NewContext(0), route: &routeconfig.Route{}, tenant: &api.Tenant{Name: "t1"},
		quotaLimit: quota.Limit{Version: 3, RatePerS: 10, Burst: 10}, deadlineUs: router.clock() + timeoutUs,
		stream: &responseStream{started: true},
	}
}

// admitRequest reserves capacity for a request.
func (r *Router) admitRequest(t *testing.T) *admission.Admission {
	t.Helper()
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	admitted := r.admission.Submit(admission.Request{Service: "s", TimeLeftUs: 1_000_000}, r.clock()).Admission
	must.NotNil(t, admitted)
	return admitted
}

// The token with which a stream left its runner may expire before the next attempt is sent. In a
// zone that is cut off, the quota may have no owner at that time.
func TestMovingStreamWaitsUntilQuotaHasAnOwner(t *testing.T) {
	router, core, _ := startLimited(t, 1, newRunner(t))
	core.set(func() {
		core.quota = func(_ int, ask messages.QuotaAsk) messages.QuotaGrant {
			if router.quotas.Counts().Unknown < 2 {
				return messages.QuotaGrant{}
			}
			return messages.QuotaGrant{Owner: true, Granted: ask.Need}
		}
	})
	e := newMovingStream(router, (20 * time.Second).Microseconds())
	must.True(t, e.acquireAttemptToken(router.admitRequest(t)))
	must.True(t, e.quotaToken.Valid(router.clock()))
}

func TestMovingStreamWithoutTokenEndsAtDeadline(t *testing.T) {
	router, _, _ := startLimited(t, 1, newRunner(t))
	e := newMovingStream(router, (500 * time.Millisecond).Microseconds())
	must.False(t, e.acquireAttemptToken(router.admitRequest(t)))
	must.True(t, e.timeExpired())
	router.requireNoCapacityHeld(t)
}
