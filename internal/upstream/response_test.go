package upstream

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/shoenig/test/must"
)

// partialWriter is a connection whose writes accept a number of bytes and then fail.
type partialWriter struct {
	net.Conn
	acceptBytes, writeCount int
}

func (p *partialWriter) SetDeadline(time.Time) error { return nil }

func (p *partialWriter) Write(b []byte) (int, error) {
	p.writeCount++
	return min(p.acceptBytes, len(b)), net.ErrClosed
}

func TestSendReportsSentAfterPartialWrite(t *testing.T) {
	for _, takes := range []int{0, 1, 40} {
		l := &Conn{conn: &partialWriter{acceptBytes: takes}}
		sent, err := l.Send(testHead(), []byte("hi"), time.Now().Add(time.Minute))
		must.ErrorIs(t, err, ErrBroken)
		must.Eq(t, takes > 0, sent)
	}
}

func TestSendWritesNothingAfterDeadline(t *testing.T) {
	p := &partialWriter{acceptBytes: 1}
	l := &Conn{conn: p}
	sent, err := l.Send(testHead(), []byte("hi"), time.Now().Add(-time.Millisecond))
	must.ErrorIs(t, err, ErrTimeout)
	must.False(t, sent)
	must.Eq(t, 0, p.writeCount)
}

func parse(raw string) (string, error) {
	in, r := newReader(strings.NewReader(raw)), &protocol.Response{}
	if err := readResponseHead(r, in); err != nil {
		return "", err
	}
	body, err := readWhole(r, 1<<20)
	return string(body), err
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"NOISE 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 1000 What\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"HTTP/1.1 0 None\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\n folded: 2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: 1\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 42 What\r\nContent-Length: 2\r\n\r\nok",
		"\x00\x01\x02\r\n\r\n",
	} {
		_, err := parse(raw)
		must.Error(t, err, must.Sprint(raw))
	}
}

func TestLongBodiesExcludeSurplusBytes(t *testing.T) {
	long := strings.Repeat("0123456789", 2_000)
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + long,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + long + "\r\n0\r\n\r\n",
	} {
		body, err := parse(raw + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		must.NoError(t, err)
		must.Eq(t, long, body, must.Sprint("the body must not include a surplus response"))
	}
	_, err := parse("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + long[1:])
	must.Error(t, err)
}

const (
	okResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	conflictResponse = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
)

func callStatus(t *testing.T, g *ConnPool, addr, method string) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := g.Ask(ctx, addr, method, "/api/x", nil, nil)
	return status, err
}

func TestPostCallUsesNewConnection(t *testing.T) {
	g := NewConnPool(clockUs, nil)
	addr := startServer(t, okResponse, conflictResponse)
	status, err := callStatus(t, g, addr, "GET")
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.MapLen(t, 1, g.idle)
	for range 2 {
		status, err = callStatus(t, g, addr, "POST")
		must.NoError(t, err)
		must.Eq(t, 200, status, must.Sprint("the second response on the pooled connection was used"))
	}
}

func TestProbeUsesNewConnection(t *testing.T) {
	g := NewConnPool(clockUs, nil)
	addr := startServer(t, "HTTP/1.1 200 OK\r\nBeechtide-Instance: i-1\r\nContent-Length: 0\r\n\r\n", conflictResponse)
	for range 2 {
		status, id, err := g.Probe(context.Background(), addr, "/health", "Beechtide-Instance", nil)
		must.NoError(t, err)
		must.Eq(t, 200, status)
		must.Eq(t, "i-1", id)
	}
	must.MapEmpty(t, g.idle)
}

func TestCallRejectsResponseWithAttemptID(t *testing.T) {
	g := NewConnPool(clockUs, nil)
	_, err := callStatus(t, g, startServer(t, "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: x\r\nContent-Length: 2\r\n\r\nok"), "GET")
	must.ErrorIs(t, err, ErrMismatchedResponse)
	must.MapEmpty(t, g.idle)
}

func TestTaintedConnectionIsNotPooled(t *testing.T) {
	pool := NewConnPool(clockUs, nil)
	addr := startServer(t, okResponse)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	e.conn.MarkTainted()
	pool.Put(addr, e.conn, &e.response.Header)
	must.MapEmpty(t, pool.idle)
}

func TestConnectionWithZeroKeepAliveTimeoutIsNotPooled(t *testing.T) {
	pool := NewConnPool(clockUs, nil)
	addr := startServer(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok")
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	pool.Put(addr, e.conn, &e.response.Header)
	must.MapEmpty(t, pool.idle)
}

func TestCloseIdleClosesConnectionsToAddress(t *testing.T) {
	pool := NewConnPool(clockUs, nil)
	addr := startServer(t, okResponse, conflictResponse)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	pool.Put(addr, e.conn, &e.response.Header)
	pool.CloseIdle(addr)
	must.MapEmpty(t, pool.idle)
}

// startResettingServer starts a server that sends a response without a length and ends its connection
// with a reset. It returns the server's address.
func startResettingServer(t *testing.T, raw string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(raw))
		_, _ = c.Read(make([]byte, 1)) // wait until the client has received the head
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	return ln.Addr().String()
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nall there is"
	for name, open := range map[string]string{"closed in order": startServer(t, raw), "reset": startResettingServer(t, raw)} {
		l, err := Connect(context.Background(), open)
		must.NoError(t, err)
		_, err = l.Send(testHead(), []byte("hi"), time.Now().Add(time.Minute))
		must.NoError(t, err)
		var r protocol.Response
		must.NoError(t, l.ReadHead(&r, time.Now().Add(time.Minute)))
		must.True(t, EndsWithConn(&r))
		must.False(t, l.keepAlive(&r.Header))
		if name == "reset" {
			_, err = l.conn.Write([]byte("x"))
			must.NoError(t, err)
		}
		body, err := readWhole(&r, 1<<20)
		if name == "reset" {
			must.ErrorIs(t, err, ErrBroken)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, "all there is", string(body))
	}
}
