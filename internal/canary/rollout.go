package canary

import (
	"slices"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
)

// Stage is the progress of a rollout.
type Stage int

// Stages of a rollout. Their numbers are part of the records on disk.
const (
	Trial    Stage = iota // a small share of the requests goes to the new version
	Shifting              // all new requests go to the new version, running ones on the others finish
	Settled               // the new version is the service's version
	Reverted              // no requests go to the new version
)

// nextStages are the stages that may follow a stage.
var nextStages = map[Stage][]Stage{
	Trial:    {Shifting, Reverted},
	Shifting: {Settled, Reverted},
}

// Running reports whether the rollout has not ended.
func (s Stage) Running() bool { return s == Trial || s == Shifting }

// String returns the state in its form for operators.
func (s Stage) String() string {
	switch s {
	case Settled:
		return "settled"
	case Reverted:
		return "reverted"
	}
	return "running"
}

// ErrRolloutRunning is returned for an order while another rollout of the service is running.
var ErrRolloutRunning = errors.New("canary: another rollout of the service is running")

// Bounds limits how many of a service's requests may go to a version that has not passed its
// trial.
type Bounds struct {
	Exposure float64 // share of the requests between the order and its deadline
	Slack    float64 // additional number of requests
}

// trialExposureFraction is the fraction of the bounds that is used while a version is tried. The
// rest is reserved for a version that turns bad after the shift, until its requests are rerouted.
const trialExposureFraction = 0.3

const (
	perMille = 1000
	// maxTrialShare is the maximum share of the requests that go to a version while it is tried.
	maxTrialShare = 0.3
)

// Share returns the share of a service's requests that a version gets while it is tried, in
// thousandths. expected is the number of requests expected between the order and its deadline;
// 0 if unknown.
func (b Bounds) Share(expected float64) int {
	share := trialExposureFraction * b.Exposure
	if expected > 0 {
		share += trialExposureFraction * b.Slack / expected
	}
	return max(int(min(share, maxTrialShare)*perMille), 1)
}

// Order is an operator's order to roll out version Target of a service within DurationUs. After is the
// number of the service's newest rollout that its caller was told of (package precondition).
type Order struct {
	Service, Target string
	DurationUs      int64
	After           precondition.Number
}

// Find returns the newest rollout of a service.
func Find(list []messages.ServiceRollout, service string) (messages.ServiceRollout, bool) {
	i := slices.IndexFunc(list, func(r messages.ServiceRollout) bool { return r.Service == service })
	if i < 0 {
		return messages.ServiceRollout{}, false
	}
	return list[i], true
}

// Begin returns the rollouts after an order received at timeUs, a time of day. An order for the
// version of the service's newest rollout is a repeat and changes nothing. While a rollout to
// another version is running, it returns ErrRolloutRunning. An order after an ended rollout is subject to
// precondition.Check.
func Begin(list []messages.ServiceRollout, order Order, bounds Bounds, timeUs int64) (next []messages.ServiceRollout, changed bool, err error) {
	previous, found := Find(list, order.Service)
	switch {
	case found && previous.Target == order.Target:
		return list, false, nil
	case found && Stage(previous.Stage).Running():
		return list, false, ErrRolloutRunning
	}
	if err := precondition.Check(order.After, previous.Number); err != nil {
		return list, false, err
	}
	next = slices.DeleteFunc(slices.Clone(list), func(r messages.ServiceRollout) bool { return r.Service == order.Service })
	next = append(next, messages.ServiceRollout{
		Service: order.Service, Target: order.Target, OverUs: order.DurationUs, BegunAtUs: timeUs,
		Stage: int(Trial), SharePerMille: bounds.Share(0), Number: previous.Number + 1,
	})
	return next, true, nil
}

// maxRevertedVersions is how many reverted versions of a service are remembered. Their runners are
// drained soon after the reversion.
const maxRevertedVersions = 16

// RecordReverted returns the reverted versions after an order that begins a rollout: those before it and,
// if the service's previous rollout was reverted, that version; without the version that the order names.
// The runners of a reverted version may run for long after the next order.
func RecordReverted(reverted []messages.RevertedVersion, before []messages.ServiceRollout, order Order) []messages.RevertedVersion {
	isOrdered := func(v messages.RevertedVersion) bool { return v.Service == order.Service && v.Version == order.Target }
	next := slices.DeleteFunc(slices.Clone(reverted), isOrdered)
	previous, found := Find(before, order.Service)
	if !found || Stage(previous.Stage) != Reverted || previous.Target == order.Target {
		return next
	}
	next = append(next, messages.RevertedVersion{Service: order.Service, Version: previous.Target})
	isOfService := func(v messages.RevertedVersion) bool { return v.Service == order.Service }
	if count := len(RevertedOf(next, order.Service)); count > maxRevertedVersions {
		oldest := slices.IndexFunc(next, isOfService)
		next = slices.Delete(next, oldest, oldest+1)
	}
	return next
}

// RevertedOf returns the reverted versions of a service.
func RevertedOf(reverted []messages.RevertedVersion, service string) map[string]bool {
	versions := map[string]bool{}
	for _, v := range reverted {
		if v.Service == service {
			versions[v.Version] = true
		}
	}
	return versions
}

// Advance applies a step to one of the rollouts and returns the new list. changed is false if the
// list no longer contains that rollout unchanged, if its stage must not be followed by that of
// the step, or if the step changes nothing.
func Advance(list []messages.ServiceRollout, previous messages.ServiceRollout, step Step) (next []messages.ServiceRollout, changed bool) {
	i := slices.Index(list, previous)
	if i < 0 || step.Stage != Stage(previous.Stage) && !slices.Contains(nextStages[Stage(previous.Stage)], step.Stage) {
		return list, false
	}
	next = slices.Clone(list)
	next[i].Stage, next[i].SharePerMille = int(step.Stage), step.SharePerMille
	return next, next[i] != previous
}
