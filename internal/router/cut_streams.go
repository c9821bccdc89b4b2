// Streams and connects across a cut: when a zone cannot be reached any more, streams that may be
// resumed and that deliver nothing go on at other runners, and connections in the making there are
// given up. A stream is left only for a place that is there: capacity, a connection and a retry
// come first, and without them it stays until its runner's connection breaks.

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/admission"
)

// silentStream is for how long a stream has delivered nothing when it may be taken from a runner
// that cannot be reached. What arrives is better evidence of the way than an unanswered ping.
const silentStream = 300 * time.Millisecond

// connecting is a connection in the making to a runner.
type connecting struct {
	adm    *admission.Admission
	cancel context.CancelFunc
}

// leaveUnreachable gives up what goes on with runners that are out of reach.
func (r *Router) leaveUnreachable() {
	streams, dials := r.streams.snapshot(), r.connects.snapshot()
	if len(streams)+len(dials) == 0 {
		return
	}
	var left []*sentAttempt
	now := r.clock()
	r.admissionMu.Lock()
	for _, s := range streams {
		if r.admission.MustLeaveUnreachableZone(s.adm) && now >= s.stayUntilUs.Load() && s.link.SilentFor() >= silentStream {
			left = append(left, s)
		}
	}
	for _, d := range dials {
		if r.admission.MustLeaveUnreachableZone(d.adm) {
			d.cancel()
		}
	}
	r.admissionMu.Unlock()
	r.streams.withdraw(left)
}

// watchStream lets a stream that has begun, and that another attempt may take up, be taken from
// its runner. The returned function ends that.
func (e *exchange) watchStream(sent *sentAttempt, stream *answerStream) (end func()) {
	if !e.sequence.MayRepeat(e.repeatRules()) {
		return func() {}
	}
	watched := e.router.streams.add(sent.adm, sent.link, true)
	sent.link.OnInterrupt = func() (goOn bool) { return e.staysAtRunner(watched, stream) }
	return func() {
		sent.link.OnInterrupt = nil
		e.router.streams.remove(watched)
	}
}

// staysAtRunner decides on a stream whose runner cannot be reached, and reports whether it stays
// there: it leaves if the next attempt is ready.
func (e *exchange) staysAtRunner(watched *sentAttempt, stream *answerStream) bool {
	c := e.router
	if !c.streams.takeWithdrawal(watched) {
		return false // it was interrupted for another reason, which ends it
	}
	resumable := !stream.started || stream.events.LastID != ""
	leaves := func(admission.Request) bool { return c.admission.MustLeaveUnreachableZone(watched.adm) }
	accepts := func(next *admission.Admission) bool { return !c.admission.InUnreachableZone(next) }
	if resumable && e.acquireNext(watched.adm, leaves, accepts) {
		c.counters.streamsLeft.Add(1)
		return false
	}
	c.counters.streamsStayed.Add(1)
	watched.stayUntilUs.Store(c.clock() + moveAgainUs)
	watched.link.Resume(e.deadline(lateUs))
	return true
}
