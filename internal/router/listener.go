// Timeouts on client connections: how long a client may take to send the rest of a request once it
// has begun, and how long a connection may be idle between two requests. hertz's standard
// transport has no such timeouts. A request that arrives too slowly gets 408, since it has not
// been forwarded. The timeouts follow the current configuration, also for connections that are
// already waiting.

package router

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/http1"
	"beechtide.org/beechtide/internal/httpserver"
	"beechtide.org/beechtide/internal/memorybudget"
)

const tcpUserTimeout = 18

// clientTimeoutMs is the TCP user timeout: a client that acknowledges nothing for this long is
// disconnected.
const clientTimeoutMs = 4000

// writeTimeout is how long a write may block on the client's closed receive window before the
// connection is dropped. Meanwhile no more is buffered for the client than one read from the
// runner.
const writeTimeout = 10 * time.Second

const response408 = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// frontLimits are the timeouts and size limits for clients.
type frontLimits struct {
	idle    time.Duration // between two requests of a connection
	receive time.Duration // from the first byte of a request to its last
	sizes   http1.Limits
}

// bodyCopies is how often a body stands in memory while it is read: in the buffers of the connection, in
// the one that the library makes for all of it, and in that of the request.
const bodyCopies = 3

// timedListener accepts client connections and tracks the open ones.
type timedListener struct {
	net.Listener
	limits   func() frontLimits // returns the current ones
	memory   *memorybudget.Budget
	refusals refusalCounts

	mu    sync.Mutex
	conns map[*timedConn]bool
}

func newTimedListener(inner net.Listener, limits func() frontLimits, memory *memorybudget.Budget) *timedListener {
	return &timedListener{Listener: httpserver.Listener{Listener: inner}, limits: limits, memory: memory, conns: map[*timedConn]bool{}}
}

func listenFront(addr string, limits func() frontLimits, memory *memorybudget.Budget) (*timedListener, error) {
	inner, err := httpserver.Listen(addr, func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, clientTimeoutMs)
	})
	if err != nil {
		return nil, errors.Wrap(err, "router: front")
	}
	return newTimedListener(inner.Listener, limits, memory), nil
}

// Accept accepts a connection and applies the limits to it.
func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(c), nil
}

func (l *timedListener) track(c net.Conn) *timedConn {
	tc := &timedConn{Conn: c, listener: l, memory: l.memory.Open()}
	tc.requests.Reserve = tc.reserveMemory
	tc.requests.Limits = func() http1.Limits { return l.limits().sizes }
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tc] = true
	return tc
}

// closeIdle makes the connections on which no request has begun close. It returns how many
// connections are open, including those about to close.
func (l *timedListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
	return len(l.conns)
}

// timedConn is a client connection. It is read and written by one goroutine at a time.
type timedConn struct {
	net.Conn
	listener           *timedListener
	requests           http1.Rewriter // converts the bytes of the client to the form that hertz reads
	requestStart       time.Time      // when the request being read began; zero between requests
	responseDeadline   time.Time      // deadline of the current request; zero between requests
	armedWriteDeadline time.Time      // the write deadline set on the socket

	mu      sync.Mutex
	memory  memorybudget.Account // for the current request
	idle    bool                 // a read waits for a request to begin
	closing bool                 // the connection closes unless a request has begun
}

// Close is called by hertz, and by the reader of an idle connection that is to close.
func (c *timedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.releaseMemory()
	return c.Conn.Close()
}

// reserveMemory reserves memory for bytes of the current request.
func (c *timedConn) reserveMemory(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.Grow(int(bytes)*bodyCopies) == nil
}

// releaseMemory returns the memory of the current request. It accepts a nil receiver.
func (c *timedConn) releaseMemory() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Release()
}

// closeIfIdle interrupts the wait for a request. The reader then closes the connection; if it has
// read a part of a request meanwhile, it serves that request. A request that it has not read was
// not processed in any part, so its client may retry it.
func (c *timedConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closing {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Read returns bytes of one request at a time, rewritten by package http1. A request that
// breaks the protocol or a limit is answered here, and the connection ends.
func (c *timedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.requests.Read(b)
		var refusal *http1.Error
		switch {
		case err == nil:
			c.markRequestStart(time.Now())
			return n, nil
		case errors.As(err, &refusal):
			c.refuse(refusal)
			return 0, net.ErrClosed
		}
		if c.requests.TakeExpectation() {
			if _, err := c.Conn.Write([]byte(response100)); err != nil {
				return 0, err
			}
		}
		n, err = c.readSocket(b)
		c.requests.Write(b[:n])
		if n == 0 && err != nil {
			return 0, err
		}
	}
}

// markRequestStart records when a request began, unless one has begun already.
func (c *timedConn) markRequestStart(at time.Time) {
	if c.requestStart.IsZero() {
		c.requestStart, c.responseDeadline = at, time.Time{}
	}
}

// readSocket reads bytes from the client.
func (c *timedConn) readSocket(b []byte) (int, error) {
	if c.requestStart.IsZero() && c.requests.BetweenRequests() {
		return c.readRequestStart(b)
	}
	c.markRequestStart(time.Now()) // its first bytes were read with the previous request
	return c.readRequestRest(b)
}

// readRequestStart reads the first bytes of a request.
func (c *timedConn) readRequestStart(b []byte) (int, error) {
	for since := time.Now(); ; {
		if !c.beginIdle(since) {
			c.Close()
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(b)
		readAt := time.Now()
		stays := c.endIdle(since)
		if n > 0 {
			c.markRequestStart(readAt)
			return n, err
		}
		if !stays || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// beginIdle begins a wait for a request on a connection that has been idle since the given time.
// It returns false if the connection is to close.
func (c *timedConn) beginIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_ = c.SetReadDeadline(since.Add(c.listener.limits().idle))
	c.idle = true
	return true
}

// endIdle ends a wait for a request. It reports whether the reader is to check again: the current
// idle timeout has not expired, or the connection is to close.
func (c *timedConn) endIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.closing || time.Since(since) < c.listener.limits().idle
}

// readRequestRest reads the rest of a request that has begun.
func (c *timedConn) readRequestRest(b []byte) (int, error) {
	for {
		_ = c.SetReadDeadline(c.requestStart.Add(c.listener.limits().receive))
		n, err := c.Conn.Read(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if time.Since(c.requestStart) >= c.listener.limits().receive {
			_, _ = c.Conn.Write([]byte(response408))
			return n, err
		}
	}
}

func (c *timedConn) Write(b []byte) (int, error) {
	c.requestStart = time.Time{}
	if deadline := c.writeDeadline(); !c.writeDeadlineSuffices(deadline) {
		_ = c.SetWriteDeadline(deadline)
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline records the deadline, so that it need not be set again for each event of a
// stream.
func (c *timedConn) SetWriteDeadline(deadline time.Time) error {
	c.armedWriteDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// writeDeadlineSuffices reports whether the deadline set on the socket can stand in for the given
// one: it is the same, or earlier but still more than half of writeTimeout away.
func (c *timedConn) writeDeadlineSuffices(deadline time.Time) bool {
	if c.armedWriteDeadline.Equal(deadline) {
		return true
	}
	return !c.armedWriteDeadline.After(deadline) && time.Until(c.armedWriteDeadline) > writeTimeout/2
}
