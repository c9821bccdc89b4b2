package router

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func fixedLimits(d time.Duration) func() frontLimits {
	return func() frontLimits { return frontLimits{idle: d, rest: d} }
}

// raisedLimits gives short limits once and long ones from then on, like a configuration
// that comes while a connection waits.
func raisedLimits() func() frontLimits {
	limits := frontLimits{idle: time.Millisecond, rest: time.Millisecond}
	return func() frontLimits {
		now := limits
		limits = frontLimits{idle: time.Hour, rest: time.Hour}
		return now
	}
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
	return copy(b, "POST"), nil
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
	b := make([]byte, 8)
	n, err := conn.Read(b)
	must.NoError(t, err)
	must.Eq(t, "POST", string(b[:n]))
	must.Eq(t, 1, ln.closeIdle(), must.Sprint("its connection is open"))
	must.NoError(t, conn.Close())
	must.Eq(t, 0, ln.closeIdle())
}

// A limit that a new configuration raises holds for what waits already.
func TestRaisedLimitsHoldForOpenConnections(t *testing.T) {
	for _, begun := range []string{"", "POS"} {
		t.Run("read before: "+begun, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer theirs.Close()
			limits := raisedLimits()
			if begun != "" {
				limits = fixedLimits(time.Hour)
			}
			ln := newTimedListener(&scriptedListener{results: []acceptResult{{conn: ours}}}, limits)
			conn, err := ln.Accept()
			must.NoError(t, err)
			read := func(sent string, after time.Duration) {
				go func() {
					time.Sleep(after)
					_, _ = io.Copy(theirs, strings.NewReader(sent))
				}()
				b := make([]byte, 8)
				n, err := conn.Read(b)
				must.NoError(t, err)
				must.Eq(t, sent, string(b[:n]))
			}
			if begun != "" {
				read(begun, 0)
				ln.limits = raisedLimits()
			}
			read("T", 20*time.Millisecond)
		})
	}
}
