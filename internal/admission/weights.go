// Bound on old weights: from some time before a named version has to be in use
// everywhere, nothing is sent to runners with older weights, and attempts that were
// sent there and have not begun are withdrawn.

package admission

import "beechtide.org/beechtide/internal/messages"

// Margins before the moment from which nothing may begin on older weights.
const (
	// minSendMarginUs is how long before that moment the last request is sent
	// to a runner with older weights, where nothing waits at that runner.
	minSendMarginUs = 2_300_000
	// maxExpectedWaitUs bounds what the wait expected at the runner adds to it.
	maxExpectedWaitUs = 2_300_000
	// queuedWaitUs is what each request adds that the runner reports as waiting.
	queuedWaitUs = 400_000
	// withdrawMarginUs is how long before that moment requests that have not
	// begun are taken back. It covers the age's error (what it took on its way),
	// a slow step of this process and one of the runner's.
	withdrawMarginUs = 1_200_000
)

// WeightsBound says when older weights are no longer allowed.
type WeightsBound struct {
	// VersionUs is how long after the acknowledgement of a version requests may
	// still begin on older ones.
	VersionUs int64
	// ContactLossUs is the time without a message from a controller with contact to
	// the core after which the bound is suspended; 0: never.
	ContactLossUs int64
}

// AssumeTarget records a named version that came without its age.
func (a *Admitter) AssumeTarget(model string, version, nowUs int64) {
	a.targets.Assume(model, version, nowUs)
}

// ObserveTargets merges the ages of named versions that another node has sent.
func (a *Admitter) ObserveTargets(ages []messages.TargetAge, nowUs int64) {
	a.targets.Observe(ages, nowUs)
}

// TargetAges returns the ages of the named versions, for other nodes.
func (a *Admitter) TargetAges(nowUs int64) []messages.TargetAge { return a.targets.Ages(nowUs) }

// Contact records a message from a controller with contact to the core.
func (a *Admitter) Contact(nowUs int64) { a.contactUs = max(a.contactUs, nowUs) }

// outOfContact reports whether the bound is suspended. Only this node's own loss of
// contact does that; how the core looks to its members does not.
func (a *Admitter) outOfContact(nowUs int64) bool {
	return a.Bound.ContactLossUs > 0 && nowUs-a.contactUs >= a.Bound.ContactLossUs
}

// pastBound reports whether a version of a model's weights is too old for requests
// that begin marginUs from now. A version that is not known, 0, counts as older
// than any that was named.
func (a *Admitter) pastBound(model string, version, marginUs, nowUs int64) bool {
	if version >= a.targets.Newest(model).Version || a.outOfContact(nowUs) {
		return false
	}
	return a.targets.OutdatedUs(model, version, nowUs) >= a.Bound.VersionUs-marginUs
}

// runnerWeightsAllowed reports whether a request for a model may be sent to a runner. A
// runner whose version is not known counts as one with older weights.
func (a *Admitter) runnerWeightsAllowed(model string, r *runner, nowUs int64) bool {
	return !a.pastBound(model, weightsVersion(r.record, model), minSendMarginUs+r.expectedWaitUs(&a.T, nowUs), nowUs)
}

// expectedWaitUs estimates for how long a request sent now waits at the runner
// before it begins.
func (r *runner) expectedWaitUs(t *Tuning, nowUs int64) int64 {
	waitUs := float64(r.prefill()) / r.prefillRate(t)
	if r.hasReport && nowUs-r.reportedLoad.atUs < t.ReportFreshUs {
		waitUs += float64(r.queued) * queuedWaitUs
	}
	return int64(min(max(waitUs, 0), maxExpectedWaitUs))
}

// WeightsAllowed reports whether an admitted request may still be sent to its
// runner. It goes by the version at admission, which the salt was made for and
// which the request asks the runner for: past the bound that is never one that is
// too old, and never one that is retired.
func (a *Admitter) WeightsAllowed(adm *Admission, nowUs int64) bool {
	return !a.Retired(adm) && !a.pastBound(adm.model, adm.Version, minSendMarginUs, nowUs)
}

// MustWithdraw reports whether a request that was sent and has not begun is to be
// taken back, because it would begin on weights that are too old by then.
func (a *Admitter) MustWithdraw(adm *Admission, nowUs int64) bool {
	version := adm.Version
	if r := a.pool(adm.service).runners[adm.Runner.ID]; r != nil {
		version = max(version, weightsVersion(r.record, adm.model))
	}
	return a.pastBound(adm.model, version, withdrawMarginUs, nowUs)
}

// weightsVersion returns the version of a model's weights that a runner is known to
// have; 0 where none is known.
func weightsVersion(n messages.RunnerRecord, model string) int64 {
	for _, m := range n.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
