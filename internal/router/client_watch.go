// Detection of clients that disconnect. A client that closes its connection no longer expects a
// response: its request leaves the queue and is not sent to a runner, and the connection to a
// runner that works on it is closed, since runners abort a request when its connection closes. The
// close is detected without reading from the client's connection, so that a request pipelined
// behind this one stays unread.

package router

import (
	"context"
	"sync"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/upstream"
)

// watchDelay is how long a request is served before its client is watched. A client that
// disconnects earlier is detected then. Most short requests end before a watch is needed.
const watchDelay = 200 * time.Millisecond

// closeWatch detects that the peer of a connection has closed it.
type closeWatch struct {
	clientConn *timedConn
	onClosed   func()
	timer      *time.Timer
	done       chan struct{}

	mu      sync.Mutex
	running bool
	stopped bool
}

// watchClose calls onClosed from another goroutine once the peer has closed the connection. The
// watch begins after watchDelay. The connection must not be read until stop has returned.
func (c *timedConn) watchClose(onClosed func()) *closeWatch {
	w := &closeWatch{clientConn: c, onClosed: onClosed, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

// stop ends the watch. onClosed is not called after it has returned.
func (w *closeWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.running {
		_ = w.clientConn.SetReadDeadline(time.Unix(1, 0)) // unblocks awaitClose
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
	if w.clientConn.awaitClose() {
		w.onClosed()
	}
}

func (w *closeWatch) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	_ = w.clientConn.SetReadDeadline(time.Time{})
	w.running = true
	return true
}

// awaitClose waits until the peer has closed the connection, or until the read deadline.
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

// peerClosed peeks at a socket and reports whether the peer has closed or reset it.
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

// clientState records whether the client of a request has disconnected, and what is cancelled when
// it does: the connection to the runner and a pending wait. All methods accept a nil receiver,
// except markGone, for a client that is not watched.
type clientState struct {
	goneCh chan struct{} // closed once the client has disconnected

	mu         sync.Mutex
	gone       bool
	conn       *upstream.Conn
	cancelWait func() // cancels a wait other than on conn
}

func newClientState() *clientState { return &clientState{goneCh: make(chan struct{})} }

// markGone records that the client has disconnected, and cancels the request's work.
func (s *clientState) markGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	close(s.goneCh)
	if s.conn != nil {
		s.conn.Close()
	}
	if s.cancelWait != nil {
		s.cancelWait()
	}
}

// onGone calls cancel once the client disconnects, until the returned function is called.
func (s *clientState) onGone(cancel func()) (unregister func()) {
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		cancel()
	}
	s.cancelWait = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelWait = nil
	}
}

// isGone reports whether the client has disconnected; false for a client that is not watched.
func (s *clientState) isGone() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// attachConn sets the connection to close when the client disconnects, nil for none. It reports
// whether the client is still connected.
func (s *clientState) attachConn(conn *upstream.Conn) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return !s.gone
}

// goneChannel returns a channel that is closed once the client has disconnected; nil for a client
// that is not watched.
func (s *clientState) goneChannel() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.goneCh
}

// clientConnKey is the context key of the client's connection.
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

// stopsWithClient reports whether a runner's work on the request is aborted when the client
// disconnects. A request that may run only once is left to finish: its effects cannot be undone,
// and a further attempt would be refused.
func (e *exchange) stopsWithClient() bool {
	return e.route.Kind == api.Streaming || e.route.Repeatable()
}

// attachRunnerConn sets the runner connection that is closed when the client disconnects. It
// reports whether the client is still connected.
func (e *exchange) attachRunnerConn(conn *upstream.Conn) bool {
	if !e.stopsWithClient() {
		return !e.client.isGone()
	}
	return e.client.attachConn(conn)
}
