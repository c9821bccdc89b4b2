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

// partly takes so many bytes of a write and fails.
type partly struct {
	net.Conn
	takes, wrote int
}

func (p *partly) SetDeadline(time.Time) error { return nil }

func (p *partly) Write(b []byte) (int, error) {
	p.wrote++
	return min(p.takes, len(b)), net.ErrClosed
}

func TestOneByteSentIsSent(t *testing.T) {
	for _, takes := range []int{0, 1, 40} {
		l := &Conn{conn: &partly{takes: takes}}
		sent, err := l.Send(head(), []byte("hi"), time.Now().Add(time.Minute))
		must.ErrorIs(t, err, ErrBroken)
		must.Eq(t, takes > 0, sent)
	}
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	p := &partly{takes: 1}
	l := &Conn{conn: p}
	sent, err := l.Send(head(), []byte("hi"), time.Now().Add(-time.Millisecond))
	must.ErrorIs(t, err, ErrLate)
	must.False(t, sent)
	must.Eq(t, 0, p.wrote)
}

func parse(raw string) (string, error) {
	in, r := newReader(strings.NewReader(raw)), &protocol.Response{}
	if err := readHead(r, in); err != nil {
		return "", err
	}
	body, err := ReadBody(r, 1<<20)
	return string(body), err
}

func TestWhatIsNoAnswerIsNotTakenForOne(t *testing.T) {
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

func TestLongBodiesEndWhereTheyEnd(t *testing.T) {
	long := strings.Repeat("0123456789", 2_000)
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + long,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + long + "\r\n0\r\n\r\n",
	} {
		body, err := parse(raw + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		must.NoError(t, err)
		must.Eq(t, long, body, must.Sprint("a surplus answer is no part of the body"))
	}
	_, err := parse("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + long[1:])
	must.Error(t, err)
}

const (
	okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	noAnswer = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
)

func ask(t *testing.T, g *ConnPool, addr, method string) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, _, err := g.Ask(ctx, addr, method, "/api/x", nil, nil)
	return status, err
}

func TestAnOrderHasAConnOfItsOwn(t *testing.T) {
	g := NewConnPool(steady)
	addr := fake(t, okAnswer, noAnswer)
	status, err := ask(t, g, addr, "GET")
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.MapLen(t, 1, g.idle)
	for range 2 {
		status, err = ask(t, g, addr, "POST")
		must.NoError(t, err)
		must.Eq(t, 200, status, must.Sprint("not the second answer on the conn that was there"))
	}
}

func TestAProbeHasAConnOfItsOwn(t *testing.T) {
	g := NewConnPool(steady)
	addr := fake(t, "HTTP/1.1 200 OK\r\nBeechtide-Instance: i-1\r\nContent-Length: 0\r\n\r\n", noAnswer)
	for range 2 {
		status, id, err := g.Probe(context.Background(), addr, "/health", "Beechtide-Instance", nil)
		must.NoError(t, err)
		must.Eq(t, 200, status)
		must.Eq(t, "i-1", id)
	}
	must.MapEmpty(t, g.idle)
}

func TestASmallCallTakesNoAnswerToARequest(t *testing.T) {
	g := NewConnPool(steady)
	_, err := ask(t, g, fake(t, "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: x\r\nContent-Length: 2\r\n\r\nok"), "GET")
	must.ErrorIs(t, err, ErrForeign)
	must.MapEmpty(t, g.idle)
}

func TestASpoiledConnIsNotKept(t *testing.T) {
	pool := NewConnPool(steady)
	addr := fake(t, okAnswer)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	e.conn.Spoil()
	pool.Put(addr, e.conn, &e.response.Header)
	must.MapEmpty(t, pool.idle)
}

func TestAConnThatIsNotToRestIsNotKept(t *testing.T) {
	pool := NewConnPool(steady)
	addr := fake(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok")
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	pool.Put(addr, e.conn, &e.response.Header)
	must.MapEmpty(t, pool.idle)
}

func TestDropClosesWhatRestsAtAnAddress(t *testing.T) {
	pool := NewConnPool(steady)
	addr := fake(t, okAnswer, noAnswer)
	e, err := roundTrip(t, pool, addr)
	must.NoError(t, err)
	pool.Put(addr, e.conn, &e.response.Header)
	pool.Drop(addr)
	must.MapEmpty(t, pool.idle)
}

// resetting sends an answer without a length and ends its connection with a reset.
func resetting(t *testing.T, raw string) string {
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
		_, _ = c.Read(make([]byte, 1)) // until the reader has it and says so
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	return ln.Addr().String()
}

func TestAnswerWithoutLengthEndsWithItsConn(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nall there is"
	for name, open := range map[string]string{"closed in order": fake(t, raw), "reset": resetting(t, raw)} {
		l, err := Connect(context.Background(), open)
		must.NoError(t, err)
		_, err = l.Send(head(), []byte("hi"), time.Now().Add(time.Minute))
		must.NoError(t, err)
		var r protocol.Response
		must.NoError(t, l.Head(&r, time.Now().Add(time.Minute)))
		must.True(t, EndsWithConn(&r))
		must.False(t, l.keepAlive(&r.Header))
		if name == "reset" {
			_, err = l.conn.Write([]byte("x"))
			must.NoError(t, err)
		}
		body, err := ReadBody(&r, 1<<20)
		if name == "reset" {
			must.ErrorIs(t, err, ErrBroken)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, "all there is", string(body))
	}
}
