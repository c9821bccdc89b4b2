package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shortCutoff is the cutoff of the tests, and maxCutoffs the multiple of it within which a busy
// machine must end a request. An attempt is withdrawn slightly before the deadline, so that the
// runner sees the close in time, but not before minElapsed.
const (
	shortCutoff = 400 * time.Millisecond
	minElapsed  = shortCutoff - shortCutoff/8
	maxCutoffs  = 4
)

// cutoffConfig is longCutoffConfig with the given version and cutoff.
func cutoffConfig(version int, cutoff time.Duration) string {
	return strings.NewReplacer(`"version":4`, fmt.Sprintf(`"version":%d`, version), `"cutoffMs":7200000`, fmt.Sprintf(`"cutoffMs":%d`, cutoff.Milliseconds())).Replace(longCutoffConfig)
}

// newEndlessRunner returns a runner that writes first, and then repeated until its connection is
// closed.
func newEndlessRunner(t *testing.T, first, repeated string) (r *runner, ended chan struct{}) {
	t.Helper()
	r, ended = newRunner(t), make(chan struct{}, 8)
	r.stream = func(write func(string), closed <-chan struct{}) {
		defer func() { ended <- struct{}{} }()
		write(first)
		for {
			select {
			case <-closed:
				return
			case <-time.After(shortCutoff / 40):
				write(repeated)
			}
		}
	}
	return r, ended
}

func TestRequestEndsAtItsCutoff(t *testing.T) {
	const bodyHead = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 90000\r\n\r\n"
	event := chunk("id: 1\ndata: a\n\n")
	for _, tc := range []struct {
		name, path, first, again string
		begun                    bool // the client has received a part of the response
	}{
		{"silent, run once", "/pay/", "", "", false},
		{"silent, repeatable", "/open/", "", "", false},
		{"silent, stream", "/chat/", "", "", false},
		{"half a head", "/pay/", bodyHead[:20], "", false},
		{"trickles its head", "/pay/", "HTTP/1.1 200 OK\r\nX: ", "y", false},
		{"hangs in its body", "/pay/", bodyHead + "some", "", false},
		{"trickles its body", "/open/", bodyHead, "x", false},
		{"hangs before its first event", "/chat/", streamHead, "", false},
		{"trickles its first event", "/sort/", streamHead, chunk("data: x\n"), false},
		{"hangs between events", "/chat/", streamHead + event, "", true},
		{"resumable, hangs between events", "/sort/", streamHead + event, "", true},
		{"sends events without end", "/chat/", streamHead, event, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r, ended := newEndlessRunner(t, tc.first, tc.again)
			router, front, _ := start(t, r)
			router.receiveConfigVersion(t, 2, 5, cutoffConfig(5, shortCutoff))
			began := time.Now()
			a, _, err := roundTrip(t, front, longRequest(tc.path))
			took := time.Since(began)
			awaitEvent(t, ended, "the withdrawal from the runner")
			must.Between(t, minElapsed, took, maxCutoffs*shortCutoff)
			if tc.begun {
				must.Error(t, err, must.Sprint("a truncated stream must not appear complete"))
				return
			}
			must.NoError(t, err)
			must.Eq(t, 504, a.StatusCode)
		})
	}
}

// A client that does not read must not extend its request past the cutoff.
func TestStreamToNonReadingClientEndsAtCutoff(t *testing.T) {
	r, ended := newRunner(t), make(chan struct{})
	r.stream = func(write func(string), closed <-chan struct{}) {
		defer close(ended)
		write(streamHead)
		event := chunk("id: 1\ndata: " + strings.Repeat("a", 60_000) + "\n\n")
		for {
			select {
			case <-closed:
				return
			default:
				write(event)
			}
		}
	}
	router, front, _ := start(t, r)
	router.receiveConfigVersion(t, 2, 5, cutoffConfig(5, shortCutoff))
	began := time.Now()
	dialAndSend(t, front, longRequest("/chat/"))
	for router.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for router.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	must.Between(t, minElapsed, time.Since(began), maxCutoffs*shortCutoff)
	awaitEvent(t, ended, "the withdrawal from the runner")
}

func TestCutoffIsFixedWhenRequestBegins(t *testing.T) {
	r, reached, _ := newBlockingRunner(t, "")
	router, front, _ := start(t, r)
	router.receiveConfigVersion(t, 2, 5, cutoffConfig(5, shortCutoff))
	answered := make(chan int, 1)
	go func() {
		status := 0
		if a, _, err := roundTrip(t, front, longRequest("/pay/")); err == nil {
			status = a.StatusCode
		}
		answered <- status
	}()
	awaitEvent(t, reached, "the request at the runner")
	router.receiveConfigVersion(t, 3, 6, cutoffConfig(6, time.Hour))
	must.Eq(t, 504, <-answered)

	conn := dialAndSend(t, front, longRequest("/chat/"))
	awaitEvent(t, reached, "the request at the runner")
	router.receiveConfigVersion(t, 4, 7, cutoffConfig(7, shortCutoff))
	a, _, err := roundTrip(t, front, longRequest("/pay/"))
	must.NoError(t, err)
	must.Eq(t, 504, a.StatusCode)
	must.Eq(t, 1, router.inFlight.Load(), must.Sprint("the request that began under the long cutoff must continue"))
	conn.Close()
}

