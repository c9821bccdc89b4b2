// Graceful shutdown. The router reports not ready, accepts connections until the platform has
// noticed, and closes each connection with its response. A request that may outlast the process is
// rejected at once, also one in the queue, so that its client retries at another router. Then the
// router accepts no more connections, closes those on which no request has begun, and ends with
// the last response. Requests in flight near the end of the grace period are answered if the
// client has received nothing; only a stream that has begun is cut off.

package router

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
)

// shutdownInterval is how often a draining router checks whether it may end.
const shutdownInterval = 20 * time.Millisecond

// rejectDraining is the reason of a rejection by a draining router.
const rejectDraining admission.Reason = "draining"

// drainRetryAfterUs is the Retry-After of such a rejection, in microseconds: almost immediately,
// as another router serves the client's new connection.
const drainRetryAfterUs = 10_000

// draining reports whether the graceful shutdown has begun.
func (r *Router) draining() bool { return r.shutdown.Load() != nil }

// closesAfterResponse reports whether a connection is closed with the response because the router
// drains. It is not if a part of the next pipelined request has been read already: that request is
// answered too.
func (r *Router) closesAfterResponse(conn *timedConn, rc *app.RequestContext) bool {
	return r.draining() && rc.GetReader().Len() == 0 && (conn == nil || conn.requests.Buffered() == 0)
}

// delayedCloseListener returns the error of a closed listener only once live has been cancelled.
// After an error from Accept the server closes every connection with its next response.
type delayedCloseListener struct {
	net.Listener
	live context.Context
}

// Accept accepts a connection.
func (l delayedCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.live.Done()
	}
	return conn, err
}

// withdrawUndelivered withdraws the attempts of which the client has received nothing. firstCall
// also closes finalPhase, which rejects queued requests.
func (r *Router) withdrawUndelivered(firstCall bool) {
	if firstCall {
		close(r.finalPhase)
	}
	r.sent.withdraw(r.sent.snapshot())
	r.undelivered.withdraw(r.undelivered.snapshot())
}

// shutDown shuts down gracefully. It returns when the process may end.
func (r *Router) shutDown() {
	plan := newShutdownPlan(r.clock(), int64(r.set.Bounds.GraceS*1e6))
	r.shutdown.Store(plan)
	close(r.drainBegun)
	r.log.Info("graceful shutdown begins")
	front := r.front.Load()
	if front == nil {
		return
	}
	entered := phaseNotice
	for ; ; time.Sleep(shutdownInterval) {
		phase := plan.phase(r.clock())
		if phase == phaseNotice {
			continue
		}
		if phase == phaseOver {
			r.log.Info("grace period is over, ending with requests in flight", "inFlight", r.inFlight.Load())
			return
		}
		if entered == phaseNotice {
			front.Listener.Close()
		}
		if phase == phaseFinal {
			r.withdrawUndelivered(entered != phaseFinal)
		}
		entered = phase
		if front.closeIdle() == 0 && r.inFlight.Load() == 0 {
			return
		}
	}
}
