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

// A runner's answer may have no length and end with its connection.
const (
	unboundedPlain  = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: seal\r\n\r\n"
	unboundedEvents = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
)

func TestAnswerWithoutLengthIsPassedOnWhole(t *testing.T) {
	for path, raw := range map[string]string{
		"/pay/":  unboundedPlain + "all there is",
		"/open/": unboundedPlain + "all there is",
		"/chat/": unboundedEvents + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	} {
		r := newRunner(t, raw+"CUT", raw+"CUT")
		_, front, _ := start(t, r)
		for range 2 {
			a, body, err := say(t, front, request(path, "x"))
			must.NoError(t, err)
			must.Eq(t, 200, a.StatusCode)
			must.Eq(t, "seal", a.Header.Get("Beechtide-Server-Seal"))
			must.Eq(t, raw[strings.Index(raw, "\r\n\r\n")+4:], body)
		}
		must.Eq(t, 2, r.conns, must.Sprint("such a connection is not used again"))
	}
}

func TestEventCutByTheEndOfTheConnectionIsNoEnd(t *testing.T) {
	r := newRunner(t, unboundedEvents+"id: 1\ndata: a\n\nid: 2\nda"+"CUT")
	_, front, _ := start(t, r)
	_, body, err := say(t, front, request("/chat/", "x"))
	must.Error(t, err)
	must.Eq(t, "id: 1\ndata: a\n\n", body)
}

// resetter answers with raw bytes and resets its connection once the client has
// got some of them.
func resetter(t *testing.T, raw string) (r *runner, reset chan struct{}) {
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

func TestStreamThatIsResetIsSeenAsTruncated(t *testing.T) {
	r, reset := resetter(t, unboundedEvents+"id: 1\ndata: a\n\n")
	_, front, _ := start(t, r)
	conn := send(t, front, request("/chat/", "x"))
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, 200, a.StatusCode)
	_, err = a.Body.Read(make([]byte, 1))
	must.NoError(t, err)
	close(reset)
	_, err = io.ReadAll(a.Body)
	must.Error(t, err)
}

func TestAnswerThatIsResetIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/pay/", "/open/"} {
		r, reset := resetter(t, unboundedPlain+"some")
		close(reset)
		_, front, _ := start(t, r)
		a, _, err := say(t, front, request(path, "x"))
		must.NoError(t, err)
		must.Eq(t, 502, a.StatusCode, must.Sprint(path))
	}
}

// sayWithTwoTurns sends a repeatable request to runners of which the one that gets it
// first answers with first, and the other with second.
func sayWithTwoTurns(t *testing.T, first, second string) (*http.Response, string) {
	t.Helper()
	turns := make(chan string, 2)
	turns <- first
	turns <- second
	a, b := newRunner(t), newRunner(t)
	next := func() string { return <-turns }
	a.next, b.next = next, next
	_, front, _ := start(t, a, b)
	ans, body, err := say(t, front, request("/open/", "x"))
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, 2, a.count()+b.count())
	return ans, body
}

func TestRepeatableRequestIsSentAgainAfterAReset(t *testing.T) {
	_, body := sayWithTwoTurns(t, unboundedPlain+"some"+"RESET", unboundedPlain+"all there is"+"CUT")
	must.Eq(t, "all there is", body)
}

// A chunked answer that is broken off after its first chunk leaves nothing at the
// client: the answer is that of the second runner alone.
func TestRepeatableRequestIsSentAgainAfterBrokenChunks(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, ending := range []string{"RESET", "CUT"} {
		first := fmt.Sprintf(chunked, "first") + "4\r\nsome\r\n" + ending
		second := fmt.Sprintf(chunked, "second") + "4\r\nall \r\n8\r\nthere is\r\n0\r\n\r\n"
		ans, body := sayWithTwoTurns(t, first, second)
		must.Eq(t, "all there is", body)
		must.Eq(t, []string{"second"}, ans.Header.Values("Beechtide-Server-Seal"))
	}
}
