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

// startServer starts a server that sends the given raw responses on each connection, one after
// each request. It returns the server's address.
func startServer(t *testing.T, responses ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go respondRaw(c, responses)
		}
	}()
	return ln.Addr().String()
}

// respondRaw writes the next response after each read, and then closes the connection.
func respondRaw(c net.Conn, responses []string) {
	defer c.Close()
	buf := make([]byte, 4096)
	for _, a := range responses {
		if _, err := c.Read(buf); err != nil {
			return
		}
		if _, err := io.WriteString(c, a); err != nil {
			return
		}
	}
}

func testHead() *protocol.RequestHeader {
	var h protocol.RequestHeader
	h.DisableNormalizing()
	h.SetMethod("POST")
	h.SetRequestURI("/a//b/../c?x=%2F")
	h.SetHost("h")
	h.SetContentLength(2)
	return &h
}

func clockUs() int64 { return time.Now().UnixMicro() }

// exchange is a connection on which a request was sent, and the response.
type exchange struct {
	conn     *Conn
	response *protocol.Response
	body     string
}

// roundTrip sends a request over a connection of the pool and reads the response.
func roundTrip(t *testing.T, p *ConnPool, addr string) (exchange, error) {
	t.Helper()
	c, err := p.Get(context.Background(), addr)
	must.NoError(t, err)
	sent, err := c.Send(testHead(), []byte("hi"), time.Now().Add(time.Second))
	must.NoError(t, err)
	must.True(t, sent)
	e := exchange{conn: c, response: protocol.AcquireResponse()}
	if err := c.ReadHead(e.response, time.Now().Add(time.Second)); err != nil {
		return e, err
	}
	b, err := io.ReadAll(e.response.BodyStream())
	e.body = string(b)
	return e, err
}

func TestConnectionIsReusedAfterChunkedResponse(t *testing.T) {
	addr := startServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid:1\r\n2\r\n\n\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	pool := NewConnPool(clockUs, nil)
	first, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	must.Eq(t, "id:1\n\n", first.body)
	pool.Put(addr, first.conn, &first.response.Header)
	second, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	must.Eq(t, "ok", second.body)
	must.True(t, first.conn == second.conn)
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid:1\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"HTTP/1.1 20",
	} {
		_, err := roundTrip(t, NewConnPool(clockUs, nil), startServer(t, raw))
		must.Error(t, err, must.Sprint(raw))
	}
}

func TestConnectionWithSurplusBytesIsNotPooled(t *testing.T) {
	addr := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	pool := NewConnPool(clockUs, nil)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	must.Eq(t, "ok", e.body)
	pool.Put(addr, e.conn, &e.response.Header)
	must.MapLen(t, 0, pool.idle)
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	pool := NewConnPool(clockUs, nil)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	pool.Put(addr, e.conn, &e.response.Header)
	_, _ = e.conn.conn.Read(make([]byte, 1)) // returns once the runner has closed
	got, err := pool.Get(context.Background(), addr)
	must.NoError(t, err)
	must.False(t, got == e.conn)
}

func TestEventSplitterHoldsBackIncompleteEvent(t *testing.T) {
	var e EventSplitter
	add := func(received string) string {
		complete, err := e.Add([]byte(received))
		must.NoError(t, err)
		return string(complete)
	}
	must.Eq(t, "", add("id: 3\ndata"))
	must.Eq(t, "id: 3\ndata: x\n\n", add(": x\n\nid: 4\n"))
	must.Eq(t, "3", e.LastID)
	must.Eq(t, "id: 4\n", string(e.Incomplete()))
	e.DiscardIncomplete()
	must.Eq(t, "id: 5\n\n", add("id: 5\n\n"))
	must.Eq(t, "5", e.LastID)
	must.Eq(t, 2, e.Count)
}

func TestRetryBudgetLimitsRetriesToShare(t *testing.T) {
	b := RetryBudget{Ratio: 0.2, Slack: 60, WindowUs: 10_000_000}
	spent := 0
	for i := range 100 {
		b.RecordRequest(int64(i))
		if b.Spend(int64(i), 10) {
			spent++
		}
	}
	must.Eq(t, 14, spent)
	must.False(t, b.Spend(9_000_000, 10))
	must.True(t, b.Spend(11_000_000, 10))
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// sendAndReadResponse sends a request on a connection and reads the complete response.
func sendAndReadResponse(t *testing.T, c *Conn) *protocol.Response {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	_, err := c.Send(testHead(), []byte("xx"), deadline)
	must.NoError(t, err)
	r := &protocol.Response{}
	must.NoError(t, c.ReadHead(r, deadline))
	_, err = readWhole(r, 1<<10)
	must.NoError(t, err)
	return r
}

func TestInterruptAtEndOfResponseKeepsConnectionReusable(t *testing.T) {
	addr := startServer(t, completeResponse, completeResponse)
	pool := NewConnPool(clockUs, nil)
	c, err := pool.Get(t.Context(), addr)
	must.NoError(t, err)
	r := sendAndReadResponse(t, c)
	c.Interrupt()
	pool.Put(addr, c, &r.Header)
	again, err := pool.Get(t.Context(), addr)
	must.NoError(t, err)
	defer again.Close()
	must.Eq(t, c, again)
	sendAndReadResponse(t, again)
}

func TestReadContinuesAfterInterruptIfOnInterruptResumes(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near)
	defer c.Close()
	asked := make(chan bool)
	c.OnInterrupt = func() bool {
		asked <- true
		c.Resume(time.Now().Add(10 * time.Second))
		return true
	}
	go func() {
		c.Interrupt()
		<-asked
		_, _ = io.WriteString(far, completeResponse)
	}()
	r := &protocol.Response{}
	must.NoError(t, readResponseHead(r, c.in))
	must.Less(t, 10*time.Second, c.SilentFor())
}
