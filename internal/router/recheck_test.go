package router

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// unknownRouteRequest returns a valid request for a route that configText does not have.
func unknownRouteRequest() string {
	return strings.Replace(request("/pay/", "x"), "/pay/", "/nothing/", 1)
}

// requireRetryLater requires 503 with Retry-After for a request that would be denied if the
// configuration were confirmed as the newest.
func requireRetryLater(t *testing.T, front, raw string) {
	t.Helper()
	ans, _, err := roundTrip(t, front, raw)
	must.NoError(t, err)
	must.Eq(t, 503, ans.StatusCode)
	must.NotEq(t, "", ans.Header.Get(hRetryAfter))
}

// A 404 or 401 needs a read from a majority of the register's members that shows what they have
// accepted. It is not enough that none of them has learned of a newer committed version, that a
// majority of the controllers in view agrees, or that no controller is in view.
func TestDenialNeedsQuorumRead(t *testing.T) {
	const size = 5
	accepted := func(s *coreStub, i int) *messages.Versions {
		m := s.confirmedVersion(i, 1)
		m.ConfigAccepted = 2
		return m
	}
	for _, test := range []struct {
		name    string
		size    int
		arrange func(s *coreStub)
	}{
		{"no controller is known", 0, func(*coreStub) {}},
		{"a majority has accepted a newer version without learning that it is committed", size, func(s *coreStub) {
			for i := range size/2 + 1 {
				s.versions[i] = func() *messages.Versions { return accepted(s, i) }
			}
		}},
		{"a minority is in view", 2, func(s *coreStub) { s.group = append(s.group, "out", "of", "view") }},
		{"identities that are not members answer", size, func(s *coreStub) {
			for i := range size/2 + 1 {
				s.versions[i] = func() *messages.Versions {
					m := s.confirmedVersion(i, 1)
					m.MemberID = "wiped"
					return m
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, front, _ := start(t, newRunner(t))
			s := startCore(t, router, test.size)
			s.set(func() { test.arrange(s) })
			requireRetryLater(t, front, unknownRouteRequest())
			requireRetryLater(t, front, strings.Replace(request("/pay/", "x"), "Token k1", "Token k9", 1))
		})
	}
	t.Run("a minority has accepted a newer version", func(t *testing.T) {
		router, front, _ := start(t, newRunner(t))
		s := startCore(t, router, size)
		s.set(func() {
			for i := range size / 2 {
				s.versions[i] = func() *messages.Versions { return accepted(s, i) }
			}
		})
		ans, _, err := roundTrip(t, front, unknownRouteRequest())
		must.NoError(t, err)
		must.Eq(t, 404, ans.StatusCode)
	})
}

// A router that is behind fetches the missing state once, from one controller, however many
// requests for unknown routes wait and however many controllers have it.
func TestConcurrentDenialChecksFetchMissingStateOnce(t *testing.T) {
	const size, clients = 5, 8
	router, front, _ := start(t, newRunner(t))
	s := startCore(t, router, size)
	newer := strings.Replace(strings.Replace(configText, `"version":3`, `"version":4`, 1), `"/open/"`, `"/nothing/"`, 1)
	change := configSnapshot(t, newer, 2)
	var asked atomic.Int64 // responses that named the newer version
	gate := make(chan struct{})
	s.set(func() {
		s.delta = func(messages.SyncState) messages.Feed {
			<-gate
			return messages.Feed{Versions: []int64{2}, Configuration: []messages.EntryChange{change}}
		}
		for i := range size {
			s.versions[i] = func() *messages.Versions {
				asked.Add(1)
				return s.confirmedVersion(i, 2)
			}
		}
	})
	var requests sync.WaitGroup
	for range clients {
		requests.Go(func() {
			ans, _, err := roundTrip(t, front, unknownRouteRequest())
			must.NoError(t, err)
			must.Eq(t, 200, ans.StatusCode)
		})
	}
	for asked.Load() < size || s.fetches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // time for further fetches, which must not occur
	close(gate)
	requests.Wait()
	must.Eq(t, int64(1), s.fetches.Load())
}

// A confirmation from before a pause of the process must not justify a denial.
func TestConfirmationExpires(t *testing.T) {
	router, _, _ := start(t, newRunner(t))
	must.False(t, router.confirmationValid(), must.Sprint("nothing has been confirmed yet"))
	limitUs := confirmationTTLUs + router.recheckTimeout().Microseconds()
	router.majorityUs.Store(router.clock() + 10*limitUs) // in the future, so that it does not expire during a slow test
	must.True(t, router.confirmationValid())
	router.majorityUs.Store(router.clock() - limitUs - 1)
	must.False(t, router.confirmationValid())
}
