package router

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A request that arrives while the check of another one is in progress must wait for its result
// before it is rejected.
func TestConfirmWaitsForCheckInProgress(t *testing.T) {
	var c freshnessChecks
	clock := func() int64 { return 1 }
	begun, answer, results := make(chan bool), make(chan bool), make(chan bool, 2)
	go func() {
		results <- c.confirm(clock, func() bool {
			close(begun)
			return <-answer
		})
	}()
	<-begun
	go func() {
		results <- c.confirm(clock, func() bool { t.Error("a second check was started"); return false })
	}()
	select {
	case <-results:
		t.Fatal("confirm returned before the check ended")
	case <-time.After(20 * time.Millisecond):
	}
	answer <- true
	must.True(t, <-results)
	must.True(t, <-results)
}

func TestConfirmChecksAgainAfterTTL(t *testing.T) {
	var c freshnessChecks
	now, checks := int64(1), 0
	confirm := func(answer bool) bool {
		return c.confirm(func() int64 { return now }, func() bool { checks++; return answer })
	}
	must.False(t, confirm(false))
	must.False(t, confirm(true), must.Sprint("a failed check must be reused for as long as a successful one"))
	must.Eq(t, 1, checks)
	now += confirmationTTLUs
	must.True(t, confirm(true))
	must.True(t, confirm(false))
	must.Eq(t, 2, checks)
}

// While a live controller does not answer, a request for an unknown route gets 503; once the
// controller confirms the configuration, it gets 404.
func TestUnknownRouteGets503UntilControllerConfirms(t *testing.T) {
	c, front, _ := start(t, newRunner(t))
	core := startCore(t, c, 1)
	core.set(func() { core.versions[0] = func() *messages.Versions { return nil } })
	unknown := unknownRouteRequest()
	ans, _, err := roundTrip(t, front, unknown)
	must.NoError(t, err)
	must.Eq(t, 503, ans.StatusCode)
	must.NotEq(t, "", ans.Header.Get(hRetryAfter))
	core.set(func() { core.versions[0] = func() *messages.Versions { return core.confirmedVersion(0, 1) } })
	for ans.StatusCode == 503 {
		ans, _, err = roundTrip(t, front, unknown)
		must.NoError(t, err)
	}
	must.Eq(t, 404, ans.StatusCode)
}

// A router that considers the whole core suspected or dead must continue to query it.
func TestCoreHistoryReturnsLastCoreWhenNoneIsAlive(t *testing.T) {
	var history coreHistory
	must.SliceEmpty(t, history.allAddrs(nil))
	core := func(a, b messages.Status) []messages.Peer {
		return []messages.Peer{{Addr: "b", Counted: true, Status: b}, {Addr: "a", Counted: true, Status: a}, {Addr: "other"}}
	}
	must.Eq(t, []string{"a"}, history.unsuspectedAddrs(core(messages.Alive, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, history.allAddrs(core(messages.Alive, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, history.unsuspectedAddrs(core(messages.Suspect, messages.Suspect)))
	must.Eq(t, []string{"a", "b"}, history.unsuspectedAddrs(nil))
	must.Eq(t, []string{"a", "b"}, history.allAddrs(nil))
}
