package tallies

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/tally"
)

const (
	// amendTimeout is how long an amendment may wait for disks. Callers retry at another machine
	// after a second.
	amendTimeout = 950 * time.Millisecond
	// maxTallyNameBytes is the maximum length of a tally's name, in bytes.
	maxTallyNameBytes = 256
)

// Amend serves the call that adds an amount to a tally. It responds with 503 only if the add is not
// stored anywhere; once it is stored, with 200 if it is on enough disks, or with 504, after which
// it may or may not count.
func (s *Service) Amend(ctx context.Context, rc *app.RequestContext) {
	var amendment api.TallyAmendment
	if !httpapi.Decode(rc, &amendment) {
		return
	}
	name := rc.Param("id")
	if name == "" || len(name) > maxTallyNameBytes {
		httpapi.Reject(rc, 400, "id", "a tally has a name of 1 to 256 bytes")
		return
	}
	add := tally.Add{Tally: name, Key: tally.KeyOf(name, amendment.Id), Amount: amendment.Amount}
	arrivedUs := s.config.Clock()
	number, reason := s.appendAdd(add)
	if reason != "" {
		httpapi.Reject(rc, 503, "", reason)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, amendTimeout)
	defer cancel()
	if !s.awaitConfirmation(ctx, number, arrivedUs) {
		httpapi.Reject(rc, 504, "", "not on enough disks yet; repeat it under the same id")
		return
	}
	rc.Status(200)
}

// appendAdd appends an add to this replica's log and returns its number, or the reason why it is
// rejected. An add that this replica already has is not rejected for lack of room.
func (s *Service) appendAdd(add tally.Add) (number uint64, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.ready:
		return 0, "starting"
	case s.diskErr != nil:
		return 0, "the disk takes no writes"
	case !s.replica.CanConfirm():
		return 0, "too few disks can be reached"
	case s.replica.Full() && !s.replica.Set().Contains(add.Key):
		return 0, "no room for further adds"
	}
	number = s.replica.Append(add)
	s.replica.BeginWait()
	s.notifyChanged()
	return number, ""
}

// awaitConfirmation waits until an add that appendAdd has appended may be acknowledged, and returns
// false if that cannot be expected any more or ctx ends.
func (s *Service) awaitConfirmation(ctx context.Context, number uint64, arrivedUs int64) (confirmed bool) {
	s.await(ctx, func() bool {
		confirmed = s.replica.MayAcknowledge(number, arrivedUs, s.config.Clock())
		return confirmed || s.replica.Unconfirmable(number)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.EndWait()
	if !confirmed {
		s.lateAdds++
	}
	return confirmed
}

// Read serves the call that returns the total of a tally: the sum of all adds that this replica
// has.
func (s *Service) Read(_ context.Context, rc *app.RequestContext) {
	total, ok := s.total(rc.Param("id"))
	if !ok {
		httpapi.Reject(rc, 503, "", "starting")
		return
	}
	rc.JSON(200, api.TallyTotal{Total: total})
}

func (s *Service) total(name string) (total int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Set().Total(name), s.ready
}
