package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Heads of responses without a length, which end when the connection is closed.
const (
	unboundedPlain  = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: seal\r\n\r\n"
	unboundedEvents = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
)

func TestResponseWithoutLengthIsForwardedCompletely(t *testing.T) {
	for path, raw := range map[string]string{
		"/pay/":  unboundedPlain + "all there is",
		"/open/": unboundedPlain + "all there is",
		"/chat/": unboundedEvents + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	} {
		r := newRunner(t, raw+"CUT", raw+"CUT")
		_, front, _ := start(t, r)
		for range 2 {
			a, body, err := roundTrip(t, front, request(path, "x"))
			must.NoError(t, err)
			must.Eq(t, 200, a.StatusCode)
			must.Eq(t, "seal", a.Header.Get("Beechtide-Server-Seal"))
			must.Eq(t, raw[strings.Index(raw, "\r\n\r\n")+4:], body)
		}
		must.Eq(t, 2, r.conns, must.Sprint("such a connection must not be reused"))
	}
}

func TestStreamClosedWithinEventIsTruncated(t *testing.T) {
	r := newRunner(t, unboundedEvents+"id: 1\ndata: a\n\nid: 2\nda"+"CUT")
	_, front, _ := start(t, r)
	_, body, err := roundTrip(t, front, request("/chat/", "x"))
	must.Error(t, err)
	must.Eq(t, "id: 1\ndata: a\n\n", body)
}

// newResettingRunner returns a runner that responds with raw and resets its connection once reset
// is closed.
func newResettingRunner(t *testing.T, raw string) (r *runner, reset chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	mayReset := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(raw, "ID", q.Header.Get(hAttempt)))
		<-mayReset
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	return &runner{addr: ln.Addr().String()}, mayReset
}

func TestStreamResetByRunnerIsTruncated(t *testing.T) {
	r, reset := newResettingRunner(t, unboundedEvents+"id: 1\ndata: a\n\n")
	_, front, _ := start(t, r)
	conn := dialAndSend(t, front, request("/chat/", "x"))
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	_, err = a.Body.Read(make([]byte, 1))
	must.NoError(t, err)
	close(reset)
	_, err = io.ReadAll(a.Body)
	must.Error(t, err)
}

func TestResponseResetByRunnerGives502(t *testing.T) {
	for _, path := range []string{"/pay/", "/open/"} {
		r, reset := newResettingRunner(t, unboundedPlain+"some")
		close(reset)
		_, front, _ := start(t, r)
		a, _, err := roundTrip(t, front, request(path, "x"))
		must.NoError(t, err)
		must.Eq(t, 502, a.StatusCode, must.Sprint(path))
	}
}

// requestWithTwoResponses sends a repeatable request to two runners. The first attempt gets the
// response first, the second one second.
func requestWithTwoResponses(t *testing.T, first, second string) (*http.Response, string) {
	t.Helper()
	turns := make(chan string, 2)
	turns <- first
	turns <- second
	a, b := newRunner(t), newRunner(t)
	next := func() string { return <-turns }
	a.next, b.next = next, next
	_, front, _ := start(t, a, b)
	ans, body, err := roundTrip(t, front, request("/open/", "x"))
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, 2, a.requestCount()+b.requestCount())
	return ans, body
}

func TestRepeatableRequestIsRetriedAfterReset(t *testing.T) {
	_, body := requestWithTwoResponses(t, unboundedPlain+"some"+"RESET", unboundedPlain+"all there is"+"CUT")
	must.Eq(t, "all there is", body)
}

// Nothing of a chunked response that breaks off after its first chunk may reach the client: the
// response is that of the second runner alone.
func TestRepeatableRequestIsRetriedAfterTruncatedChunks(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, ending := range []string{"RESET", "CUT"} {
		first := fmt.Sprintf(chunked, "first") + "4\r\nsome\r\n" + ending
		second := fmt.Sprintf(chunked, "second") + "4\r\nall \r\n8\r\nthere is\r\n0\r\n\r\n"
		ans, body := requestWithTwoResponses(t, first, second)
		must.Eq(t, "all there is", body)
		must.Eq(t, []string{"second"}, ans.Header.Values("Beechtide-Server-Seal"))
	}
}
