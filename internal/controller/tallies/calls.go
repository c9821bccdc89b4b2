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
	// amendTimeout is how long an amendment may wait for disks. Callers go on to another machine
	// after a second.
	amendTimeout = 950 * time.Millisecond
	// maxTallyName bounds the name of a tally, in bytes.
	maxTallyName = 256
)

// Amend is the call that adds to a tally. Before the add is kept anywhere it may be rejected with 503;
// after that the answer is 200, or 504, which promises nothing.
func (s *Service) Amend(ctx context.Context, rc *app.RequestContext) {
	var amendment api.TallyAmendment
	if !httpapi.Decode(rc, &amendment) {
		return
	}
	name := rc.Param("id")
	if name == "" || len(name) > maxTallyName {
		httpapi.Reject(rc, 400, "id", "a tally has a name of 1 to 256 bytes")
		return
	}
	add := tally.Add{Tally: name, Key: tally.KeyOf(name, amendment.Id), Amount: amendment.Amount}
	arrivedUs := s.config.Clock()
	number, reason := s.add(add, arrivedUs)
	if reason != "" {
		httpapi.Reject(rc, 503, "", reason)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, amendTimeout)
	defer cancel()
	if !s.await(ctx, func() bool { return s.replica.MayAcknowledge(number, arrivedUs) }) {
		s.countLate()
		httpapi.Reject(rc, 504, "", "not on enough disks yet; repeat it under the same id")
		return
	}
	rc.Status(200)
}

// add takes an add in and returns its number in this replica's log, or why it is not taken. An
// add that this replica has in its log already is taken in any case.
func (s *Service) add(add tally.Add, arrivedUs int64) (number uint64, reason string) {
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
	s.replica.RecordWaiter(arrivedUs)
	s.signal()
	return number, ""
}

func (s *Service) countLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late++
}

// Read is the call that answers the sum of a tally, of all adds that this replica has.
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
