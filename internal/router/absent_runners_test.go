package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const wrongInstanceResponse = "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Instance: other\r\nContent-Length: 0\r\n\r\n"

func (r *runner) probeCount() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.seen {
		if strings.HasPrefix(q.URL.Path, "/health") {
			n++
		}
	}
	return n
}

func (r *runner) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *runner) setResponse(response string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = func() string { return response }
}

// uniqueRequest returns a request with a unique prompt, so that no runner is preferred for its prefix
// cache.
func uniqueRequest(path string, i int) string {
	return strings.Replace(request(path, "x"), "ab:15,cd:5", fmt.Sprintf("%x:15,%x:5", 1000+i, 2000+i), 1)
}

func hasMissingRunner(c *Router) bool {
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	_, isMissing := c.admission.DueProbes(0)
	return isMissing
}

// One of two runners is gone and its address is reused by a runner of another service, which
// answers 421.
func TestRunnerWhoseAddressIsReusedReceivesNoRequests(t *testing.T) {
	a, b := newRunner(t), newRunner(t)
	a.setResponse(wrongInstanceResponse)
	c, front, _ := start(t, a, b)
	for i := 0; a.requestCount() == 0; i++ {
		ans, body, err := roundTrip(t, front, uniqueRequest("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode, must.Sprint("a request that has not run must be sent to the other runner"))
		must.Eq(t, "ok", body)
	}
	must.True(t, hasMissingRunner(c))
	for a.probeCount() == 0 {
		must.True(t, hasMissingRunner(c))
	}
	for i := range 30 {
		ans, _, err := roundTrip(t, front, uniqueRequest("/chat/", 100+i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.Eq(t, 1, a.requestCount()-a.probeCount())

	a.setResponse("HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok")
	registration := messages.RunnerRecord{ID: "r0", Service: "s", Addr: a.addr, Zone: "a", Capacity: 9, Seq: 2, Models: []messages.Target{{Model: "m", Version: 4}}}
	must.True(t, c.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, registration)}}))
	must.False(t, hasMissingRunner(c), must.Sprint("a newer registration must make the runner available again"))
	for i := 0; a.requestCount() == 1+a.probeCount(); i++ {
		ans, _, err := roundTrip(t, front, uniqueRequest("/open/", 200+i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.Eq(t, 2+a.probeCount(), a.connectionCount(), must.Sprint("the earlier connections must have been closed"))
}

func TestProbeRestoresRunnerWithOtherWeights(t *testing.T) {
	a, b := newRunner(t), newRunner(t)
	a.setResponse(strings.Replace(wrongInstanceResponse, "other", "r0", 1))
	c, front, _ := start(t, a, b)
	for i := 0; a.requestCount() == 0; i++ {
		ans, _, err := roundTrip(t, front, uniqueRequest("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	for hasMissingRunner(c) {
	}
	must.GreaterEq(t, 1, a.probeCount())
}

func TestAbsentRunnersAreReportedToParentOnce(t *testing.T) {
	var c Router
	c.loads.init(1)
	must.True(t, c.applyReport("n", messages.LoadReport{Absent: []string{"x"}}))
	c.loads.sendAll = false
	report, due := c.loads.nextReport(nil, nil, []string{"y"})
	must.True(t, due)
	must.Eq(t, []string{"x", "y"}, report.Absent)
	_, due = c.loads.nextReport(nil, nil, nil)
	must.False(t, due, must.Sprint("each absent runner must be reported once"))
}
