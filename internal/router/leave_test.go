package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drain begins the graceful shutdown and waits until the router has noticed.
func (r *Router) drain(cancel func()) {
	cancel()
	for !r.draining() {
		time.Sleep(time.Millisecond)
	}
}

// A request that may last longer than the draining router is not forwarded: no answer
// could be promised to its client.
func TestDrainingRouterRejectsWhatMayOutlastIt(t *testing.T) {
	for _, path := range []string{"/chat/", "/sort/", "/pay/", "/open/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t)
			c, front, cancel := start(t, r)
			c.takesConfig(t, unhurriedMenu)
			c.drain(cancel)
			answer, _, err := say(t, front, unhurried(path))
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
			must.NotEq(t, "", answer.Header.Get(hRetryAfter))
			must.True(t, answer.Close)
			must.Eq(t, 0, r.count(), must.Sprint("nothing was sent to a runner"))
		})
	}
}

// A request that waits in the queue of a draining router, and that may outlast it, goes to
// no runner any more.
func TestDrainingRouterForwardsNothingFromItsQueueThatMayOutlastIt(t *testing.T) {
	r, reached, ended := working(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	c, front, run := startWithGrace(t, 120, r)
	busy := fillUntilQueued(t, c, front, reached)
	seen := r.count()
	c.drain(run.cancel)
	waiting := busy[len(busy)-1]
	for _, conn := range busy[:len(busy)-1] {
		conn.Close()
		awaited(t, ended, "the end of a stream")
	}
	must.NoError(t, waiting.SetReadDeadline(time.Now().Add(3*time.Second)))
	answer, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.Eq(t, seen, r.count(), must.Sprint("it was not forwarded"))
	waiting.Close()
}

// When the grace period is over, a request gets an answer that says so as long as its
// client has nothing of another one; its connection is not just closed.
func TestEndOfGraceAnswersRequestsOfWhichTheClientHasNothing(t *testing.T) {
	partOfBody := "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("a", 20000)
	for _, tc := range []struct{ name, path, writes string }{
		{"stream without a head", "/chat/", ""},
		{"effectful without a head", "/pay/", ""},
		{"idempotent without a head", "/open/", ""},
		{"stream without an event", "/chat/", streamHead},
		{"effectful with a part of its body", "/pay/", partOfBody},
		{"idempotent with a part of its body", "/open/", partOfBody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r, reached, _ := working(t, tc.writes)
			c, front, cancel := start(t, r)
			c.takesConfig(t, unhurriedMenu)
			conn := send(t, front, unhurried(tc.path))
			awaited(t, reached, "the request at the runner")
			cancel()
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusGatewayTimeout, answer.StatusCode, must.Sprint("it may have run"))
			must.True(t, answer.Close)
			must.Eq(t, 1, r.count(), must.Sprint("not sent once more"))
		})
	}
}

// A request that waits in the queue when the grace period is over has not run.
func TestEndOfGraceRejectsWhatIsQueued(t *testing.T) {
	r, reached, _ := working(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	c, front, cancel := start(t, r)
	conns := fillUntilQueued(t, c, front, reached)
	seen := r.count()
	cancel()
	queued := conns[len(conns)-1]
	must.NoError(t, queued.SetReadDeadline(time.Now().Add(patience)))
	answer, err := http.ReadResponse(bufio.NewReader(queued), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.NotEq(t, "", answer.Header.Get(hRetryAfter))
	must.True(t, answer.Close)
	must.Eq(t, seen, r.count(), must.Sprint("it was not sent"))
}

// What a draining router takes in, it serves to the end; only then it ends itself.
func TestDrainingRouterServesToItsEndWhatItForwards(t *testing.T) {
	finish := make(chan struct{})
	r := newRunner(t)
	r.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-finish
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	c, front, run := startWithGrace(t, 120, r)
	c.takesConfig(t, unhurriedMenu)
	c.drain(run.cancel)
	conn := send(t, front, strings.Replace(request("/chat/", "x"), "Time-Left: 2500", "Time-Left: 60000", 1))
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.True(t, answer.Close)
	awaitClosed(t, front)
	select {
	case <-run.ended:
		t.Fatal("the router has ended before its stream")
	default:
	}
	close(finish)
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(body))
	must.NoError(t, <-run.ended)
}

// A request that the router has read together with the one before it is answered too.
func TestDrainingRouterAnswersPipelinedRequestThatItHasRead(t *testing.T) {
	finish, reached := make(chan struct{}), make(chan struct{}, 4)
	r := newRunner(t)
	r.next = func() string {
		reached <- struct{}{}
		<-finish
		return "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	c, front, run := startWithGrace(t, 120, r)
	c.takesConfig(t, unhurriedMenu)
	first := strings.Replace(request("/open/", "x"), "Time-Left: 2500", "Time-Left: 60000", 1)
	second := strings.Replace(first, "id1", "id2", 1)
	conn := send(t, front, first+second)
	awaited(t, reached, "the first request at the runner")
	c.drain(run.cancel)
	awaitClosed(t, front)
	close(finish)
	in := bufio.NewReader(conn)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	for _, id := range []string{"id1", "id2"} {
		answer, err := http.ReadResponse(in, nil)
		must.NoError(t, err, must.Sprint(id))
		_, err = io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, id, answer.Header.Get(hAttempt))
	}
}

// awaitClosed waits until an address accepts no more connections.
func awaitClosed(t *testing.T, addr string) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("connections are still accepted")
}
