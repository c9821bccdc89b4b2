package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/shoenig/test/must"
)

// longBody is larger than the socket buffers of a connection.
var longBody = bytes.Repeat([]byte("0123456789abcdef"), 2<<20)

func longHead() *protocol.RequestHeader {
	h := testHead()
	h.SetContentLength(len(longBody))
	return h
}

// startEarlyResponder starts a runner that responds before it has read the body, and reads the body after
// readOn is closed. received yields all bytes after the head until the connection ended.
func startEarlyResponder(t *testing.T, readOn <-chan struct{}, responses ...string) (addr string, received <-chan []byte) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	got := make(chan []byte, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		for _, a := range responses {
			_, _ = io.WriteString(c, a)
		}
		<-readOn
		all, _ := io.ReadAll(in)
		got <- all
	}()
	return ln.Addr().String(), got
}

// sendLongRequest sends a request with a long body and reads its answer.
func sendLongRequest(t *testing.T, l *Conn) *protocol.Response {
	t.Helper()
	_, err := l.Send(longHead(), longBody, time.Now().Add(time.Minute))
	must.NoError(t, err)
	r := &protocol.Response{}
	must.NoError(t, l.ReadHead(r, time.Now().Add(time.Minute)))
	body, err := readWhole(r, 1<<20)
	must.NoError(t, err)
	must.Eq(t, "ok", string(body))
	return r
}

func TestResponseIsReadBeforeBodyIsFullySent(t *testing.T) {
	readOn := make(chan struct{})
	addr, got := startEarlyResponder(t, readOn, okResponse)
	g := NewConnPool(clockUs, nil)
	l, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	r := sendLongRequest(t, l)
	g.Put(addr, l, &r.Header)
	must.MapEmpty(t, g.idle, must.Sprint("a connection with a partly sent body must not be pooled"))
	close(readOn)
	all := <-got
	must.Less(t, len(longBody), len(all))
	must.True(t, bytes.HasPrefix(longBody, all), must.Sprint("the received bytes must be a prefix of the body"))
}

// Guards against closing a connection by the TCP user timeout when a runner has responded
// but reads the rest of the body much later.
func TestRunnerMayReadBodyLongAfterResponding(t *testing.T) {
	readOn := make(chan struct{})
	addr, got := startEarlyResponder(t, readOn, okResponse)
	l, err := Connect(context.Background(), addr)
	must.NoError(t, err)
	sendLongRequest(t, l)
	time.Sleep(2 * userTimeoutMs * time.Millisecond)
	must.True(t, l.sending.Load())
	close(readOn)
	for l.sending.Load() {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, l.conn.(*net.TCPConn).CloseWrite())
	must.True(t, bytes.Equal(longBody, <-got))
}

func TestConnectionIsPooledAfterLongBody(t *testing.T) {
	readOn := make(chan struct{})
	close(readOn)
	addr, _ := startEarlyResponder(t, readOn, okResponse)
	g := NewConnPool(clockUs, nil)
	l, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	r := sendLongRequest(t, l)
	for l.sending.Load() {
		time.Sleep(time.Millisecond)
	}
	g.Put(addr, l, &r.Header)
	must.MapLen(t, 1, g.idle)
	must.False(t, l.userTimeoutRaised, must.Sprint("the user timeout must be reset before the next request"))
}
