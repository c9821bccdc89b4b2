package router

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/messages"
)

// newSilentRunner returns a runner that does not respond. When a connection with a request is
// closed, it sends how long that connection was open since the request.
func newSilentRunner(t *testing.T) (r *runner, closedAfter chan time.Duration) {
	t.Helper()
	r, closedAfter = newRunner(t), make(chan time.Duration, 16)
	r.stream = func(_ func(string), closed <-chan struct{}) {
		began := time.Now()
		<-closed
		closedAfter <- time.Since(began)
	}
	return r, closedAfter
}

// addRunner adds a runner whose weights of model m have the given version.
func (r *Router) addRunner(t *testing.T, id string, server *runner, version int64) {
	t.Helper()
	n := messages.RunnerRecord{ID: id, Service: "s", Addr: server.addr, Zone: "a", Capacity: 8, Seq: 1, Models: []messages.Target{{Model: "m", Version: version}}}
	r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, n)}})
}

// setTargetWeights makes the router receive a target weights version old enough that nothing may
// begin on older weights any more.
func (r *Router) setTargetWeights(version int64) {
	r.applyFeed("", messages.Feed{TargetAges: []messages.TargetAge{{Model: "m", Version: version, AgeUs: r.admission.WeightsBound.VersionUs}}})
}

type requestResult struct {
	*http.Response
	body string
	err  error
}

func roundTripAsync(t *testing.T, front, raw string) chan requestResult {
	t.Helper()
	out := make(chan requestResult, 1)
	go func() {
		r, body, err := roundTrip(t, front, raw)
		out <- requestResult{r, body, err}
	}()
	return out
}

func awaitRequest(r *runner) {
	for r.requestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// withdrawAtBound makes a request wait at a runner with old weights until the version bound
// passes, while a runner with the target weights joins.
func withdrawAtBound(t *testing.T, path string) (router *Router, renewed *runner, a requestResult) {
	t.Helper()
	old, closedAfter := newSilentRunner(t)
	router, front, _ := start(t, old)
	answer := roundTripAsync(t, front, request(path, "x"))
	awaitRequest(old)
	renewed = newRunner(t)
	router.addRunner(t, "new", renewed, 5)
	router.setTargetWeights(5)
	<-closedAfter
	a = <-answer
	must.NoError(t, a.err)
	return router, renewed, a
}

func TestQueuedRequestWithdrawnAtBound(t *testing.T) {
	for _, path := range []string{"/open/", "/sort/"} {
		router, renewed, a := withdrawAtBound(t, path)
		must.Eq(t, 200, a.StatusCode)
		must.Eq(t, 1, renewed.requestCount())
		must.Eq(t, "5", renewed.lastRequest().Header.Get(hExpected))
		must.MapEmpty(t, router.sent.items)
	}
}

func TestWithdrawnRunOnceRequestGives502(t *testing.T) {
	_, renewed, a := withdrawAtBound(t, "/pay/")
	must.Eq(t, 502, a.StatusCode, must.Sprint("the request may have run"))
	must.Eq(t, 0, renewed.requestCount())
}

func TestBegunStreamIsNotWithdrawn(t *testing.T) {
	old, named := newRunner(t), make(chan struct{})
	old.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-named
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	router, front, _ := start(t, old)
	answer := roundTripAsync(t, front, request("/sort/", "x"))
	for router.begunRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	router.addRunner(t, "new", newRunner(t), 5)
	router.setTargetWeights(5)
	router.withdrawFromOldWeights()
	close(named)
	a := <-answer
	must.NoError(t, a.err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.body)
}

// begunRequests returns how many requests in flight have begun at their runners.
func (r *Router) begunRequests() int {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	n := 0
	for _, l := range r.admission.OwnLoads(r.clock()) {
		if l.Count > 0 && l.Prefill == 0 {
			n++
		}
	}
	return n
}

func TestRequestIsNotSentToOldWeightsPastTheBound(t *testing.T) {
	old := newRunner(t)
	router, _, _ := start(t, old)
	e, _, _ := newAdmittedExchange(t, router, 1_000_000)
	e.request.Model = "m"
	adm := router.admission.Submit(e.request, router.clock()).Admission
	must.NotNil(t, adm)
	must.True(t, router.stillAllowed(adm))
	router.setTargetWeights(5)
	must.False(t, router.stillAllowed(adm))
	end, _ := e.send(adm, nil)
	must.Eq(t, attempt.NotSent, end)
	must.Eq(t, 0, old.requestCount())
}

// A busy machine may close the connection late. One close in time shows that the router does not
// wait past the deadline by design.
func TestRequestWithdrawnAtDeadline(t *testing.T) {
	r, closedAfter := newSilentRunner(t)
	_, front, _ := start(t, r)
	const tries = 8
	for i := range tries {
		answer := roundTripAsync(t, front, strings.Replace(request("/pay/", "x"), "2500", "200", 1))
		closed := <-closedAfter
		a := <-answer
		must.NoError(t, a.err)
		must.Eq(t, 504, a.StatusCode)
		left, err := strconv.Atoi(r.lastRequest().Header.Get(hTimeLeft))
		must.NoError(t, err)
		if closed < time.Duration(left)*time.Millisecond {
			return
		}
		must.Less(t, tries-1, i, must.Sprint("no connection was closed within the time given to the runner"))
	}
}

func TestRunnerWithOtherWeightsKeepsItsConnections(t *testing.T) {
	other := "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Weight-Versions: 5\r\nContent-Length: 0\r\n\r\n"
	a, b := newRunner(t), newRunner(t)
	turned := false
	a.next = func() string {
		if !turned {
			turned = true
			return other
		}
		return "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	router, front, _ := start(t, a, b)
	for i := 0; a.requestCount() == 0; i++ {
		ans, _, err := roundTrip(t, front, uniqueRequest("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.False(t, hasMissingRunner(router))
	must.Eq(t, 0, a.probeCount())
}
