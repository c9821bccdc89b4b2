// Withdrawal of attempts: one that was sent and has not begun is withdrawn from its
// runner, by closing the connection, when the weights there become too old for it, and
// when the request's time is over. An attempt has begun once the head of its response
// is there. Whether a withdrawn one ran is not known.

package router

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/upstream"
)

// withdrawEvery is how often attempts that have not begun are looked at.
const withdrawEvery = 100 * time.Millisecond

// closeLeadUs is how long before the end of a request's time an attempt that has
// not begun is taken back, so that the closing is at the runner by then.
const closeLeadUs = 20_000

// lateUs is how long after the end of a request's time the rest of an answer that
// has begun may still be read.
const lateUs = 150_000

// errWithdrawn says that the attempt was taken back for the weights.
var errWithdrawn = errors.New("router: the attempt was taken back")

// sentAttempt is an attempt that has been sent and has not begun.
type sentAttempt struct {
	adm       *admission.Admission
	link      *upstream.Conn
	withdrawn bool
	again     bool // another attempt may follow
	sentUs    int64

	stayUntilUs atomic.Int64 // a stream that found no place elsewhere looks again then
}

// sentAttempts are attempts of a router that may still be withdrawn.
type sentAttempts struct{ underWay[*sentAttempt] }

func (s *sentAttempts) add(adm *admission.Admission, link *upstream.Conn, again bool) *sentAttempt {
	a := &sentAttempt{adm: adm, link: link, again: again}
	s.begin(a)
	return a
}

// remove ends the watch over an attempt and tells whether it was taken back.
func (s *sentAttempts) remove(a *sentAttempt) (withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list, a)
	return a.withdrawn
}

// takeWithdrawal reports whether an attempt was taken back, and clears that.
func (s *sentAttempts) takeWithdrawal(a *sentAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := a.withdrawn
	a.withdrawn = false
	return withdrawn
}

// withdraw takes back those of the attempts that have not begun meanwhile.
func (s *sentAttempts) withdraw(attempts []*sentAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		if _, waits := s.list[a]; waits {
			a.withdrawn = true
			a.link.Interrupt()
		}
	}
}

// withdrawFromOldWeights takes back the attempts that would begin on weights that are too
// old by then. Where the weights have been retired it takes back only those that another
// attempt may follow: the others were sent before, and are answered by who has them.
// The latter holds too for runners of a zone that cannot be reached any more.
func (r *Router) withdrawFromOldWeights() {
	r.leaveUnreachable()
	attempts := r.sent.snapshot()
	if len(attempts) == 0 {
		return
	}
	due := attempts[:0]
	now := r.clock()
	r.admissionMu.Lock()
	for _, a := range attempts {
		if r.admission.MustWithdraw(a.adm, now) || a.again && (r.admission.HasRetiredWeights(a.adm) || r.admission.InUnreachableZone(a.adm)) {
			due = append(due, a)
		}
	}
	r.admissionMu.Unlock()
	r.sent.withdraw(due)
}

// timeOver tells whether the request's time, or the router's, is over for attempts that
// have not begun.
func (e *exchange) timeOver() bool {
	return e.router.clock() >= min(e.endUs, e.router.shutdown.Load().lastEndUs())-closeLeadUs
}

// readHead reads the head of the answer to an attempt that was sent. It returns
// errWithdrawn where the attempt was taken back before a head came.
func (e *exchange) readHead(a *sentAttempt, r *protocol.Response) error {
	begunBy := e.deadline(-closeLeadUs)
	err := a.link.HeadFor(e.id, r, begunBy)
	withdrawn := e.router.sent.remove(a)
	switch {
	case err == nil:
		e.router.zones.RunnerAnswered(a.adm.Runner.Zone, a.sentUs)
		a.link.Resume(e.deadline(lateUs))
		return nil
	case withdrawn:
		return errWithdrawn
	}
	return err
}

// deadline is the end of the request's time, put off by afterUs.
func (e *exchange) deadline(afterUs int64) time.Time {
	return time.Now().Add(time.Duration(e.endUs-e.router.clock()+afterUs) * time.Microsecond)
}

// stillAllowed tells whether an admitted request may still be sent to its runner:
// what was true at admission may have changed since.
func (r *Router) stillAllowed(adm *admission.Admission) bool {
	if n, ok := r.registry.Snapshot().ByID[adm.Runner.ID]; !ok || n.Draining {
		return false
	}
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	return !r.admission.ZoneEvacuated(adm.Runner.Zone) && r.admission.VersionAllowed(adm) && !r.admission.RunnerAbsent(adm) && r.admission.WeightsAllowed(adm, r.clock())
}
