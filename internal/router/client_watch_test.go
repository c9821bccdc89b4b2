package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/messages"
)

// awaitTimeout is how long a test waits for an event that should occur soon.
const awaitTimeout = 20 * time.Second

// longCutoffConfig is configText with a cutoff of hours on every route, so that a request that
// ends earlier was ended by something else.
var longCutoffConfig = strings.NewReplacer(`"version":3`, `"version":4`, `"cutoffMs":3000`, `"cutoffMs":7200000`).Replace(configText)

// longRequest returns a request whose client allows hours for it.
func longRequest(path string) string {
	return strings.Replace(request(path, "x"), "Time-Left: 2500", "Time-Left: 7200000", 1)
}

// newBlockingRunner returns a runner that writes output and then waits until its connection is
// closed. It signals when a request arrives and when its connection ends.
func newBlockingRunner(t *testing.T, output string) (r *runner, arrived, ended chan struct{}) {
	t.Helper()
	arrived, ended = make(chan struct{}, 8), make(chan struct{}, 8)
	r = newRunner(t)
	r.stream = func(write func(string), closed <-chan struct{}) {
		write(output)
		arrived <- struct{}{}
		<-closed
		ended <- struct{}{}
	}
	return r, arrived, ended
}

func awaitEvent(t *testing.T, event <-chan struct{}, description string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(awaitTimeout):
		t.Fatalf("timed out waiting for %s", description)
	}
}

func dialAndSend(t *testing.T, front, raw string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", front)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, raw)
	must.NoError(t, err)
	return conn
}

func (r *Router) receiveConfig(t *testing.T, text string) {
	t.Helper()
	must.True(t, r.applyFeed("", messages.Feed{Configuration: []messages.EntryChange{configSnapshot(t, text, 2)}}))
}

func TestRunnerConnectionIsClosedWhenClientDisconnects(t *testing.T) {
	for _, tc := range []struct{ name, path, writes string }{
		{"stream before its head", "/chat/", ""},
		{"stream between events", "/chat/", streamHead + chunk("id: 1\ndata: a\n\n")},
		{"resumable stream between events", "/sort/", streamHead + chunk("id: 1\ndata: a\n\n")},
		{"repeatable request before its head", "/open/", ""},
		{"repeatable request in its body", "/open/", "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 9\r\n\r\nsome"},
	} {
		for name, leave := range map[string]func(net.Conn){
			"close": func(conn net.Conn) { conn.Close() },
			"reset": func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); conn.Close() },
		} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				t.Parallel()
				r, reached, ended := newBlockingRunner(t, tc.writes)
				router, front, _ := start(t, r)
				router.receiveConfig(t, longCutoffConfig)
				conn := dialAndSend(t, front, longRequest(tc.path))
				awaitEvent(t, reached, "the request at the runner")
				leave(conn)
				awaitEvent(t, ended, "the end of the runner's connection")
				for router.inFlight.Load() > 0 {
					time.Sleep(time.Millisecond)
				}
				must.Eq(t, 1, r.requestCount(), must.Sprint("the request must not be retried"))
				router.admissionMu.Lock()
				defer router.admissionMu.Unlock()
				must.NotNil(t, router.admission.TryAdmit(admission.Request{Service: "s", TimeLeftUs: 1_000_000}, router.clock()), must.Sprint("it must not count as a failure of the runner"))
			})
		}
	}
}

func TestRunOnceRequestFinishesAfterClientDisconnects(t *testing.T) {
	finish := make(chan struct{})
	r, ran := newRunner(t), make(chan bool, 1)
	r.stream = func(write func(string), closed <-chan struct{}) {
		<-finish
		select {
		case <-closed:
			ran <- false
		default:
			write("HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok")
			ran <- true
		}
	}
	router, front, _ := start(t, r)
	router.receiveConfig(t, longCutoffConfig)
	conn := dialAndSend(t, front, longRequest("/pay/"))
	for r.requestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	time.Sleep(2 * watchDelay)
	close(finish)
	must.True(t, <-ran)
}

func TestQueuedRequestIsDroppedWhenClientDisconnects(t *testing.T) {
	r, reached, ended := newBlockingRunner(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	router, front, _ := start(t, r)
	busy := fillUntilQueued(t, router, front, reached)
	seen := r.requestCount()
	busy[len(busy)-1].Close()
	for router.slab.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
	busy[0].Close()
	awaitEvent(t, ended, "the end of the first stream")
	dialAndSend(t, front, longRequest("/chat/"))
	awaitEvent(t, reached, "the next request")
	must.Eq(t, seen+1, r.requestCount(), must.Sprint("the abandoned request must not be sent"))
}

// fillUntilQueued sends large streams until one waits in the queue: the last of those it returns.
func fillUntilQueued(t *testing.T, router *Router, front string, arrived <-chan struct{}) (conns []net.Conn) {
	t.Helper()
	router.receiveConfig(t, strings.Replace(longCutoffConfig, `"setpointMs":400`, `"setpointMs":3600000`, 1))
	for router.slab.Len() == 0 {
		conns = append(conns, dialAndSend(t, front, strings.Replace(longRequest("/chat/"), "20,5", "20,40000", 1)))
		select {
		case <-arrived:
		case <-time.After(watchDelay):
		}
	}
	return conns
}

// A client may pipeline its next request. The watch for its disconnect must not consume those
// bytes.
func TestRequestPipelinedDuringWatchIsAnsweredNext(t *testing.T) {
	r := newRunner(t)
	free := make(chan struct{})
	r.next = func() string {
		<-free
		return "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	}
	router, front, _ := start(t, r)
	conn := dialAndSend(t, front, request("/open/", "x"))
	for router.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * watchDelay)
	_, err := io.WriteString(conn, strings.Replace(request("/open/", "y"), "id1", "id2", 1))
	must.NoError(t, err)
	time.Sleep(watchDelay / 2)
	close(free)
	br := bufio.NewReader(conn)
	for i := range 2 {
		a, err := http.ReadResponse(br, nil)
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode)
		must.Eq(t, fmt.Sprint("id", i+1), a.Header.Get(hAttempt))
		_, err = io.Copy(io.Discard, a.Body)
		must.NoError(t, err)
	}
}

// A watch sets the read deadline of the connection; reads and watches after it must work as
// before.
func TestConnectionIsReadableAfterWatchStops(t *testing.T) {
	ln, err := listenFront("127.0.0.1:0", fixedLimits(time.Minute), nil)
	must.NoError(t, err)
	defer ln.Listener.Close()
	client, err := net.Dial("tcp4", ln.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	served, err := ln.Accept()
	must.NoError(t, err)
	left := make(chan struct{}, 1)
	watch := served.(*timedConn).watchClose(func() { left <- struct{}{} })
	time.Sleep(2 * watchDelay)
	watch.stop()
	_, err = io.WriteString(client, completeRequest)
	must.NoError(t, err)
	b := make([]byte, 64)
	n, err := served.Read(b)
	must.NoError(t, err)
	must.Eq(t, completeRequest, string(b[:n]))
	watch = served.(*timedConn).watchClose(func() { left <- struct{}{} })
	client.Close()
	awaitEvent(t, left, "the client's close")
	watch.stop()
}
