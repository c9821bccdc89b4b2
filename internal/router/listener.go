// The front's listener bounds how long a client may take to send the rest of a request
// once it has begun, and to be idle between two. hertz's standard transport has no
// such bounds of its own. A request that arrives too slowly gets 408, since it has not
// been forwarded. The bounds are those of the configuration in force, also for a
// connection that waits already.

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
)

const tcpUserTimeout = 18

// clientSilentMs is after how long a client that acknowledges nothing is gone.
const clientSilentMs = 4000

// writeWait is how long a client may leave its window shut before it is given
// up; nothing is buffered for it meanwhile beyond one read from the runner.
const writeWait = 10 * time.Second

const answer408 = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// frontLimits bound how long a client may take.
type frontLimits struct {
	idle  time.Duration // between two requests of a connection
	rest  time.Duration // for a request that has begun
	sizes http1.Limits
}

type timedListener struct {
	net.Listener
	limits func() frontLimits // those in force
	counts frontCounts

	mu    sync.Mutex
	conns map[*timedConn]bool
}

func newTimedListener(ln net.Listener, limits func() frontLimits) *timedListener {
	return &timedListener{Listener: httpserver.Listener{Listener: ln}, limits: limits, conns: map[*timedConn]bool{}}
}

func listenFront(addr string, limits func() frontLimits) (*timedListener, error) {
	ln, err := httpserver.Listen(addr, func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, clientSilentMs)
	})
	if err != nil {
		return nil, errors.Wrap(err, "router: front")
	}
	return newTimedListener(ln.Listener, limits), nil
}

// Accept accepts a connection and bounds it.
func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(c), nil
}

func (l *timedListener) track(c net.Conn) *timedConn {
	tc := &timedConn{Conn: c, l: l}
	tc.requests.Limits = func() http1.Limits { return l.limits().sizes }
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tc] = true
	return tc
}

// closeIdle tells the connections on which no request has begun to close. It returns
// how many connections are open, those that are about to close included.
func (l *timedListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
	return len(l.conns)
}

// timedConn is read and written by one goroutine at a time.
type timedConn struct {
	net.Conn
	l        *timedListener
	requests http1.Rewriter // what the client has sent, in the form that hertz reads
	begun    time.Time      // when the request being read began; zero between requests
	answerBy time.Time      // when the request in hand is over; zero between requests
	writeBy  time.Time      // the write deadline that is set

	mu      sync.Mutex
	idle    bool // a read waits for a request to begin
	closing bool // the connection closes unless a request has begun
}

// Close is called by hertz, and where a connection that was idle is to close.
func (c *timedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// closeIfIdle ends the wait for a request. The reader closes the connection, so that a
// request of which it has read a part meanwhile is served, and one that it has not
// read is seen unread by its client.
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
			c.begin(time.Now())
			return n, nil
		case errors.As(err, &refusal):
			c.refuse(refusal)
			return 0, net.ErrClosed
		}
		if c.requests.TakeExpectation() {
			if _, err := c.Conn.Write([]byte(answer100)); err != nil {
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

// begin notes when a request began, unless one has begun already.
func (c *timedConn) begin(at time.Time) {
	if c.begun.IsZero() {
		c.begun, c.answerBy = at, time.Time{}
	}
}

// readSocket reads bytes as the client has sent them.
func (c *timedConn) readSocket(b []byte) (int, error) {
	if c.begun.IsZero() && c.requests.Between() {
		return c.readFirst(b)
	}
	c.begin(time.Now()) // a part of it came with the request before
	return c.readRest(b)
}

// readFirst reads the first bytes of a request.
func (c *timedConn) readFirst(b []byte) (int, error) {
	for since := time.Now(); ; {
		if !c.enterIdle(since) {
			c.Close()
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(b)
		readAt := time.Now()
		stays := c.leaveIdle(since)
		if n > 0 {
			c.begin(readAt)
			return n, err
		}
		if !stays || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// enterIdle begins a wait for a request on a connection that is idle since then. It
// returns false where the connection is to close.
func (c *timedConn) enterIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_ = c.SetReadDeadline(since.Add(c.l.limits().idle))
	c.idle = true
	return true
}

// leaveIdle ends a wait for a request. It reports whether there is a reason to look
// again: the limit that is in force now is not over, or the connection is to close.
func (c *timedConn) leaveIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.closing || time.Since(since) < c.l.limits().idle
}

// readRest reads on in a request that has begun.
func (c *timedConn) readRest(b []byte) (int, error) {
	for {
		_ = c.SetReadDeadline(c.begun.Add(c.l.limits().rest))
		n, err := c.Conn.Read(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if time.Since(c.begun) >= c.l.limits().rest {
			_, _ = c.Conn.Write([]byte(answer408))
			return n, err
		}
	}
}

func (c *timedConn) Write(b []byte) (int, error) {
	c.begun = time.Time{}
	if deadline := c.writeDeadline(); !c.writtenBy(deadline) {
		_ = c.SetWriteDeadline(deadline)
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline keeps the deadline in mind, so that it is not set anew for each event of a
// stream.
func (c *timedConn) SetWriteDeadline(deadline time.Time) error {
	c.writeBy = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// writtenBy reports whether the deadline that is set serves for one that is wanted: it is the
// same, or earlier and still far away.
func (c *timedConn) writtenBy(deadline time.Time) bool {
	if c.writeBy.Equal(deadline) {
		return true
	}
	return !c.writeBy.After(deadline) && time.Until(c.writeBy) > writeWait/2
}
