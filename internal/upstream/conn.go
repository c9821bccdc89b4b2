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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of a connection.
var (
	ErrConnect = errors.New("upstream: no connection to the runner")
	ErrBroken  = errors.New("upstream: connection broken")
	ErrForeign = errors.New("upstream: the response belongs to another request")
	ErrLate    = errors.New("upstream: no response in time")
)

const (
	connectTimeout = 700 * time.Millisecond

	// userTimeoutMs is for how long bytes may stay unacknowledged before the connection
	// ends.
	userTimeoutMs  = 1500
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)

	// When and how often a silent peer is probed by the kernel.
	keepAliveIdleS     = 1
	keepAliveIntervalS = 1
	keepAliveCount     = 2
)

// Conn is one connection to a runner. It serves one request at a time.
type Conn struct {
	conn              net.Conn
	in                reader
	service           string       // of the runner, as named by ConnPool.GetFor
	idleSinceUs       int64        // when it was put into the pool
	keepAliveUs       int64        // for how long the runner keeps it open while idle; 0: unknown
	tainted           bool         // it carries bytes that belong to no request
	userTimeoutRaised bool         // above userTimeoutMs, for a slow reader
	sending           atomic.Bool  // the rest of a request's body is being written
	interrupted       atomic.Bool  // nobody waits for a response any longer
	lastReadNs        atomic.Int64 // when bytes last arrived, after processStart

	// OnInterrupt is asked, by the goroutine that reads, what an interrupt is to do: the read
	// goes on where it returns true, having called Resume, and ends otherwise. Nil ends it.
	OnInterrupt func() (goOn bool)

	Answers  int   // responses whose heads have been read
	RestedUs int64 // for how long it was idle when it was taken from the pool; 0: it is new
}

// Connect opens a connection.
func Connect(ctx context.Context, addr string) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setSocketOptions}
	c, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *Conn {
	made := &Conn{conn: c}
	made.in = newReader(arrivals{made})
	made.lastReadNs.Store(int64(time.Since(processStart)))
	return made
}

// processStart is what lastReadNs counts from.
var processStart = time.Now()

// arrivals reads a connection for its parser.
type arrivals struct{ conn *Conn }

// Read reads what has arrived. An interrupt ends it unless OnInterrupt says otherwise.
func (a arrivals) Read(b []byte) (int, error) {
	c := a.conn
	for {
		n, err := c.conn.Read(b)
		if n > 0 {
			c.lastReadNs.Store(int64(time.Since(processStart)))
			return n, err
		}
		if err == nil || !c.interrupted.Load() || c.OnInterrupt == nil || !c.OnInterrupt() {
			return n, err
		}
	}
}

// SilentFor is the time since bytes last arrived, or since the connection was opened.
func (c *Conn) SilentFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReadNs.Load())
}

func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		socket := int(fd)
		_ = syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
		_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
		_ = syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepAliveIdleS)
		_ = syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepAliveIntervalS)
		_ = syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveCount)
	})
}

// Close ends the connection.
func (c *Conn) Close() { c.conn.Close() }

// expired reports whether the runner may close the connection soon, by what it
// announced.
func (c *Conn) expired(idleUs int64) bool {
	return c.keepAliveUs > 0 && idleUs > c.keepAliveUs-keepAliveMarginUs
}

// reusable reports whether an idle connection may carry another request: it is still
// open, and nothing has arrived that was not requested.
func (c *Conn) reusable() bool {
	if c.in.Len() > 0 {
		return false
	}
	socket, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && nothingToRead
}

// Interrupt ends the wait for bytes of a response, now or when it begins, as far as
// OnInterrupt lets it. It may be called while another goroutine uses the connection.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// Resume lets a response whose head has arrived be read on until the deadline, also
// if the connection was interrupted meanwhile.
func (c *Conn) Resume(deadline time.Time) {
	c.interrupted.Store(false)
	_ = c.conn.SetReadDeadline(deadline)
}

// Spoil records that bytes arrived that are no response to a request on this
// connection. It is not used again.
func (c *Conn) Spoil() { c.tainted = true }
