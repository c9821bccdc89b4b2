// Moving a live stream: when its session leaves the zone of its runner, a stream that
// may be resumed goes on at the session's new home, after its last whole event.
// Capacity and a connection there are acquired before the old connection is closed,
// and the old one is closed before anything is sent, so that one runner at a time
// responds and the client sees one response. A stream that may not be resumed ends
// where it runs; the next request of its session goes to the new home.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/upstream"
)

// nextShot is a place and a link that wait for a stream which is on the move.
type nextShot struct {
	adm  *admission.Admission
	link *upstream.Conn
}

// moves tells whether the stream leaves its runner now; then the next attempt is
// there. It is within tries and budget like every further attempt.
func (v *visit) moves(adm *admission.Admission, stream *answerStream) bool {
	c := v.c
	t := c.table.Load()
	if _, left := t.Relinquished[adm.Runner.Zone]; !left || !v.route.Repeatable() || !stream.cutting || stream.events.LastID == "" || v.attempts >= max(v.route.Tries, 1) {
		return false
	}
	now := c.clock()
	if now < v.moveUs {
		return false
	}
	v.moveUs = now + moveAgainUs
	ask := v.ask
	ask.LeftUs = v.endUs - now
	ask.Avoid = append(append([]string{}, ask.Avoid...), adm.Runner.ID)
	c.dmu.Lock()
	if !c.admission.Leaves(ask, adm.Runner.Zone, now) {
		c.dmu.Unlock()
		return false
	}
	next := c.admission.TryNow(ask, now)
	c.dmu.Unlock()
	if next == nil {
		return false
	}
	giveUp := func(ok bool) bool {
		c.done(next, ok)
		return false
	}
	if next.Runner.Zone == adm.Runner.Zone {
		return giveUp(true)
	}
	link, err := v.link(next.Runner.Addr)
	if err != nil {
		return giveUp(false)
	}
	if !v.spend() {
		link.Close()
		return giveUp(true)
	}
	v.ask.Avoid = ask.Avoid
	v.next = &nextShot{next, link}
	return true
}

// releaseNext gives up the place and the link of a stream that does not move after
// all.
func (v *visit) releaseNext() {
	if v.next == nil {
		return
	}
	v.next.link.Close()
	v.c.done(v.next.adm, true)
	v.next = nil
}

// moveAgainUs is how long a stream that found no place to go to stays before it
// looks again.
const moveAgainUs = 200_000
