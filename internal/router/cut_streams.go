// Streams and connection attempts across a network partition. When a zone becomes unreachable,
// resumable streams from there that deliver nothing continue at other runners, and pending
// connects to it are cancelled. A stream leaves its runner only after capacity, a connection and a
// retry have been acquired elsewhere; otherwise it stays until its runner's connection breaks.

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/admission"
)

// minStreamSilence is how long a stream must have delivered nothing before it leaves an
// unreachable runner. Arriving data is better evidence of a working network path than an
// unanswered ping.
const minStreamSilence = 300 * time.Millisecond

// pendingConnect is a connection attempt to a runner.
type pendingConnect struct {
	adm    *admission.Admission
	cancel context.CancelFunc
}

// abandonUnreachable interrupts silent streams from unreachable runners, and cancels connection
// attempts to them.
func (r *Router) abandonUnreachable() {
	streams, connects := r.movableStreams.snapshot(), r.pendingConnects.snapshot()
	if len(streams)+len(connects) == 0 {
		return
	}
	var withdrawn []*sentAttempt
	now := r.clock()
	r.admissionMu.Lock()
	for _, s := range streams {
		if r.admission.MustLeaveUnreachableZone(s.adm) && now >= s.nextMoveUs.Load() && s.conn.SilentFor() >= minStreamSilence {
			withdrawn = append(withdrawn, s)
		}
	}
	for _, d := range connects {
		if r.admission.MustLeaveUnreachableZone(d.adm) {
			d.cancel()
		}
	}
	r.admissionMu.Unlock()
	r.movableStreams.withdraw(withdrawn)
}

// watchStream allows a stream that has begun to be moved from its runner, if another attempt may
// resume it. The returned function revokes that.
func (e *exchange) watchStream(sent *sentAttempt, stream *responseStream) (end func()) {
	if !e.sequence.MayRepeat(e.retryPolicy()) {
		return func() {}
	}
	attempt := e.router.movableStreams.add(sent.adm, sent.conn, true)
	sent.conn.OnInterrupt = func() (goOn bool) { return e.staysAtRunner(attempt, stream) }
	return func() {
		sent.conn.OnInterrupt = nil
		e.router.movableStreams.remove(attempt)
	}
}

// staysAtRunner is called when reading from an unreachable runner is interrupted. It reserves
// another runner and returns false; if there is none, the stream stays and it returns true.
func (e *exchange) staysAtRunner(attempt *sentAttempt, stream *responseStream) bool {
	router := e.router
	if !router.movableStreams.clearWithdrawal(attempt) {
		return false // interrupted for another reason, which ends the attempt
	}
	resumable := !stream.started || stream.splitter.LastID != ""
	mustLeave := func(admission.Request) bool { return router.admission.MustLeaveUnreachableZone(attempt.adm) }
	accepts := func(next *admission.Admission) bool { return !router.admission.InUnreachableZone(next) }
	if resumable && e.reserveAttempt(attempt.adm, mustLeave, accepts) {
		router.counters.unreachableStreamsMoved.Add(1)
		return false
	}
	router.counters.unreachableStreamsStayed.Add(1)
	attempt.nextMoveUs.Store(router.clock() + moveRetryUs)
	attempt.conn.Resume(e.deadlineTime(lateReadUs))
	return true
}
