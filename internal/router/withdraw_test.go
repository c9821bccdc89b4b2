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

// silent makes a runner that answers nothing; it tells when a connection on which
// it had a request was closed, and for how long it had been open by then.
func silent(t *testing.T) (r *runner, closedAfter chan time.Duration) {
	t.Helper()
	r, closedAfter = newRunner(t), make(chan time.Duration, 16)
	r.stream = func(_ func(string), closed <-chan struct{}) {
		began := time.Now()
		<-closed
		closedAfter <- time.Since(began)
	}
	return r, closedAfter
}

// join adds a runner with a version of the weights of m to those that are known.
func (r *Router) join(t *testing.T, id string, server *runner, version int64) {
	t.Helper()
	n := messages.RunnerRecord{ID: id, Service: "s", Addr: server.addr, Zone: "a", Capacity: 8, Seq: 1, Models: []messages.Target{{Model: "m", Version: version}}}
	r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, n)}})
}

// nameWeights makes the router learn of weights that were named so long ago that
// nothing may begin on older ones.
func (r *Router) nameWeights(version int64) {
	r.applyFeed("", messages.Feed{TargetAges: []messages.TargetAge{{Model: "m", Version: version, AgeUs: r.admission.Bound.VersionUs}}})
}

type answered struct {
	*http.Response
	body string
	err  error
}

func sayLater(t *testing.T, front, raw string) chan answered {
	t.Helper()
	out := make(chan answered, 1)
	go func() {
		r, body, err := say(t, front, raw)
		out <- answered{r, body, err}
	}()
	return out
}

func awaitRequest(r *runner) {
	for r.count() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// overtaken has a request wait at a runner with old weights until the bound comes,
// while a runner with the named ones joins.
func overtaken(t *testing.T, path string) (c *Router, renewed *runner, a answered) {
	t.Helper()
	old, closedAfter := silent(t)
	c, front, _ := start(t, old)
	answer := sayLater(t, front, request(path, "x"))
	awaitRequest(old)
	renewed = newRunner(t)
	c.join(t, "new", renewed, 5)
	c.nameWeights(5)
	<-closedAfter
	a = <-answer
	must.NoError(t, a.err)
	return c, renewed, a
}

func TestQueuedRequestWithdrawnAtBound(t *testing.T) {
	for _, path := range []string{"/open/", "/sort/"} {
		c, renewed, a := overtaken(t, path)
		must.Eq(t, 200, a.StatusCode)
		must.Eq(t, 1, renewed.count())
		must.Eq(t, "5", renewed.last().Header.Get(hExpected))
		must.MapEmpty(t, c.sent.items)
	}
}

func TestWithdrawnRequestThatMayRunOnceEndsWithoutAPromise(t *testing.T) {
	_, renewed, a := overtaken(t, "/pay/")
	must.Eq(t, 502, a.StatusCode, must.Sprint("it may have run"))
	must.Eq(t, 0, renewed.count())
}

func TestStreamThatHasBegunStaysWithItsRunner(t *testing.T) {
	old, named := newRunner(t), make(chan struct{})
	old.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-named
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	c, front, _ := start(t, old)
	answer := sayLater(t, front, request("/sort/", "x"))
	for c.begun() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.join(t, "new", newRunner(t), 5)
	c.nameWeights(5)
	c.withdrawFromOldWeights()
	close(named)
	a := <-answer
	must.NoError(t, a.err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.body)
}

// begun is how many requests are in flight and have begun at their runners.
func (r *Router) begun() int {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	n := 0
	for _, l := range r.admission.Own(r.clock()) {
		if l.Count > 0 && l.Prefill == 0 {
			n++
		}
	}
	return n
}

func TestRequestIsNotSentToOldWeightsPastTheBound(t *testing.T) {
	old := newRunner(t)
	c, _, _ := start(t, old)
	v, _, _ := chosen(t, c, 1_000_000)
	v.request.Model = "m"
	adm := c.admission.Submit(v.request, c.clock()).Admit
	must.NotNil(t, adm)
	must.True(t, c.stillAllowed(adm))
	c.nameWeights(5)
	must.False(t, c.stillAllowed(adm))
	end, _ := v.send(adm, nil)
	must.Eq(t, attempt.NotSent, end)
	must.Eq(t, 0, old.count())
}

// A loaded machine may close late; closing in time once shows that the router
// does not wait longer by design.
func TestRequestWithdrawnAtDeadline(t *testing.T) {
	r, closedAfter := silent(t)
	_, front, _ := start(t, r)
	const tries = 8
	for i := range tries {
		answer := sayLater(t, front, strings.Replace(request("/pay/", "x"), "2500", "200", 1))
		closed := <-closedAfter
		a := <-answer
		must.NoError(t, a.err)
		must.Eq(t, 504, a.StatusCode)
		left, err := strconv.Atoi(r.last().Header.Get(hTimeLeft))
		must.NoError(t, err)
		if closed < time.Duration(left)*time.Millisecond {
			return
		}
		must.Less(t, tries-1, i, must.Sprint("never closed before the time given to the runner was over"))
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
	c, front, _ := start(t, a, b)
	for i := 0; a.count() == 0; i++ {
		ans, _, err := say(t, front, fresh("/pay/", i))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
	}
	must.False(t, missing(c))
	must.Eq(t, 0, a.probes())
}
