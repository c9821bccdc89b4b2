package quota

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

var testLimit = Limit{Version: 1, RatePerS: 40, Burst: 40}

func TestTokensExpireAfterAllowedDelay(t *testing.T) {
	g := NewGrantee("r1", testBounds, 0)
	g.AddGranted("tenant", testLimit, 2, second, second)
	delayUs := testBounds.Allowance(testLimit).TokenLifetimeUs
	token, ok := g.Acquire("tenant", second+delayUs-1)
	must.True(t, ok)
	must.True(t, token.Valid(second+delayUs-1))
	_, ok = g.Acquire("tenant", second+delayUs)
	must.False(t, ok)
}

func TestReturnedTokenIsReusedWhileValid(t *testing.T) {
	g := NewGrantee("r1", testBounds, 0)
	g.AddGranted("tenant", testLimit, 1, second, second)
	token, _ := g.Acquire("tenant", second)
	g.Return("tenant", token, second+10*ms)
	again, ok := g.Acquire("tenant", second+20*ms)
	must.True(t, ok)
	must.Eq(t, token, again)
	g.Return("tenant", token, 3*second)
	_, ok = g.Acquire("tenant", 3*second)
	must.False(t, ok)
}

func TestBusyRouterRequestsTokensForExpectedRequests(t *testing.T) {
	g := NewGrantee("r1", testBounds, 0)
	must.Eq(t, 1, g.RequestSize("tenant", testLimit, 1, second))
	for nowUs := second; nowUs < 5*second; nowUs += 20 * ms {
		g.CountAndAcquire("tenant", nowUs)
	}
	must.Greater(t, 3, g.RequestSize("tenant", testLimit, 1, 5*second))
}

// All routers of a fleet together lend at most Allowance.Unowned in a window.
func TestLendersTogetherStayWithinUnownedAllowance(t *testing.T) {
	var routers []string
	for i := range 60 {
		routers = append(routers, fmt.Sprintf("r%d", i))
	}
	lent := 0
	for _, self := range routers {
		g := NewGrantee(self, testBounds, 0)
		g.SetRouters(routers, second)
		g.AddGranted("tenant", testLimit, 0, second, second)
		must.Len(t, lenderCount, g.Lenders("tenant"))
		for nowUs := 10 * second; nowUs < 15*second; nowUs += 50 * ms {
			if g.Lend("tenant", testLimit, nowUs) {
				lent++
			}
		}
	}
	must.Positive(t, lent)
	must.LessEq(t, testBounds.Allowance(testLimit).Unowned, float64(lent))
}

func TestNewlyStartedRouterLendsNothing(t *testing.T) {
	g := NewGrantee("r1", testBounds, second)
	must.False(t, g.Lend("tenant", testLimit, 20*second), must.Sprint("no owner has answered yet"))
	g.AddGranted("tenant", testLimit, 0, second, second)
	must.False(t, g.Lend("tenant", testLimit, 5*second))
	must.True(t, g.Lend("tenant", testLimit, 20*second))
}

func TestUnseenRouterRemainsLenderUntilForgotten(t *testing.T) {
	g := NewGrantee("r1", testBounds, 0)
	g.SetRouters([]string{"r1", "r2", "r3", "r4", "r5"}, second)
	before := g.Lenders("tenant")
	g.SetRouters([]string{"r1"}, 30*second)
	must.Eq(t, before, g.Lenders("tenant"))
	g.SetRouters([]string{"r1"}, 100*second)
	must.Eq(t, []string{"r1"}, g.Lenders("tenant"))
}

// The parts into which Allowance divides the excess never exceed it, for any limit.
func TestAllowanceSumStaysWithinExcess(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 4, 14, 73, 500, 10_000} {
		limit := Limit{RatePerS: rate, Burst: rate}
		a := testBounds.Allowance(limit)
		excess := testBounds.Overshoot*(rate*5+rate) + testBounds.Slack
		late := rate * float64(a.TokenLifetimeUs) / 1e6
		must.LessEq(t, 0.95*excess, a.Extra+a.Initial+late+a.Unowned, must.Sprintf("rate %v", rate))
		must.Positive(t, a.TokenLifetimeUs)
	}
}
