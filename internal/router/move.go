// Moving a live stream: when its session leaves the zone of its runner, or that zone cannot be
// reached any more, a stream that may be resumed goes on elsewhere, after its last whole event.
// Capacity and a connection there are acquired before the old connection is closed,
// and the old one is closed before anything is sent, so that one runner at a time
// responds and the client sees one response. A stream that may not be resumed ends
// where it runs; the next request of its session goes to the new home.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/router/quotaclient"
	"beechtide.org/beechtide/internal/upstream"
)

// nextAttempt is a place and a link that wait for a stream which is on the move.
type nextAttempt struct {
	adm  *admission.Admission
	link *upstream.Conn
}

// moves reports whether the stream leaves its runner now, as its session's zone has been
// relinquished; then the next attempt is there.
func (e *exchange) moves(adm *admission.Admission, stream *answerStream) bool {
	c := e.router
	t := c.table.Load()
	if _, left := t.Relinquished[adm.Runner.Zone]; !left || !stream.cutting || stream.events.LastID == "" {
		return false
	}
	now := c.clock()
	if now < e.moveUs {
		return false
	}
	e.moveUs = now + moveAgainUs
	leaves := func(ask admission.Request) bool { return c.admission.SessionLeaves(ask, adm.Runner.Zone, now) }
	return e.acquireNext(adm, leaves, func(next *admission.Admission) bool { return next.Runner.Zone != adm.Runner.Zone })
}

// acquireNext reserves capacity at another runner and connects to it, for a stream that goes on
// there. It is within tries, budget and limits like every further attempt. leaves is asked first,
// and accepts of the place found, both with the admission's mutex held.
func (e *exchange) acquireNext(adm *admission.Admission, leaves func(admission.Request) bool, accepts func(*admission.Admission) bool) bool {
	c := e.router
	if !e.sequence.MayRepeat(e.repeatRules()) {
		return false
	}
	now := c.clock()
	ask := e.request
	ask.TimeLeftUs = e.endUs - now
	ask.ExcludedRunners = append(append([]string{}, ask.ExcludedRunners...), adm.Runner.ID)
	c.admissionMu.Lock()
	if !leaves(ask) {
		c.admissionMu.Unlock()
		return false
	}
	next := c.admission.TryAdmit(ask, now)
	accepted := next != nil && accepts(next)
	c.admissionMu.Unlock()
	if next == nil {
		return false
	}
	if !accepted {
		c.done(next, true)
		return false
	}
	link, err := e.connect(next)
	if err != nil {
		c.done(next, false)
		return false
	}
	if !e.spendRetry() || e.acquireToken(false, moveQuotaWaitUs).Outcome != quotaclient.Granted {
		link.Close()
		c.done(next, true)
		return false
	}
	e.request.ExcludedRunners = ask.ExcludedRunners
	e.next = &nextAttempt{next, link}
	return true
}

// releaseNext gives up the place and the link of a stream that does not move after
// all.
func (e *exchange) releaseNext() {
	if e.next == nil {
		return
	}
	e.next.link.Close()
	e.router.done(e.next.adm, true)
	e.next = nil
}

// moveAgainUs is how long a stream that found no place to go to stays before it
// looks again.
const moveAgainUs = 200_000
