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

// beginDrain cancels the router's run and waits until it drains.
func (r *Router) beginDrain(cancel func()) {
	cancel()
	for !r.draining() {
		time.Sleep(time.Millisecond)
	}
}

// A draining router cannot promise a response to a request whose deadline is after its own end,
// and must not forward it.
func TestDrainingRouterRejectsRequestThatMayOutlastIt(t *testing.T) {
	for _, path := range []string{"/chat/", "/sort/", "/pay/", "/open/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t)
			router, front, cancel := start(t, r)
			router.receiveConfig(t, longCutoffConfig)
			router.beginDrain(cancel)
			answer, _, err := roundTrip(t, front, longRequest(path))
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
			must.NotEq(t, "", answer.Header.Get(hRetryAfter))
			must.True(t, answer.Close)
			must.Eq(t, 0, r.requestCount(), must.Sprint("nothing must be sent to a runner"))
		})
	}
}

// A request queued when the drain begins, whose deadline is after the router's end, must not be
// forwarded when capacity becomes free.
func TestDrainingRouterRejectsQueuedRequestThatMayOutlastIt(t *testing.T) {
	r, reached, ended := newBlockingRunner(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	router, front, run := startWithGrace(t, 120, r)
	busy := fillUntilQueued(t, router, front, reached)
	seen := r.requestCount()
	router.beginDrain(run.cancel)
	waiting := busy[len(busy)-1]
	for _, conn := range busy[:len(busy)-1] {
		conn.Close()
		awaitEvent(t, ended, "the end of a stream")
	}
	must.NoError(t, waiting.SetReadDeadline(time.Now().Add(3*time.Second)))
	answer, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.Eq(t, seen, r.requestCount(), must.Sprint("it must not be forwarded"))
	waiting.Close()
}

// At the end of the grace period, a request of whose response the client has received nothing must
// get an error response; its connection must not just be closed.
func TestEndOfGraceAnswersUndeliveredRequestsWith504(t *testing.T) {
	truncatedBody := "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("a", 20000)
	for _, tc := range []struct{ name, path, writes string }{
		{"stream without a head", "/chat/", ""},
		{"effectful without a head", "/pay/", ""},
		{"idempotent without a head", "/open/", ""},
		{"stream without an event", "/chat/", streamHead},
		{"effectful with a part of its body", "/pay/", truncatedBody},
		{"idempotent with a part of its body", "/open/", truncatedBody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r, reached, _ := newBlockingRunner(t, tc.writes)
			router, front, cancel := start(t, r)
			router.receiveConfig(t, longCutoffConfig)
			conn := dialAndSend(t, front, longRequest(tc.path))
			awaitEvent(t, reached, "the request at the runner")
			cancel()
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(awaitTimeout)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusGatewayTimeout, answer.StatusCode, must.Sprint("the request may have run"))
			must.True(t, answer.Close)
			must.Eq(t, 1, r.requestCount(), must.Sprint("the request must not be retried"))
		})
	}
}

// A request that is still queued at the end of the grace period has not run, so it gets 503.
func TestEndOfGraceRejectsQueuedRequest(t *testing.T) {
	r, reached, _ := newBlockingRunner(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	router, front, cancel := start(t, r)
	conns := fillUntilQueued(t, router, front, reached)
	seen := r.requestCount()
	cancel()
	queued := conns[len(conns)-1]
	must.NoError(t, queued.SetReadDeadline(time.Now().Add(awaitTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(queued), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.NotEq(t, "", answer.Header.Get(hRetryAfter))
	must.True(t, answer.Close)
	must.Eq(t, seen, r.requestCount(), must.Sprint("it must not be sent"))
}

// A request that a draining router forwards is served to its end before the router ends.
func TestDrainingRouterFinishesForwardedStreamBeforeEnding(t *testing.T) {
	finish := make(chan struct{})
	r := newRunner(t)
	r.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-finish
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	router, front, run := startWithGrace(t, 120, r)
	router.receiveConfig(t, longCutoffConfig)
	router.beginDrain(run.cancel)
	conn := dialAndSend(t, front, strings.Replace(request("/chat/", "x"), "Time-Left: 2500", "Time-Left: 60000", 1))
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(awaitTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.True(t, answer.Close)
	awaitClosed(t, front)
	select {
	case <-run.ended:
		t.Fatal("the router ended before its stream")
	default:
	}
	close(finish)
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(body))
	must.NoError(t, <-run.ended)
}

// A draining router closes connections with the response, but not while it has already read the
// next pipelined request.
func TestDrainingRouterAnswersPipelinedRequestAlreadyRead(t *testing.T) {
	finish, reached := make(chan struct{}), make(chan struct{}, 4)
	r := newRunner(t)
	r.next = func() string {
		reached <- struct{}{}
		<-finish
		return "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	router, front, run := startWithGrace(t, 120, r)
	router.receiveConfig(t, longCutoffConfig)
	first := strings.Replace(request("/open/", "x"), "Time-Left: 2500", "Time-Left: 60000", 1)
	second := strings.Replace(first, "id1", "id2", 1)
	conn := dialAndSend(t, front, first+second)
	awaitEvent(t, reached, "the first request at the runner")
	router.beginDrain(run.cancel)
	awaitClosed(t, front)
	close(finish)
	in := bufio.NewReader(conn)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(awaitTimeout)))
	for _, id := range []string{"id1", "id2"} {
		answer, err := http.ReadResponse(in, nil)
		must.NoError(t, err, must.Sprint(id))
		_, err = io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, id, answer.Header.Get(hAttempt))
	}
}

// awaitClosed waits until an address refuses connections.
func awaitClosed(t *testing.T, addr string) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < awaitTimeout; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("connections are still accepted")
}
