package router

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"
)

func TestRequestReachesAtMostAsManyRunnersAsTries(t *testing.T) {
	const (
		ok      = "Beechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"
		failure = "HTTP/1.1 500 Internal Server Error\r\n" + ok
		full    = "HTTP/1.1 503 Service Unavailable\r\nBeechtide-Not-Executed: 1\r\n" + ok
		wrong   = "HTTP/1.1 421 Misdirected Request\r\n" + ok
	)
	for path, most := range map[string]int{"/open/": 2, "/pay/": 2, "/sort/": 2, "/chat/": 1} {
		for _, script := range []string{"CUT", failure, full, wrong} {
			t.Run(path, func(t *testing.T) {
				t.Parallel()
				must.Between(t, 1, countAttempts(t, path, script), most, must.Sprint(script))
			})
		}
	}
}

// countAttempts returns how many attempts one request makes at runners that all respond with
// script.
func countAttempts(t *testing.T, path, script string) (sent int) {
	t.Helper()
	var runners []*runner
	for range 4 {
		r := newRunner(t)
		r.next = func() string { return script }
		runners = append(runners, r)
	}
	refused := &runner{addr: closedAddress(t)} // refuses connections; nothing is sent to it, and it does not count as an attempt
	_, front, _ := start(t, append([]*runner{refused}, runners...)...)
	_, _, err := roundTrip(t, front, request(path, "x"))
	must.NoError(t, err)
	for _, r := range runners {
		for _, q := range r.requests() {
			if q.Header.Get(hAttempt) != "" {
				sent++
			}
		}
	}
	return sent
}

func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func (r *runner) requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request{}, r.seen...)
}

func TestPromptHeadersReachRunnerUnchanged(t *testing.T) {
	for _, tc := range []struct{ model, tokens, prefix string }{
		{"m", "20,5", "ab:15,cd:5"},
		{"m", "20, 5", "ab:15, cd:5"},
		{"m", "-1,x", "zz:,:4,,"},
		{"m", "020,005", strings.Repeat("5c1e07a2:1,", 200) + "91bd3f06:1"},
	} {
		r := newRunner(t)
		_, front, _ := start(t, r)
		raw := strings.NewReplacer("20,5", tc.tokens, "ab:15,cd:5", tc.prefix, "Beechtide-Token-Count", "beechtide-token-count").Replace(request("/chat/", "x"))
		a, _, err := roundTrip(t, front, raw)
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode, must.Sprint(tc))
		for name, value := range map[string]string{hModel: tc.model, hTokens: tc.tokens, hPrefix: tc.prefix} {
			must.Eq(t, []string{value}, r.lastRequest().Header.Values(name), must.Sprint(tc))
		}
	}
}

// A router reports not ready as soon as it drains, also while requests are in flight.
func TestDrainingRouterIsNotReadyWithRequestsInFlight(t *testing.T) {
	r, reached, ended := newBlockingRunner(t, streamHead+chunk("id: 1\ndata: a\n\n"))
	router, front, cancel := start(t, r)
	router.runnersReceived.Store(true)
	router.receiveConfig(t, longCutoffConfig)
	dialAndSend(t, front, longRequest("/chat/"))
	awaitEvent(t, reached, "the request at the runner")
	ready := func() int {
		a, err := http.Get("http://" + router.set.Listen.Ready + "/api/ready")
		must.NoError(t, err)
		a.Body.Close()
		return a.StatusCode
	}
	must.Eq(t, 200, ready())
	cancel()
	for !router.draining() {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 503, ready())
	must.Eq(t, 1, router.inFlight.Load())
	select {
	case <-ended:
		t.Fatal("the start of the drain ended a request")
	default:
	}
}

func TestRouterWithoutConfigurationAnswers503(t *testing.T) {
	router := &Router{clock: func() int64 { return 1 }}
	rc := app.NewContext(0)
	rc.Request.Header.SetMethod("POST")
	rc.Request.SetRequestURI("/chat/")
	rc.Request.Header.Set(hAttempt, "id1")
	router.serve(t.Context(), rc)
	must.Eq(t, 503, rc.Response.StatusCode())
	must.NotEq(t, "", rc.Response.Header.Get(hRetryAfter))
}

// A runner's seal must not be forwarded with a status other than the one the runner sent.
func TestSealIsForwardedOnlyWithItsStatus(t *testing.T) {
	for line, want := range map[string]int{
		"400 Bad Request": 400, "404 Not Found": 404, "500 Internal Server Error": 500, "504 Gateway Timeout": 504,
		"429 Too Many Requests": 502, "503 Service Unavailable": 502, "421 Misdirected Request": 503,
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t)
			r.next = func() string {
				return "HTTP/1.1 " + line + "\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nno"
			}
			_, front, _ := start(t, r)
			a, _, err := roundTrip(t, front, request("/pay/", "x"))
			must.NoError(t, err)
			must.Eq(t, want, a.StatusCode)
			must.Eq(t, strings.HasPrefix(line, a.Status[:3]), a.Header.Get("Beechtide-Server-Seal") != "")
		})
	}
}
