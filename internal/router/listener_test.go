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

// testSizes are limits that no test's requests reach.
var testSizes = http1.Limits{HeadBytes: 4096, BodyBytes: 4096}

// wholeRequest is a request in the form that the front's connections return.
const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// raisedLimits are long ones; from the moment they are told to change, short ones once and
// long ones from then on, like a configuration that comes while a connection waits.
type raisedLimits struct{ short atomic.Bool }

func (r *raisedLimits) limits() frontLimits {
	if r.short.Swap(false) {
		return frontLimits{idle: time.Millisecond, receive: time.Millisecond, sizes: testSizes}
	}
	return frontLimits{idle: time.Hour, receive: time.Hour, sizes: testSizes}
}

// scriptedListener accepts what it is given, one after the other, and is closed then.
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

// A server that gets an error from Accept ends, and the process with all that is in
// flight.
func TestAcceptGoesOnAfterATemporaryError(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	outOfDescriptors := &net.OpError{Op: "accept", Err: syscall.EMFILE}
	ln := newTimedListener(&scriptedListener{results: []acceptResult{{err: outOfDescriptors}, {err: outOfDescriptors}, {conn: ours}}}, fixedLimits(time.Minute))
	conn, err := ln.Accept()
	must.NoError(t, err)
	defer conn.Close()
	_, err = ln.Accept()
	must.True(t, errors.Is(err, net.ErrClosed), must.Sprint("a closed listener ends"))
}

// interruptedConn has a request whose bytes are read at the moment at which the
// listener closes idle connections.
type interruptedConn struct {
	net.Conn
	ln *timedListener
}

func (c *interruptedConn) Read(b []byte) (int, error) {
	c.ln.closeIdle()
	return copy(b, wholeRequest), nil
}

// A request that has been read is served, whatever happens to idle connections
// meanwhile.
func TestRequestThatCrossesTheCloseOfIdleConnectionsIsNotDropped(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	scripted := &scriptedListener{}
	ln := newTimedListener(scripted, fixedLimits(time.Minute))
	scripted.results = []acceptResult{{conn: &interruptedConn{ours, ln}}}
	conn, err := ln.Accept()
	must.NoError(t, err)
	b := make([]byte, 64)
	n, err := conn.Read(b)
	must.NoError(t, err)
	must.Eq(t, wholeRequest, string(b[:n]))
	must.Eq(t, 1, ln.closeIdle(), must.Sprint("its connection is open"))
	must.NoError(t, conn.Close())
	must.Eq(t, 0, ln.closeIdle())
}

// A limit that a new configuration raises holds for what waits already: before a request
// begins, and in the middle of its head.
func TestRaisedLimitsHoldForOpenConnections(t *testing.T) {
	for _, begun := range []string{"", "GET"} {
		t.Run("read before: "+begun, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer theirs.Close()
			raised := &raisedLimits{}
			raised.short.Store(begun == "")
			ln := newTimedListener(&scriptedListener{results: []acceptResult{{conn: ours}}}, raised.limits)
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
			raised.short.Store(begun != "")
			if begun != "" {
				_, err = io.WriteString(theirs, wholeRequest[len(begun):len(begun)+1])
				must.NoError(t, err)
				begun = wholeRequest[:len(begun)+1]
			}
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(theirs, wholeRequest[len(begun):])
			must.NoError(t, err)
			must.Eq(t, wholeRequest, <-read)
		})
	}
}

// deadlineCounter counts how often the write deadline is set.
type deadlineCounter struct {
	net.Conn
	set int
	by  time.Time
}

func (c *deadlineCounter) SetWriteDeadline(by time.Time) error {
	c.set, c.by = c.set+1, by
	return nil
}

func (c *deadlineCounter) Write(b []byte) (int, error) { return len(b), nil }

func TestWriteDeadlineIsSetOnceForManyEventsAndNeverLaterThanWanted(t *testing.T) {
	under := &deadlineCounter{}
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
	must.Eq(t, 2, under.set, must.Sprint("a shorter time counts at once"))
	conn.setResponseDeadline(time.Now().Add(-time.Second))
	write()
	must.Eq(t, 3, under.set, must.Sprint("the last bytes of an answer that is late"))
	must.True(t, under.by.After(time.Now()), must.Sprint("may still be written"))
}
