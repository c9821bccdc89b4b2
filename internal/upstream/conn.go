// Package upstream is the HTTP/1.1 client that the router and the controller use to send
// requests to runners.
//
// ConnPool holds idle connections to runners. A Conn is one connection: Conn.Send writes a
// request and reports whether any byte may have reached the runner; Conn.ReadHead and
// Conn.ReadHeadFor read the head of the response, Conn.ReadHeadFor only one with the attempt id of
// the request. ConnPool.Ask, ConnPool.Read and ConnPool.Probe make control calls (reports, cache events,
// orders, probes). The package also splits event streams into complete events, and limits
// retries by a budget.
//
//   - Nothing is retried here: a request is written once, and the caller decides how to
//     handle an error.
//   - A connection is reused only after a complete response without surplus bytes, and is
//     checked again before use, so that a connection that the runner has closed, or has
//     sent surplus bytes on, is not reused.
//   - A response is accepted only if its head is well-formed and its body length is
//     unambiguous.
//
// ConnPool has a mutex and is safe for concurrent use. A Conn belongs to the goroutine
// that obtained it, except for Conn.Interrupt and Conn.Close. The other types are not safe
// for concurrent use. The only goroutine that the package starts writes the rest of a long
// request.
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
	ErrConnect            = errors.New("upstream: no connection to the runner")
	ErrBroken             = errors.New("upstream: connection broken")
	ErrMismatchedResponse = errors.New("upstream: the response belongs to another request")
	ErrTimeout            = errors.New("upstream: no response in time")
)

const (
	connectTimeout = 700 * time.Millisecond

	// userTimeoutMs is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeoutMs  = 1500
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)

	// TCP keep-alive: idle time before the first probe, interval between probes, and
	// unanswered probes before the kernel closes the connection.
	keepAliveIdleS     = 1
	keepAliveIntervalS = 1
	keepAliveCount     = 2
)

// Conn is one connection to a runner. It serves one request at a time.
type Conn struct {
	conn              net.Conn
	in                reader
	service           string       // service of the runner, as passed to ConnPool.GetFor
	idleSinceUs       int64        // time when the connection was put into the pool
	keepAliveUs       int64        // how long the runner keeps the connection open while idle; 0 if unknown
	tainted           bool         // bytes arrived that belong to no request on this connection
	userTimeoutRaised bool         // the TCP user timeout is above userTimeoutMs, for a slow reader
	sending           atomic.Bool  // the rest of a request's body is being written
	interrupted       atomic.Bool  // Interrupt was called and not undone by Resume
	lastReadNs        atomic.Int64 // time of the last received bytes, since processStart

	// OnInterrupt decides whether an interrupt ends a read. The reading goroutine calls it.
	// To continue the read, it calls Resume and returns true. If it returns false or is
	// nil, the read ends.
	OnInterrupt func() (goOn bool)

	ResponseCount int   // number of responses whose heads have been read
	IdleUs        int64 // idle time when it was taken from the pool; 0 for a new connection
}

// Connect opens a connection to a runner.
func Connect(ctx context.Context, addr string) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setSocketOptions}
	c, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *Conn {
	conn := &Conn{conn: c}
	conn.in = newReader(connReader{conn})
	conn.lastReadNs.Store(int64(time.Since(processStart)))
	return conn
}

// processStart is the reference time of Conn.lastReadNs.
var processStart = time.Now()

// connReader is the reader below the parser: it records arrival times and handles interrupts.
type connReader struct{ conn *Conn }

// Read reads from the connection. An interrupt ends it unless OnInterrupt returns true.
func (a connReader) Read(b []byte) (int, error) {
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

// SilentFor returns the time since bytes last arrived, or since the connection was opened.
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

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// expired reports whether the idle time is close to the keep-alive timeout that the
// runner announced, so that the runner may close the connection soon.
func (c *Conn) expired(idleUs int64) bool {
	return c.keepAliveUs > 0 && idleUs > c.keepAliveUs-keepAliveMarginUs
}

// reusable reports whether an idle connection can be used for another request: it is still
// open, and no unexpected bytes have arrived.
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

// Interrupt ends the current or the next wait for bytes of a response, unless OnInterrupt
// continues it. It may be called while another goroutine uses the connection.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// Resume clears an interrupt and sets a new read deadline, so that a response whose head
// has arrived can be read to its end.
func (c *Conn) Resume(deadline time.Time) {
	c.interrupted.Store(false)
	_ = c.conn.SetReadDeadline(deadline)
}

// MarkTainted marks the connection as tainted: bytes arrived that do not belong to the current
// request. It is not reused.
func (c *Conn) MarkTainted() { c.tainted = true }
