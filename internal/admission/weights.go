// Bound on old weights: a target version must be in use everywhere within a bounded time.
// Some time before that deadline, requests are no longer sent to runners with older
// weights, and attempts sent there that have not begun are withdrawn.

package admission

import "beechtide.org/beechtide/internal/messages"

// Margins before the deadline after which no request may begin on older weights, in
// microseconds.
const (
	// minSendMarginUs is how long before the deadline the last request is sent to a
	// runner with older weights where no requests wait.
	minSendMarginUs = 2_300_000
	// maxExpectedWaitUs limits the expected wait at the runner, which is added to it.
	maxExpectedWaitUs = 2_300_000
	// queuedWaitUs is the expected wait per request that the runner reports as queued.
	queuedWaitUs = 400_000
	// withdrawMarginUs is how long before the deadline requests that have not begun are
	// withdrawn. It covers the error of the version's age (the transit time of the
	// message), and a delay in this process and one in the runner.
	withdrawMarginUs = 1_200_000
)

// WeightsBound sets when older weights are no longer allowed. Times are microseconds.
type WeightsBound struct {
	// VersionUs is how long after the acknowledgement of a target version requests may
	// still begin on older ones.
	VersionUs int64
	// ContactLossUs is the time without a message from a controller that is in contact
	// with the core after which the bound is suspended; 0: never.
	ContactLossUs int64
}

// AssumeTarget records a target version that was received without its age.
func (a *Admitter) AssumeTarget(model string, version, nowUs int64) {
	a.targets.RecordAssumedAge(model, version, nowUs)
}

// ObserveTargets merges the ages of target versions received from another node.
func (a *Admitter) ObserveTargets(ages []messages.TargetAge, nowUs int64) {
	a.targets.MergeAges(ages, nowUs)
}

// TargetAges returns the ages of the target versions, to be sent to other nodes.
func (a *Admitter) TargetAges(nowUs int64) []messages.TargetAge { return a.targets.Ages(nowUs) }

// RecordContact records a message from a controller that is in contact with the core.
func (a *Admitter) RecordContact(nowUs int64) { a.lastContactUs = max(a.lastContactUs, nowUs) }

// outOfContact reports whether the bound is suspended. Only this node's own loss of contact
// suspends it, not changes of the core's membership.
func (a *Admitter) outOfContact(nowUs int64) bool {
	return a.WeightsBound.ContactLossUs > 0 && nowUs-a.lastContactUs >= a.WeightsBound.ContactLossUs
}

// pastBound reports whether a version of a model's weights is too old for requests that
// begin marginUs from now. An unknown version, 0, counts as older than any target version.
func (a *Admitter) pastBound(model string, version, marginUs, nowUs int64) bool {
	if version >= a.targets.Newest(model).Version || a.outOfContact(nowUs) {
		return false
	}
	return a.targets.OutdatedUs(model, version, nowUs) >= a.WeightsBound.VersionUs-marginUs
}

// runnerWeightsAllowed reports whether the bound allows a request for a model to be sent to
// a runner. A runner of unknown version counts as one with older weights.
func (a *Admitter) runnerWeightsAllowed(model string, r *runner, nowUs int64) bool {
	return !a.pastBound(model, weightsVersion(r.record, model), minSendMarginUs+r.expectedWaitUs(&a.Tuning, nowUs), nowUs)
}

// expectedWaitUs estimates how long a request sent now waits at the runner before it
// begins.
func (r *runner) expectedWaitUs(t *Tuning, nowUs int64) int64 {
	waitUs := float64(r.prefill()) / r.prefillRate(t)
	if r.hasReport && nowUs-r.reportedLoad.updatedUs < t.ReportValidUs {
		waitUs += float64(r.queued) * queuedWaitUs
	}
	return int64(min(max(waitUs, 0), maxExpectedWaitUs))
}

// WeightsAllowed reports whether an admitted request may still be sent to its runner: the
// weights version is neither retired nor past the bound. It uses the version at admission,
// which determines the cache salt and is named in the request to the runner.
func (a *Admitter) WeightsAllowed(adm *Admission, nowUs int64) bool {
	return !a.HasRetiredWeights(adm) && !a.pastBound(adm.model, adm.WeightsVersion, minSendMarginUs, nowUs)
}

// MustWithdraw reports whether a request that was sent and has not begun must be withdrawn,
// because the weights might be past the bound when it begins. It uses the newer of the
// version at admission and the runner's current one.
func (a *Admitter) MustWithdraw(adm *Admission, nowUs int64) bool {
	version := adm.WeightsVersion
	if r := a.pool(adm.service).runners[adm.Runner.ID]; r != nil {
		version = max(version, weightsVersion(r.record, adm.model))
	}
	return a.pastBound(adm.model, version, withdrawMarginUs, nowUs)
}

// weightsVersion returns the version of a model's weights in a runner's record, or 0 if the
// record does not list the model.
func weightsVersion(n messages.RunnerRecord, model string) int64 {
	for _, m := range n.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
