package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const elsewhere = "HTTP/1.1 421 Misdirected Request\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Instance: other\r\nContent-Length: 0\r\n\r\n"

func (r *runner) probes() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.seen {
		if strings.HasPrefix(q.URL.Path, "/health") {
			n++
		}
	}
	return n
}

func (r *runner) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *runner) say(answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = func() string { return answer }
}

// fresh returns a request with a unique prompt, so that no runner is preferred for its prefix
// cache.
func fresh(path string, i int) string {
	return strings.Replace(request(path, "x"), "ab:15,cd:5", fmt.Sprintf("%x:15,%x:5", 1000+i, 2000+i), 1)
}

func missing(c *Router) bool {
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	_, isMissing := c.admission.DueProbes(0)
	return isMissing
}

// One of two runners is gone and its address is reused by a runner of another service, which
// answers 421.
func TestARunnerWhoseAddressIsAnothersGetsNothingMore(t *testing.T) {
	a, b := newRunner(t), newRunner(t)
	a.say(elsewhere)
	c, front, _ := start(t, a, b)
	for i := 0; a.requestCount() == 0; i++ {
		ans, body, err := roundTrip(t, front, fresh("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode, must.Sprint("a request that has not run must be sent to the other runner"))
		must.Eq(t, "ok", body)
	}
	must.True(t, missing(c))
	for a.probes() == 0 {
		must.True(t, missing(c))
	}
	for i := range 30 {
		ans, _, err := roundTrip(t, front, fresh("/chat/", 100+i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.Eq(t, 1, a.requestCount()-a.probes())

	a.say("HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok")
	back := messages.RunnerRecord{ID: "r0", Service: "s", Addr: a.addr, Zone: "a", Capacity: 9, Seq: 2, Models: []messages.Target{{Model: "m", Version: 4}}}
	must.True(t, c.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, back)}}))
	must.False(t, missing(c), must.Sprint("a newer registration must make the runner available again"))
	for i := 0; a.requestCount() == 1+a.probes(); i++ {
		ans, _, err := roundTrip(t, front, fresh("/open/", 200+i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.Eq(t, 2+a.probes(), a.connections(), must.Sprint("the earlier connections must have been closed"))
}

func TestARunnerThatOnlyHasOtherWeightsComesBackByAProbe(t *testing.T) {
	a, b := newRunner(t), newRunner(t)
	a.say(strings.Replace(elsewhere, "other", "r0", 1))
	c, front, _ := start(t, a, b)
	for i := 0; a.requestCount() == 0; i++ {
		ans, _, err := roundTrip(t, front, fresh("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	for missing(c) {
	}
	must.GreaterEq(t, 1, a.probes())
}

func TestHintsOfMissingRunnersGoUpTheTree(t *testing.T) {
	var c Router
	c.loads.init(1)
	must.True(t, c.applyReport("n", messages.LoadReport{Absent: []string{"x"}}))
	c.loads.sendAll = false
	w, some := c.loads.nextReport(nil, nil, []string{"y"})
	must.True(t, some)
	must.Eq(t, []string{"x", "y"}, w.Absent)
	_, some = c.loads.nextReport(nil, nil, nil)
	must.False(t, some, must.Sprint("each absent runner must be reported once"))
}
