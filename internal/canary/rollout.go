package canary

import (
	"slices"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Stage is how far a rollout has come.
type Stage int

// Stages of a rollout. Their numbers are part of the records on disk.
const (
	Trying   Stage = iota // a small share of the requests goes to the new version
	Shifting              // all requests go to the new version, those on the others end
	Settled               // the new version is the service's version
	Reverted              // nothing goes to the new version
)

// nextStages are the stages that may follow.
var nextStages = map[Stage][]Stage{
	Trying:   {Shifting, Reverted},
	Shifting: {Settled, Reverted},
}

// Running reports whether the rollout has not ended.
func (s Stage) Running() bool { return s == Trying || s == Shifting }

// String returns the state as the operator is told it.
func (s Stage) String() string {
	switch s {
	case Settled:
		return "settled"
	case Reverted:
		return "reverted"
	}
	return "running"
}

// ErrOtherRunning says that another rollout of the service is running.
var ErrOtherRunning = errors.New("canary: another rollout of the service is running")

// Bounds is how much of a service's requests a version may get that has not been shown good.
type Bounds struct {
	Exposure float64 // share of the requests, from the order to its term
	Slack    float64 // requests beside that
}

// exposurePart is the part of the bounds that is used while a version is tried. The rest is for
// one that turns bad after the requests have gone over to it, until they are back.
const exposurePart = 0.3

const (
	perMille = 1000
	// maxShare bounds the share of the requests to a version that is tried.
	maxShare = 0.3
)

// Share returns the share of a service's requests that a version gets while it is tried, in
// thousandths, where so many requests are expected until the term; 0: not known.
func (b Bounds) Share(expected float64) int {
	share := exposurePart * b.Exposure
	if expected > 0 {
		share += exposurePart * b.Slack / expected
	}
	return max(int(min(share, maxShare)*perMille), 1)
}

// Order is what the operator asks for.
type Order struct {
	Service, Target string
	OverUs          int64
}

// Find returns the newest rollout of a service.
func Find(list []messages.ServiceRollout, service string) (messages.ServiceRollout, bool) {
	i := slices.IndexFunc(list, func(r messages.ServiceRollout) bool { return r.Service == service })
	if i < 0 {
		return messages.ServiceRollout{}, false
	}
	return list[i], true
}

// Begin returns the rollouts after an order that came at timeUs, by the time of day. An order
// of the version that the service's newest rollout has is a repeat, and changes nothing.
func Begin(list []messages.ServiceRollout, order Order, bounds Bounds, timeUs int64) (next []messages.ServiceRollout, changed bool, err error) {
	former, known := Find(list, order.Service)
	switch {
	case known && former.Target == order.Target:
		return list, false, nil
	case known && Stage(former.Stage).Running():
		return list, false, ErrOtherRunning
	}
	next = slices.DeleteFunc(slices.Clone(list), func(r messages.ServiceRollout) bool { return r.Service == order.Service })
	next = append(next, messages.ServiceRollout{
		Service: order.Service, Target: order.Target, OverUs: order.OverUs, BegunAtUs: timeUs,
		Stage: int(Trying), SharePerMille: bounds.Share(0), Number: former.Number + 1,
	})
	return next, true, nil
}

// Advance returns the rollouts with a step taken in one of them. changed is false where that
// rollout is not there any more as it was, or the step may not follow.
func Advance(list []messages.ServiceRollout, was messages.ServiceRollout, step Step) (next []messages.ServiceRollout, changed bool) {
	i := slices.Index(list, was)
	if i < 0 || step.Stage != Stage(was.Stage) && !slices.Contains(nextStages[Stage(was.Stage)], step.Stage) {
		return list, false
	}
	next = slices.Clone(list)
	next[i].Stage, next[i].SharePerMille = int(step.Stage), step.SharePerMille
	return next, next[i] != was
}
