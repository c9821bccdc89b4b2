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

// shortCutoff is the cutoff of the tests, and much how many times of it a busy
// machine may need. A request may be taken back from its runner a little before its
// end, so that the closing is there by then, but a silent runner is waited for.
const (
	shortCutoff = 400 * time.Millisecond
	notBefore   = shortCutoff - shortCutoff/8
	much        = 4
)

// cutoffMenu is the unhurried configuration with another cutoff.
func cutoffMenu(version int, cutoff time.Duration) string {
	return strings.NewReplacer(`"version":4`, fmt.Sprintf(`"version":%d`, version), `"cutoffMs":7200000`, fmt.Sprintf(`"cutoffMs":%d`, cutoff.Milliseconds())).Replace(unhurriedMenu)
}

// endless writes first, and then the same again and again until its connection ends.
func endless(t *testing.T, first, again string) (r *runner, ended chan struct{}) {
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
				write(again)
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
		begun                    bool // a part of the answer has gone out
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
			r, ended := endless(t, tc.first, tc.again)
			c, front, _ := start(t, r)
			c.adopt(t, 2, 5, cutoffMenu(5, shortCutoff))
			began := time.Now()
			a, _, err := say(t, front, unhurried(tc.path))
			took := time.Since(began)
			awaited(t, ended, "the withdrawal from the runner")
			must.Between(t, notBefore, took, much*shortCutoff)
			if tc.begun {
				must.Error(t, err, must.Sprint("a cut stream must not appear complete"))
				return
			}
			must.NoError(t, err)
			must.Eq(t, 504, a.StatusCode)
		})
	}
}

// A client that reads nothing holds its request no longer than another.
func TestStreamToAClientThatDoesNotReadEndsAtItsCutoff(t *testing.T) {
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
	c, front, _ := start(t, r)
	c.adopt(t, 2, 5, cutoffMenu(5, shortCutoff))
	began := time.Now()
	send(t, front, unhurried("/chat/"))
	for c.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for c.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	must.Between(t, notBefore, time.Since(began), much*shortCutoff)
	awaited(t, ended, "the withdrawal from the runner")
}

func TestCutoffIsThatOfTheConfigurationAtTheBeginning(t *testing.T) {
	r, reached, _ := working(t, "")
	c, front, _ := start(t, r)
	c.adopt(t, 2, 5, cutoffMenu(5, shortCutoff))
	answered := make(chan int, 1)
	go func() {
		status := 0
		if a, _, err := say(t, front, unhurried("/pay/")); err == nil {
			status = a.StatusCode
		}
		answered <- status
	}()
	awaited(t, reached, "the request at the runner")
	c.adopt(t, 3, 6, cutoffMenu(6, time.Hour))
	must.Eq(t, 504, <-answered)

	conn := send(t, front, unhurried("/chat/"))
	awaited(t, reached, "the request at the runner")
	c.adopt(t, 4, 7, cutoffMenu(7, shortCutoff))
	a, _, err := say(t, front, unhurried("/pay/"))
	must.NoError(t, err)
	must.Eq(t, 504, a.StatusCode)
	must.Eq(t, 1, c.inFlight.Load(), must.Sprint("the one that began with hours goes on"))
	conn.Close()
}

// timesLeft lists what the runners were handed, in the order of arrival.
func timesLeft(t *testing.T, runners ...*runner) []time.Duration {
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

func TestRunnerIsHandedTheTimeThatIsLeft(t *testing.T) {
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
		a, _, err := say(t, front, strings.Replace(request("/pay/", "x"), "Beechtide-Time-Left: 2500\r\n", tc.header, 1))
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode, must.Sprint(tc.header))
		must.Len(t, 1, r.last().Header.Values(hTimeLeft))
		must.Between(t, tc.most/2, timesLeft(t, r)[0], tc.most)
	}
}

func TestFurtherAttemptEndsWithTheFirst(t *testing.T) {
	const held = 300 * time.Millisecond
	for _, first := range []string{"CUT", "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"} {
		a, b := newRunner(t), newRunner(t)
		turns := make(chan string, 2)
		turns <- first
		turns <- "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
		next := func() string {
			time.Sleep(held)
			return <-turns
		}
		a.next, b.next = next, next
		_, front, _ := start(t, a, b)
		ans, _, err := say(t, front, request("/open/", "x"))
		must.NoError(t, err)
		must.Eq(t, 200, ans.StatusCode)
		left := timesLeft(t, a, b)
		must.Len(t, 2, left)
		must.LessEq(t, 2500*time.Millisecond-held, min(left[0], left[1]), must.Sprint(left))
	}
}

// The time in which a request arrives is its client's, too.
func TestTimeLeftCountsFromTheFirstByte(t *testing.T) {
	const pause = 150 * time.Millisecond // within the limit on the time to send a request
	r := newRunner(t)
	c, front, _ := start(t, r)
	raw := request("/pay/", "some")
	conn := send(t, front, "")
	c.awaitIdle(conn, true)
	_, err := io.WriteString(conn, raw[:len(raw)-2])
	must.NoError(t, err)
	c.awaitIdle(conn, false) // the router has read, and looked at its clock
	time.Sleep(pause)
	_, err = io.WriteString(conn, raw[len(raw)-2:])
	must.NoError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	must.LessEq(t, 2500*time.Millisecond-pause, timesLeft(t, r)[0])
}

// awaitIdle waits until the router's side of a client's connection waits for a request, or has
// read a part of one.
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

// muteAddress is an address that takes no more connections and says nothing: its
// queue of connections is full.
func muteAddress(t *testing.T) string {
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
	t.Fatal("the queue of connections does not fill")
	return ""
}

// A runner whose address takes no connection is given up with the request's time.
func TestConnectingEndsAtTheCutoff(t *testing.T) {
	c, front, _ := start(t, &runner{addr: muteAddress(t)})
	c.adopt(t, 2, 5, cutoffMenu(5, shortCutoff))
	began := time.Now()
	a, _, err := say(t, front, unhurried("/pay/"))
	must.NoError(t, err)
	must.Eq(t, 503, a.StatusCode)
	must.NotEq(t, "", a.Header.Get(hRetryAfter))
	must.Between(t, notBefore, time.Since(began), much*shortCutoff)
}
