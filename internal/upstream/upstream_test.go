package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/shoenig/test/must"
)

// fake answers every request on a connection with the given raw bytes.
func fake(t *testing.T, answers ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for _, a := range answers {
					if _, err := c.Read(buf); err != nil {
						return
					}
					if _, err := io.WriteString(c, a); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func head() *protocol.RequestHeader {
	var h protocol.RequestHeader
	h.DisableNormalizing()
	h.SetMethod("POST")
	h.SetRequestURI("/a//b/../c?x=%2F")
	h.SetHost("h")
	h.SetContentLength(2)
	return &h
}

func steady() int64 { return time.Now().UnixMicro() }

func shoot(t *testing.T, g *ConnPool, addr string) (string, *Conn, *protocol.Response, error) {
	t.Helper()
	l, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	sent, err := l.Send(head(), []byte("hi"), time.Now().Add(time.Second))
	must.NoError(t, err)
	must.True(t, sent)
	r := protocol.AcquireResponse()
	if err := l.Head(r, time.Now().Add(time.Second)); err != nil {
		return "", l, r, err
	}
	b, err := io.ReadAll(r.BodyStream())
	return string(b), l, r, err
}

func TestWholeChunkedAnswer(t *testing.T) {
	addr := fake(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid:1\r\n2\r\n\n\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	g := NewConnPool(steady)
	b, l, r, err := shoot(t, g, addr)
	must.NoError(t, err)
	must.Eq(t, "id:1\n\n", b)
	g.Put(addr, l, &r.Header)
	b, l2, _, err := shoot(t, g, addr)
	must.NoError(t, err)
	must.Eq(t, "ok", b)
	must.True(t, l == l2)
}

func TestTruncatedAnswersAreSeen(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid:1\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"HTTP/1.1 20",
	} {
		_, _, _, err := shoot(t, NewConnPool(steady), fake(t, raw))
		must.Error(t, err, must.Sprint(raw))
	}
}

func TestSurplusBytesEndALink(t *testing.T) {
	addr := fake(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	g := NewConnPool(steady)
	b, l, r, err := shoot(t, g, addr)
	must.NoError(t, err)
	must.Eq(t, "ok", b)
	g.Put(addr, l, &r.Header)
	must.MapLen(t, 0, g.idle)
}

func TestClosedIdleLinkIsNotUsed(t *testing.T) {
	addr := fake(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	g := NewConnPool(steady)
	_, l, r, err := shoot(t, g, addr)
	must.NoError(t, err)
	g.Put(addr, l, &r.Header)
	_, _ = l.conn.Read(make([]byte, 1)) // returns once the runner has closed
	got, err := g.Get(context.Background(), addr)
	must.NoError(t, err)
	must.False(t, got == l)
}

func TestEventsKeepBackWhatIsNotWhole(t *testing.T) {
	var e Events
	must.Eq(t, "", string(e.Add([]byte("id: 3\ndata"))))
	must.Eq(t, "id: 3\ndata: x\n\n", string(e.Add([]byte(": x\n\nid: 4\n"))))
	must.Eq(t, "3", e.LastID)
	must.Eq(t, "id: 4\n", string(e.Rest()))
	e.Cut()
	must.Eq(t, "id: 5\n\n", string(e.Add([]byte("id: 5\n\n"))))
	must.Eq(t, "5", e.LastID)
	must.Eq(t, 2, e.Count)
}

func TestBudgetKeepsToShare(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 60, WindowUs: 10_000_000}
	spent := 0
	for i := range 100 {
		b.Request(int64(i))
		if b.Spend(int64(i), 10) {
			spent++
		}
	}
	must.Eq(t, 14, spent)
	must.False(t, b.Spend(9_000_000, 10))
	must.True(t, b.Spend(11_000_000, 10))
}
