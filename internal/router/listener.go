// The front's listener bounds how long a client may take to send the rest of a request
// once it has begun, and to be idle between two. hertz's standard transport has no
// such bounds of its own. A request that arrives too slowly gets 408, since it has not
// been forwarded.

package router

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const tcpUserTimeout = 18

// clientSilentMs is after how long a client that acknowledges nothing is gone.
const clientSilentMs = 4000

// writeWait is how long a client may leave its window shut before it is given
// up; nothing is buffered for it meanwhile beyond one read from the runner.
const writeWait = 10 * time.Second

const answer408 = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

type timedListener struct {
	net.Listener
	idle time.Duration
	rest time.Duration

	mu    sync.Mutex
	conns map[*timedConn]bool
}

func listenFront(addr string, idle, rest time.Duration) (*timedListener, error) {
	lc := &net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, clientSilentMs)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "router: front")
	}
	return &timedListener{Listener: ln, idle: idle, rest: rest, conns: map[*timedConn]bool{}}, nil
}

func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &timedConn{Conn: c, l: l}
	l.mu.Lock()
	l.conns[tc] = true
	l.mu.Unlock()
	return tc, nil
}

// closeIdle closes the connections on which no request has begun; those that
// send one at this moment see it unread. It returns how many are left.
func (l *timedListener) closeIdle() int {
	l.mu.Lock()
	var idle []*timedConn
	for c := range l.conns {
		if c.waiting.CompareAndSwap(true, false) {
			idle = append(idle, c)
		}
	}
	left := len(l.conns) - len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
	return left
}

// timedConn is read and written by one goroutine at a time.
type timedConn struct {
	net.Conn
	l       *timedListener
	begun   time.Time   // when the request being read began; zero between requests
	waiting atomic.Bool // it waits for a request to begin

	answerBy time.Time // when the request in hand is over; zero between requests
}

// Close is called by hertz and by closeIdle.
func (c *timedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

func (c *timedConn) Read(b []byte) (int, error) {
	if c.begun.IsZero() {
		_ = c.SetReadDeadline(time.Now().Add(c.l.idle))
		c.waiting.Store(true)
	} else {
		_ = c.SetReadDeadline(c.begun.Add(c.l.rest))
	}
	n, err := c.Conn.Read(b)
	if c.begun.IsZero() && !c.waiting.CompareAndSwap(true, false) {
		return 0, net.ErrClosed
	}
	if n > 0 && c.begun.IsZero() {
		c.begun, c.answerBy = time.Now(), time.Time{}
	}
	if err != nil && !c.begun.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) {
		_, _ = c.Conn.Write([]byte(answer408))
	}
	return n, err
}

func (c *timedConn) Write(b []byte) (int, error) {
	c.begun = time.Time{}
	_ = c.SetWriteDeadline(c.writeDeadline())
	return c.Conn.Write(b)
}