// receivedTimesLeft returns the remaining times that the runners received, in order of arrival at
// each.
func receivedTimesLeft(t *testing.T, runners ...*runner) []time.Duration {
	t.Helper()
	var out []time.Duration
	for _, r := range runners {
		r.mu.Lock()
		for _, q := range r.seen {
			ms, err := strconv.Atoi(q.Header.Get(hTimeLeft))
			must.NoError(t, err)
			out = append(out, time.Duration(ms)*time.Millisecond)
		}
		r.mu.Unlock()
	}
	return out
}

func TestRunnerReceivesRemainingTime(t *testing.T) {
	for _, tc := range []struct {
		header string
		most   time.Duration
	}{
		{"Beechtide-Time-Left: 2500\r\n", 2500 * time.Millisecond},
		{"Beechtide-Time-Left: 90000\r\n", 3 * time.Second},
		{"", 3 * time.Second},
		{"Beechtide-Time-Left: soon\r\n", 3 * time.Second},
		{"Beechtide-Time-Left: +Inf\r\n", 3 * time.Second},
		{"beechtide-time-left: 1500.5\r\n", 1500 * time.Millisecond},
		{"Connection: Beechtide-Time-Left\r\nBeechtide-Time-Left: 2500\r\n", 2500 * time.Millisecond},
	} {
		r := newRunner(t)
		_, front, _ := start(t, r)
		a, _, err := roundTrip(t, front, strings.Replace(request("/pay/", "x"), "Beechtide-Time-Left: 2500\r\n", tc.header, 1))
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode, must.Sprint(tc.header))
		must.Len(t, 1, r.lastRequest().Header.Values(hTimeLeft))
		must.Between(t, tc.most/2, receivedTimesLeft(t, r)[0], tc.most)
	}
}

func TestRetryReceivesTimeLeftAfterFirstAttempt(t *testing.T) {
	const delay = 300 * time.Millisecond
	for _, first := range []string{"CUT", "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"} {
		a, b := newRunner(t), newRunner(t)
		turns := make(chan string, 2)
		turns <- first
		turns <- "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
		next := func() string {
			time.Sleep(delay)
			return <-turns
		}
		a.next, b.next = next, next
		_, front, _ := start(t, a, b)
		ans, _, err := roundTrip(t, front, request("/open/", "x"))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
		left := receivedTimesLeft(t, a, b)
		must.Len(t, 2, left)
		must.LessEq(t, 2500*time.Millisecond-delay, min(left[0], left[1]), must.Sprint(left))
	}
}

// The time that a request takes to arrive counts against its time limit.
func TestTimeLeftCountsFromTheFirstByte(t *testing.T) {
	const pause = 150 * time.Millisecond // within the limit on the time to send a request
	r := newRunner(t)
	router, front, _ := start(t, r)
	raw := request("/pay/", "some")
	conn := dialAndSend(t, front, "")
	router.awaitIdle(conn, true)
	_, err := io.WriteString(conn, raw[:len(raw)-2])
	must.NoError(t, err)
	router.awaitIdle(conn, false) // the router has read the first bytes and recorded the time
	time.Sleep(pause)
	_, err = io.WriteString(conn, raw[len(raw)-2:])
	must.NoError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	must.LessEq(t, 2500*time.Millisecond-pause, receivedTimesLeft(t, r)[0])
}

// awaitIdle waits until the router's end of a client's connection waits for a request (idle), or
// has read a part of one (not idle).
func (r *Router) awaitIdle(client net.Conn, idle bool) {
	for {
		front := r.front.Load()
		front.mu.Lock()
		reached := false
		for conn := range front.conns {
			conn.mu.Lock()
			reached = reached || conn.idle == idle && conn.RemoteAddr().String() == client.LocalAddr().String()
			conn.mu.Unlock()
		}
		front.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// unresponsiveAddress returns an address that does not respond to connects: its accept queue is
// full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp4", addr, shortCutoff/4)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the accept queue does not fill")
	return ""
}

// Connecting to a runner that does not respond ends at the request's deadline.
func TestConnectEndsAtCutoff(t *testing.T) {
	router, front, _ := start(t, &runner{addr: unresponsiveAddress(t)})
	router.receiveConfigVersion(t, 2, 5, cutoffConfig(5, shortCutoff))
	began := time.Now()
	a, _, err := roundTrip(t, front, longRequest("/pay/"))
	must.NoError(t, err)
	must.Eq(t, 503, a.StatusCode)
	must.NotEq(t, "", a.Header.Get(hRetryAfter))
	must.Between(t, minElapsed, time.Since(began), maxCutoffs*shortCutoff)
}
