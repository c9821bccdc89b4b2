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

// longBody is more than the buffers of a connection hold.
var longBody = bytes.Repeat([]byte("0123456789abcdef"), 2<<20)

func longHead() *protocol.RequestHeader {
	h := head()
	h.SetContentLength(len(longBody))
	return h
}

// early is a runner that answers before it has read a body, and reads on when it is
// told to. It gives what came after the head until the connection ended.
func early(t *testing.T, readOn <-chan struct{}, answers ...string) (addr string, received <-chan []byte) {
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
		for _, a := range answers {
			_, _ = io.WriteString(c, a)
		}
		<-readOn
		all, _ := io.ReadAll(in)
		got <- all
	}()
	return ln.Addr().String(), got
}

// sendLong sends a request with a long body and reads its answer.
func sendLong(t *testing.T, l *Conn) *protocol.Response {
	t.Helper()
	_, err := l.Send(longHead(), longBody, time.Now().Add(time.Minute))
	must.NoError(t, err)
	r := &protocol.Response{}
	must.NoError(t, l.Head(r, time.Now().Add(time.Minute)))
	body, err := ReadBody(r, 1<<20)
	must.NoError(t, err)
	must.Eq(t, "ok", string(body))
	return r
}

func TestAnswerIsReadBeforeTheBodyIsAllSent(t *testing.T) {
	readOn := make(chan struct{})
	addr, got := early(t, readOn, okAnswer)
	g := NewConnPool(steady)
	l, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	r := sendLong(t, l)
	g.Put(addr, l, &r.Header)
	must.MapEmpty(t, g.idle, must.Sprint("nothing else may follow a part of a body"))
	close(readOn)
	all := <-got
	must.Less(t, len(longBody), len(all))
	must.True(t, bytes.HasPrefix(longBody, all), must.Sprint("what came is a part of the body"))
}

// A runner that has answered may leave the rest of a body unread for long.
func TestRunnerMayReadOnLongAfterItsHead(t *testing.T) {
	readOn := make(chan struct{})
	addr, got := early(t, readOn, okAnswer)
	l, err := Connect(context.Background(), addr)
	must.NoError(t, err)
	sendLong(t, l)
	time.Sleep(2 * userTimeoutMs * time.Millisecond)
	must.True(t, l.sending.Load())
	close(readOn)
	for l.sending.Load() {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, l.conn.(*net.TCPConn).CloseWrite())
	must.True(t, bytes.Equal(longBody, <-got))
}

func TestConnIsKeptAfterALongBody(t *testing.T) {
	readOn := make(chan struct{})
	close(readOn)
	addr, _ := early(t, readOn, okAnswer)
	g := NewConnPool(steady)
	l, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	r := sendLong(t, l)
	for l.sending.Load() {
		time.Sleep(time.Millisecond)
	}
	g.Put(addr, l, &r.Header)
	must.MapLen(t, 1, g.idle)
	must.False(t, l.userTimeoutRaised, must.Sprint("the next request notices a dead runner as quickly as others"))
}
