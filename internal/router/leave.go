// Graceful shutdown: report not ready, accept connections until the platform has
// noticed, and let every response end its connection. A request that may outlast the
// process is rejected at once, also one that waits in the queue, so that its client goes
// to another router. Then accept no more connections, close those on which no request
// has begun, and end with the last response. What is in flight when the grace period is
// nearly over is answered where nothing of an answer has been sent; only a stream that
// has begun is cut.

package router

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
)

// shutdownInterval is how often a draining router looks whether it is done.
const shutdownInterval = 20 * time.Millisecond

// rejectDraining is why a draining router rejects a request.
const rejectDraining admission.Reason = "draining"

// drainRetryUs is after how long a client may come back: at once, as another router
// serves its new connection.
const drainRetryUs = 10_000

// draining reports whether the graceful shutdown has begun.
func (r *Router) draining() bool { return r.shutdown.Load() != nil }

// closesWithAnswer reports whether a connection ends with the answer to its request
// because the router drains. Not while a part of the next request has been read with
// this one: a client that has sent it is answered that, too.
func (r *Router) closesWithAnswer(conn *timedConn, rc *app.RequestContext) bool {
	return r.draining() && rc.GetReader().Len() == 0 && (conn == nil || conn.requests.Buffered() == 0)
}

// lingeringListener returns the error of a closed listener only once live has ended: the
// server above it ends every connection with its next answer after an error.
type lingeringListener struct {
	net.Listener
	live context.Context
}

// Accept accepts a connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.live.Done()
	}
	return conn, err
}

// endAttempts withdraws the attempts that have no answer yet. first tells that this phase of
// the shutdown begins.
func (r *Router) endAttempts(first bool) {
	if first {
		close(r.lastAnswers)
	}
	r.sent.withdraw(r.sent.snapshot())
	r.held.withdraw(r.held.snapshot())
}

// leave shuts down gracefully. It returns when the process may end.
func (r *Router) leave() {
	plan := newShutdownPlan(r.clock(), int64(r.set.Bounds.GraceS*1e6))
	r.shutdown.Store(plan)
	close(r.drainBegun)
	r.log.Info("leaving")
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
			r.log.Info("grace period over", "inFlight", r.inFlight.Load())
			return
		}
		if entered == phaseNotice {
			front.Listener.Close()
		}
		if phase == phaseAnswers {
			r.endAttempts(entered != phaseAnswers)
		}
		entered = phase
		if front.closeIdle() == 0 && r.inFlight.Load() == 0 {
			return
		}
	}
}
