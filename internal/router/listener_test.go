package router

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/http1"
)

func fixedLimits(d time.Duration) func() frontLimits {
	return func() frontLimits { return frontLimits{idle: d, receive: d, sizes: testSizes} }
}

// testSizes are size limits that no test request reaches.
var testSizes = http1.Limits{HeadBytes: 4096, BodyBytes: 4096}

// completeRequest is a request in the form that the front's connections return.
const completeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// switchingLimits returns long limits, except for one call after shortOnce is set, which gets
// short ones. It simulates a configuration that raises the limits while a connection waits.
type switchingLimits struct{ shortOnce atomic.Bool }

func (r *switchingLimits) limits() frontLimits {
	if r.shortOnce.Swap(false) {
		return frontLimits{idle: time.Millisecond, receive: time.Millisecond, sizes: testSizes}
	}
	return frontLimits{idle: time.Hour, receive: time.Hour, sizes: testSizes}
}

// scriptedListener returns the given results of Accept in order, and net.ErrClosed after them.
type scriptedListener struct {
	net.Listener
	results []acceptResult
}

type acceptResult struct {
	conn net.Conn
	err  error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	next := l.results[0]
	l.results = l.results[1:]
	return next.conn, next.err
}

// An error from Accept ends the HTTP server, and with it the process and all requests in flight.
// Running out of file descriptors must not cause that.
func TestAcceptContinuesAfterTemporaryError(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	outOfDescriptors := &net.OpError{Op: "accept", Err: syscall.EMFILE}
	ln := newTimedListener(&scriptedListener{results: []acceptResult{{err: outOfDescriptors}, {err: outOfDescriptors}, {conn: ours}}}, fixedLimits(time.Minute), nil)
	conn, err := ln.Accept()
	must.NoError(t, err)
	defer conn.Close()
	_, err = ln.Accept()
	must.True(t, errors.Is(err, net.ErrClosed), must.Sprint("a closed listener must return its error"))
}

// closeIdleDuringReadConn returns a request from a read during which the listener closes idle
// connections.
type closeIdleDuringReadConn struct {
	net.Conn
	ln *timedListener
}

func (c *closeIdleDuringReadConn) Read(b []byte) (int, error) {
	c.ln.closeIdle()
	return copy(b, completeRequest), nil
}

// A request that has been read must be served, also if idle connections are closed at that moment.
func TestRequestReadDuringCloseIdleIsServed(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	scripted := &scriptedListener{}
	ln := newTimedListener(scripted, fixedLimits(time.Minute), nil)
	scripted.results = []acceptResult{{conn: &closeIdleDuringReadConn{ours, ln}}}
	conn, err := ln.Accept()
	must.NoError(t, err)
	b := make([]byte, 64)
	n, err := conn.Read(b)
	must.NoError(t, err)
	must.Eq(t, completeRequest, string(b[:n]))
	must.Eq(t, 1, ln.closeIdle(), must.Sprint("its connection must stay open"))
	must.NoError(t, conn.Close())
	must.Eq(t, 0, ln.closeIdle())
}

// A limit raised by a new configuration applies to connections that are already waiting: before a
// request begins, and within its head.
func TestRaisedLimitsApplyToOpenConnections(t *testing.T) {
	for _, begun := range []string{"", "GET"} {
		t.Run("read before: "+begun, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer theirs.Close()
			raised := &switchingLimits{}
			raised.shortOnce.Store(begun == "")
			ln := newTimedListener(&scriptedListener{results: []acceptResult{{conn: ours}}}, raised.limits, nil)
			conn, err := ln.Accept()
			must.NoError(t, err)
			read := make(chan string, 1)
			go func() {
				b := make([]byte, 64)
				n, err := conn.Read(b)
				must.NoError(t, err)
				read <- string(b[:n])
			}()
			_, err = io.WriteString(theirs, begun) // returns once it has been read
			must.NoError(t, err)
			raised.shortOnce.Store(begun != "")
			if begun != "" {
				_, err = io.WriteString(theirs, completeRequest[len(begun):len(begun)+1])
				must.NoError(t, err)
				begun = completeRequest[:len(begun)+1]
			}
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(theirs, completeRequest[len(begun):])
			must.NoError(t, err)
			must.Eq(t, completeRequest, <-read)
		})
	}
}

// deadlineRecorder records the write deadline and how often it is set.
type deadlineRecorder struct {
	net.Conn
	set int
	by  time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(by time.Time) error {
	c.set, c.by = c.set+1, by
	return nil
}

func (c *deadlineRecorder) Write(b []byte) (int, error) { return len(b), nil }

func TestWriteDeadlineIsSetOnceForManyEventsAndNeverTooLate(t *testing.T) {
	under := &deadlineRecorder{}
	conn := &timedConn{Conn: under}
	write := func() {
		_, err := conn.Write([]byte("event"))
		must.NoError(t, err)
		must.False(t, under.by.After(conn.writeDeadline()))
	}
	conn.setResponseDeadline(time.Now().Add(3 * writeTimeout / 2))
	for range 20 {
		write()
	}
	must.Eq(t, 1, under.set)
	conn.setResponseDeadline(time.Now().Add(writeTimeout / 4))
	for range 20 {
		write()
	}
	must.Eq(t, 2, under.set, must.Sprint("an earlier deadline must apply at once"))
	conn.setResponseDeadline(time.Now().Add(-time.Second))
	write()
	must.Eq(t, 3, under.set, must.Sprint("a late response gets a new deadline"))
	must.True(t, under.by.After(time.Now()), must.Sprint("its last bytes may still be written"))
}
