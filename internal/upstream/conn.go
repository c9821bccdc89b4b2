// Package upstream carries requests to runners over HTTP/1.1.
//
// ConnPool keeps idle connections to runners. A Conn is one connection: Send writes a
// request and says whether any byte may have reached the runner, Head and HeadFor read
// the head of the response, HeadFor only one with the attempt id of the request.
// Events cuts a stream into whole events. ConnPool.Ask and Probe make small calls
// (reports, cache events, orders, probes). Budget bounds retries.
//
//   - Nothing is retried here: a request is written once, and the caller decides what
//     follows from the error.
//   - A connection is used again only after a whole response with nothing behind it,
//     and is checked again before use, so that one that the runner has closed, or has
//     sent surplus bytes on, is not used.
//   - A response is accepted only if its head is well-formed and says where the body
//     ends.
//
// ConnPool has a mutex and is safe for concurrent use. A Conn belongs to the goroutine
// that got it, except for Interrupt and Close. Events and Budget are not safe for
// concurrent use. The package starts no goroutine.
package upstream

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Errors of a conn.
var (
	ErrConnect = errors.New("upstream: no conn to the runner")
	ErrBroken  = errors.New("upstream: conn broken")
	ErrForeign = errors.New("upstream: the answer belongs to another request")
	ErrLate    = errors.New("upstream: no answer in time")
)

const tcpUserTimeout = 18

// Timeouts of conns, in milliseconds: how long bytes may stay unacknowledged,
// and how quickly a silent peer is probed.
const (
	userTimeoutMs = 1500
	keepIdleS     = 1
	keepEveryS    = 1
	keepCount     = 2
	connectMs     = 700
)

// Conn is one connection to a runner. It serves one request at a time.
type Conn struct {
	conn    net.Conn
	in      reader
	idleUs  int64       // since when it is idle
	keepUs  int64       // for how long the runner keeps it idle; 0: unknown
	spoiled bool        // it carries bytes that belong to no request
	sending atomic.Bool // a request's body is not all written
	patient bool        // its user timeout has been raised
	service string
	// interrupted is set while no answer is waited for any longer.
	interrupted atomic.Bool

	Answers  int
	RestedUs int64 // how long it had rested when it was taken; 0: it is new
}

// Connect opens a conn.
func Connect(ctx context.Context, addr string) (*Conn, error) {
	d := net.Dialer{Timeout: connectMs * time.Millisecond, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			s := int(fd)
			_ = syscall.SetsockoptInt(s, syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
			_ = syscall.SetsockoptInt(s, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
			_ = syscall.SetsockoptInt(s, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepIdleS)
			_ = syscall.SetsockoptInt(s, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepEveryS)
			_ = syscall.SetsockoptInt(s, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepCount)
		})
	}}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return &Conn{conn: c, in: newReader(c)}, nil
}

// Close ends the conn.
func (l *Conn) Close() { l.conn.Close() }

// clean tells whether an idle conn may carry another request: still open, and
// nothing has come that nobody asked for.
func (l *Conn) clean() bool {
	if l.in.Len() > 0 {
		return false
	}
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && good
}

// Interrupt ends the wait for a head, now or when it begins. It may be called
// while another goroutine uses the conn.
func (l *Conn) Interrupt() {
	l.interrupted.Store(true)
	_ = l.conn.SetReadDeadline(time.Unix(1, 0))
}

// Resume lets an answer whose head has come be read on until the deadline, also
// where the conn was interrupted meanwhile.
func (l *Conn) Resume(deadline time.Time) {
	l.interrupted.Store(false)
	_ = l.conn.SetReadDeadline(deadline)
}

// Spoil notes that something came on the conn that was no answer to what was
// asked on it. It is not used again.
func (l *Conn) Spoil() { l.spoiled = true }

// keepAlive notes what the answer says of the conn, and whether it can be kept.
func (l *Conn) keepAlive(h *protocol.ResponseHeader) bool {
	if h.ConnectionClose() || !h.IsHTTP11() {
		return false
	}
	if v := h.Get("Keep-Alive"); v != "" {
		for item := range strings.SplitSeq(v, ",") {
			if k, n, ok := strings.Cut(strings.TrimSpace(item), "="); ok && strings.EqualFold(k, "timeout") {
				if s, err := strconv.Atoi(n); err == nil {
					if s <= 0 {
						return false
					}
					l.keepUs = int64(s) * 1_000_000
				}
			}
		}
	}
	return true
}
