package canary

// Times of a rollout, in microseconds.
const (
	// A version is tried until the fraction leadFraction of the rollout's duration is left, bounded
	// by minLeadUs and maxLeadUs.
	leadFraction = 0.3
	minLeadUs    = int64(1_200_000)
	maxLeadUs    = int64(3_500_000)
	// minShiftUs is the minimum time for which all requests go to the new version before it is
	// settled.
	minShiftUs = int64(500_000)
	// earliestSettleUs and latestSettleUs bound the time before the deadline at which a version
	// is settled. It cannot be reverted afterwards, so it is monitored as long as the deadline
	// allows.
	earliestSettleUs = int64(1_500_000)
	latestSettleUs   = int64(700_000)
	// revertMarginUs is the time before the deadline at which a version that could not be tried
	// is reverted.
	revertMarginUs = int64(1_000_000)
	// adjustShareAfterUs is the time after the order at which the share is adjusted to the observed
	// request rate.
	adjustShareAfterUs = int64(1_500_000)
)

const (
	// minAnswers is the minimum number of answers of the new version before it gets all requests,
	// unless the service has given fewer than lowTrafficAnswers answers in total.
	minAnswers        = 12
	lowTrafficAnswers = 150
)

// View is the input of Plan.Step.
type View struct {
	TimeUs         int64 // time of day
	BegunAtUs      int64
	DurationUs     int64
	Stage          Stage
	Share          int // in thousandths
	Evidence       Evidence
	NewReady       int // runners of the new version that are ready
	BaselineReady  int // runners of the other versions
	BaselineActive int // requests at runners of the other versions
	Bounds         Bounds
}

// Step is the stage and the share that are due, and the reason for a change of stage.
type Step struct {
	Stage         Stage
	SharePerMille int
	Reason        string
}

// Plan decides the stages of the rollout of one version for the holder of the lease. The zero
// Plan is ready to use; a new holder starts with one.
type Plan struct {
	monitor       monitor
	shiftBeganUs  int64 // when this holder first observed the stage Shifting; 0 if it has not
	shareAdjusted bool  // the share has been adjusted to the request rate
}

// Step records the view and returns the stage that is due, which is the current one if nothing
// is to be changed.
func (p *Plan) Step(v View) Step {
	p.monitor.observe(v.Evidence, v.TimeUs)
	current := Step{Stage: v.Stage, SharePerMille: v.Share}
	if !v.Stage.Running() {
		return current
	}
	if comparison := p.monitor.findWorse(); comparison != "" {
		return Step{Stage: Reverted, Reason: "worse than the others: " + comparison}
	}
	if v.Stage == Shifting {
		return p.stepShifting(v, current)
	}
	return p.stepTrial(v, current)
}

// leadUs returns how long before the deadline the requests are shifted to the new version.
func (v *View) leadUs() int64 {
	return min(max(int64(leadFraction*float64(v.DurationUs)), minLeadUs), maxLeadUs)
}

func (v *View) deadlineUs() int64 { return v.BegunAtUs + v.DurationUs }

// stepTrial returns the step due in the trial stage, which lasts as long as the deadline
// allows, to collect as much evidence as possible.
func (p *Plan) stepTrial(v View, current Step) Step {
	switch {
	case v.TimeUs < v.deadlineUs()-v.leadUs():
		return p.adjustShare(v, current)
	case v.hasEnoughAnswers() && v.hasEnoughRunners() && p.monitor.findUnproven() == "":
		return Step{Stage: Shifting, SharePerMille: v.Share, Reason: "not worse than the others"}
	case v.TimeUs >= v.deadlineUs()-revertMarginUs:
		return Step{Stage: Reverted, Reason: "could not be tried"}
	}
	return current
}

// adjustShare adjusts the share once, to the request rate of the service.
func (p *Plan) adjustShare(v View, step Step) Step {
	sinceUs := v.TimeUs - v.BegunAtUs
	if p.shareAdjusted || sinceUs < adjustShareAfterUs {
		return step
	}
	p.shareAdjusted = true
	if answers := v.totalAnswers(); answers > 0 {
		step.SharePerMille = v.Bounds.Share(float64(answers) * float64(v.DurationUs) / float64(sinceUs))
	}
	return step
}

// totalAnswers returns how many answers the service has given since the order.
func (v *View) totalAnswers() int {
	all := v.Evidence[AllRequests]
	return all.New.Answers + all.Baseline.Answers
}

// hasEnoughAnswers reports whether the new version has answered enough requests, or the service
// gets so few that the slack covers them.
func (v *View) hasEnoughAnswers() bool {
	return v.Evidence[AllRequests].New.Answers >= minAnswers || v.totalAnswers() < lowTrafficAnswers
}

// hasEnoughRunners reports whether the new version has enough runners for all requests: at least
// half as many as the others.
func (v *View) hasEnoughRunners() bool { return v.NewReady > 0 && 2*v.NewReady >= v.BaselineReady }

// stepShifting returns the step due in stage Shifting. The version is settled once no request
// runs on the other versions, and at the latest latestSettleUs before the deadline.
func (p *Plan) stepShifting(v View, current Step) Step {
	if p.shiftBeganUs == 0 {
		p.shiftBeganUs = v.TimeUs
	}
	leftUs := v.deadlineUs() - v.TimeUs
	drained := v.BaselineActive == 0 && leftUs <= earliestSettleUs
	if v.TimeUs-p.shiftBeganUs < minShiftUs || !drained && leftUs > latestSettleUs {
		return current
	}
	if comparison := p.monitor.findWeaklyWorse(); comparison != "" {
		return Step{Stage: Reverted, Reason: "perhaps worse than the others: " + comparison}
	}
	return Step{Stage: Settled, SharePerMille: perMille, Reason: "all requests are on it"}
}
