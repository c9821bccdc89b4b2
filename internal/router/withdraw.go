// Withdrawal of attempts. An attempt that was sent and has not begun is withdrawn from its runner
// by closing the connection, when the weights there become too old for it and when the request's
// deadline is reached. An attempt has begun once the head of its response has been read. Whether a
// withdrawn attempt ran is unknown.

package router

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/upstream"
)

// withdrawInterval is how often attempts that have not begun are checked.
const withdrawInterval = 100 * time.Millisecond

// withdrawLeadUs is how long before the deadline an attempt that has not begun is withdrawn, so
// that the runner sees the close by the deadline.
const withdrawLeadUs = 20_000

// lateReadUs is how long after the deadline the rest of a response that has begun may still be
// read.
const lateReadUs = 150_000

// errWithdrawn is returned for an attempt that was withdrawn before its response began.
var errWithdrawn = errors.New("router: attempt withdrawn from its runner")

// sentAttempt is an attempt that has been sent, and that a sentAttempts set may interrupt.
type sentAttempt struct {
	adm       *admission.Admission
	conn      *upstream.Conn
	withdrawn bool
	retryable bool // another attempt may follow
	sentUs    int64

	nextMoveUs atomic.Int64 // earliest time at which a stream that stayed at its runner is checked again
}

// sentAttempts is a set of attempts that may be withdrawn.
type sentAttempts struct{ activeSet[*sentAttempt] }

func (s *sentAttempts) add(adm *admission.Admission, conn *upstream.Conn, retryable bool) *sentAttempt {
	a := &sentAttempt{adm: adm, conn: conn, retryable: retryable}
	s.begin(a)
	return a
}

// remove removes an attempt from the set and reports whether it was withdrawn.
func (s *sentAttempts) remove(a *sentAttempt) (withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, a)
	return a.withdrawn
}

// clearWithdrawal reports whether an attempt was withdrawn, and clears the mark.
func (s *sentAttempts) clearWithdrawal(a *sentAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := a.withdrawn
	a.withdrawn = false
	return withdrawn
}

// withdraw interrupts the attempts that are still in the set.
func (s *sentAttempts) withdraw(attempts []*sentAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		if _, waits := s.items[a]; waits {
			a.withdrawn = true
			a.conn.Interrupt()
		}
	}
}

// withdrawFromOldWeights withdraws the attempts that would begin on weights that are too old.
// Attempts on retired weights, and attempts at runners of an unreachable zone, are withdrawn only
// if another attempt may follow; the others were sent before the retirement or the outage and wait
// for their runner.
func (r *Router) withdrawFromOldWeights() {
	r.abandonUnreachable()
	attempts := r.sent.snapshot()
	if len(attempts) == 0 {
		return
	}
	due := attempts[:0]
	now := r.clock()
	r.admissionMu.Lock()
	for _, a := range attempts {
		if r.admission.MustWithdraw(a.adm, now) || a.retryable && (r.admission.HasRetiredWeights(a.adm) || r.admission.InUnreachableZone(a.adm)) {
			due = append(due, a)
		}
	}
	r.admissionMu.Unlock()
	r.sent.withdraw(due)
}

// timeExpired reports whether an attempt that has not begun is out of time: by the request's
// deadline, or by the end of the shutdown.
func (e *exchange) timeExpired() bool {
	return e.router.clock() >= min(e.deadlineUs, e.router.shutdown.Load().lastDeadlineUs())-withdrawLeadUs
}

// readHead reads the head of the response to an attempt. It returns errWithdrawn if the attempt
// was withdrawn before the head arrived.
func (e *exchange) readHead(a *sentAttempt, r *protocol.Response) error {
	headBy := e.deadlineTime(-withdrawLeadUs)
	err := a.conn.ReadHeadFor(e.id, r, headBy)
	withdrawn := e.router.sent.remove(a)
	switch {
	case err == nil:
		e.router.zones.RunnerAnswered(a.adm.Runner.Zone, a.sentUs)
		a.conn.Resume(e.deadlineTime(lateReadUs))
		return nil
	case withdrawn:
		return errWithdrawn
	}
	return err
}

// deadlineTime returns the request's deadline plus offsetUs as a wall-clock time.
func (e *exchange) deadlineTime(offsetUs int64) time.Time {
	return time.Now().Add(time.Duration(e.deadlineUs-e.router.clock()+offsetUs) * time.Microsecond)
}

// stillAllowed reports whether an admitted request may still be sent to its runner. The state of
// the runner, its zone and its weights may have changed since admission.
func (r *Router) stillAllowed(adm *admission.Admission) bool {
	if runner, ok := r.registry.Snapshot().ByID[adm.Runner.ID]; !ok || runner.Draining {
		return false
	}
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	return !r.admission.ZoneEvacuated(adm.Runner.Zone) && r.admission.VersionAllowed(adm) && !r.admission.RunnerAbsent(adm) && r.admission.WeightsAllowed(adm, r.clock())
}
