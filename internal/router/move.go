// Moving a live stream to another runner, when its session leaves the zone of its runner or that
// zone becomes unreachable. A resumable stream continues there after its last complete event.
// Capacity and a connection at the new runner are acquired before the old connection is closed,
// and the old one is closed before anything is sent, so that only one runner responds at a time
// and the client receives one response. A stream that is not resumable ends where it runs; the
// next request of its session goes to the new home zone.

package router

import (
	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/router/quotaclient"
	"beechtide.org/beechtide/internal/upstream"
)

// reservedAttempt is the capacity and the connection reserved for a stream that moves.
type reservedAttempt struct {
	adm  *admission.Admission
	conn *upstream.Conn
}

// reserveMove reports whether the stream leaves its runner now, because its session's zone has
// been relinquished. If so, the next attempt has been reserved.
func (e *exchange) reserveMove(adm *admission.Admission, stream *responseStream) bool {
	router := e.router
	table := router.table.Load()
	if _, relinquished := table.RelinquishUsByZone[adm.Runner.Zone]; !relinquished || !stream.isEventStream || stream.splitter.LastID == "" {
		return false
	}
	now := router.clock()
	if now < e.nextMoveCheckUs {
		return false
	}
	e.nextMoveCheckUs = now + moveRetryUs
	mustLeave := func(request admission.Request) bool {
		return router.admission.SessionLeaves(request, adm.Runner.Zone, now)
	}
	return e.reserveAttempt(adm, mustLeave, func(next *admission.Admission) bool { return next.Runner.Zone != adm.Runner.Zone })
}

// reserveAttempt reserves capacity at another runner and connects to it, for a stream that
// continues there. The attempt counts against tries, retry budget and limits like every other one.
// mustLeave and then accepts, for the admission found, are called with the admission mutex held;
// if either returns false nothing is reserved.
func (e *exchange) reserveAttempt(adm *admission.Admission, mustLeave func(admission.Request) bool, accepts func(*admission.Admission) bool) bool {
	router := e.router
	if !e.sequence.MayRepeat(e.retryPolicy()) {
		return false
	}
	now := router.clock()
	request := e.request
	request.TimeLeftUs = e.deadlineUs - now
	request.ExcludedRunners = append(append([]string{}, request.ExcludedRunners...), adm.Runner.ID)
	router.admissionMu.Lock()
	if !mustLeave(request) {
		router.admissionMu.Unlock()
		return false
	}
	next := router.admission.TryAdmit(request, now)
	accepted := next != nil && accepts(next)
	router.admissionMu.Unlock()
	if next == nil {
		return false
	}
	if !accepted {
		router.releaseCapacity(next, true)
		return false
	}
	conn, err := e.connect(next)
	if err != nil {
		router.releaseCapacity(next, false)
		return false
	}
	if !e.spendRetry() || e.acquireToken(false, moveQuotaWaitUs).Outcome != quotaclient.Granted {
		conn.Close()
		router.releaseCapacity(next, true)
		return false
	}
	e.request.ExcludedRunners = request.ExcludedRunners
	e.reserved = &reservedAttempt{next, conn}
	return true
}

// releaseReserved releases the capacity and the connection of a stream that does not move after
// all.
func (e *exchange) releaseReserved() {
	if e.reserved == nil {
		return
	}
	e.reserved.conn.Close()
	e.router.releaseCapacity(e.reserved.adm, true)
	e.reserved = nil
}

// moveRetryUs is how long a stream stays at its runner before it tries again to move, in
// microseconds.
const moveRetryUs = 200_000
