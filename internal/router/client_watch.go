// Clients that leave. A client that closes its connection wants no response any more:
// its request leaves the queue and is sent to no runner, and the connection to the
// runner that works on it is closed, since runners drop a request with its connection.
// The close is noticed without reading from the client's connection, so that a request
// that is pipelined behind this one stays where it is.

package router

import (
	"context"
	"sync"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/upstream"
)

// watchDelay is how long a request is served before its client is watched. A
// client that leaves earlier is noticed then; most short requests need no watch.
const watchDelay = 200 * time.Millisecond

// closeWatch notices that the peer of a connection has closed it.
type closeWatch struct {
	conn     *timedConn
	onClosed func()
	timer    *time.Timer
	done     chan struct{}

	mu      sync.Mutex
	running bool
	stopped bool
}

// watchClose calls onClosed, from another goroutine, once the peer has closed the
// connection. It begins after watchDelay; nothing may be read until stop returns.
func (c *timedConn) watchClose(onClosed func()) *closeWatch {
	w := &closeWatch{conn: c, onClosed: onClosed, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

// stop ends the watch; onClosed is not called after it has returned.
func (w *closeWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.running {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // ends the wait for the peer
	}
	running := w.running
	w.mu.Unlock()
	w.timer.Stop()
	if running {
		<-w.done
	}
}

func (w *closeWatch) run() {
	if !w.begin() {
		return
	}
	defer close(w.done)
	if w.conn.awaitClose() {
		w.onClosed()
	}
}

func (w *closeWatch) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	_ = w.conn.SetReadDeadline(time.Time{})
	w.running = true
	return true
}

// awaitClose waits until the peer has closed the connection, or the read deadline.
func (c *timedConn) awaitClose() (closed bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Read(func(fd uintptr) bool {
		closed = peerClosed(int(fd))
		return closed
	})
	return closed
}

// peerClosed looks at what is next on a socket without taking it.
func peerClosed(fd int) bool {
	var next [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			return n == 0
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			return true
		}
	}
}

// clientState is what a request knows of its client's connection, and the
// connection to the runner that ends with it.
type clientState struct {
	left chan struct{} // closed once the client has left

	mu   sync.Mutex
	gone bool
	link *upstream.Conn
	stop func() // ends what the request waits for besides link
}

func newClientState() *clientState { return &clientState{left: make(chan struct{})} }

// leave notes that the client has left.
func (s *clientState) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	close(s.left)
	if s.link != nil {
		s.link.Close()
	}
	if s.stop != nil {
		s.stop()
	}
}

// onLeave calls stop once the client leaves, until the returned function is called.
func (s *clientState) onLeave(stop func()) (forget func()) {
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		stop()
	}
	s.stop = stop
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stop = nil
	}
}

// hasLeft tells whether the client has left. Without a state it is not watched.
func (s *clientState) hasLeft() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// use names the connection that is closed when the client leaves, nil for none. It
// tells whether the client is still there.
func (s *clientState) use(link *upstream.Conn) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = link
	return !s.gone
}

// leftChannel is closed once the client has left; nil where it is not watched.
func (s *clientState) leftChannel() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.left
}

// clientConnKey is where the context of a connection holds it.
type clientConnKey struct{}

func withClientConn(conn *timedConn) context.Context {
	return context.WithValue(context.Background(), clientConnKey{}, conn)
}

func clientConn(ctx context.Context) *timedConn {
	if conn, ok := ctx.Value(clientConnKey{}).(*timedConn); ok {
		return conn
	}
	return nil
}

// stopsWithClient tells whether a runner's work on the request ends when its client
// leaves. A request that may run only once is left to its end: what it did cannot
// be undone, and another attempt would be refused.
func (e *exchange) stopsWithClient() bool {
	return e.route.Kind == api.Streaming || e.route.Repeatable()
}

// useLink names the connection that the request is sent on. It tells whether the
// client still waits.
func (e *exchange) useLink(link *upstream.Conn) bool {
	if !e.stopsWithClient() {
		return !e.client.hasLeft()
	}
	return e.client.use(link)
}
