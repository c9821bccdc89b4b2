package canary

// Times of a rollout, in microseconds.
const (
	// A version is tried until leadPart of the time is left, within bounds.
	leadPart  = 0.3
	minLeadUs = int64(1_200_000)
	maxLeadUs = int64(3_500_000)
	// minShiftUs is for how long all requests go to the new version before it is settled.
	minShiftUs = int64(500_000)
	// earliestSettleUs and latestSettleUs are how long before the term it is settled: there is no
	// way back then, so it is watched as long as the term allows.
	earliestSettleUs = int64(1_500_000)
	latestSettleUs   = int64(700_000)
	// revertMarginUs is how long before the term a version is given up that could not be tried.
	revertMarginUs = int64(1_000_000)
	// shareAfterUs is how long after the order the share is set by the requests seen by then.
	shareAfterUs = int64(1_500_000)
)

const (
	// minAnswers is how many answers a version has given that is taken for good, unless the
	// service gets fewer than fewRequests in all.
	minAnswers  = 12
	fewRequests = 150
)

// View is what a Plan goes by.
type View struct {
	TimeUs      int64 // the time of day
	BegunAtUs   int64
	OverUs      int64
	Stage       Stage
	Share       int // in thousandths
	Evidence    Evidence
	NewReady    int // runners of the new version that are ready
	OtherReady  int // runners of the other versions
	OtherActive int // requests at runners of the other versions
	Bounds      Bounds
}

// Step is what is due.
type Step struct {
	Stage         Stage
	SharePerMille int
	Reason        string
}

// Plan is the rollout of one version, as the holder of the lease drives it. The zero Plan is at
// the beginning of what this holder has seen.
type Plan struct {
	monitor   monitor
	shiftedUs int64 // since when the stage is Shifting, as far as this holder knows
	shared    bool  // the share has been set by the requests
}

// Step returns the stage that is due; the present one for none.
func (p *Plan) Step(v View) Step {
	p.monitor.observe(v.Evidence, v.TimeUs)
	stay := Step{Stage: v.Stage, SharePerMille: v.Share}
	if !v.Stage.Running() {
		return stay
	}
	if worse := p.monitor.worse(); worse != "" {
		return Step{Stage: Reverted, Reason: "worse than the others: " + worse}
	}
	if v.Stage == Shifting {
		return p.stepShifting(v, stay)
	}
	return p.stepTrying(v, stay)
}

// lead is how long before the term the requests go over to the new version.
func (v *View) leadUs() int64 {
	return min(max(int64(leadPart*float64(v.OverUs)), minLeadUs), maxLeadUs)
}

func (v *View) termUs() int64 { return v.BegunAtUs + v.OverUs }

// stepTrying waits as long as the term allows, for as much evidence as there can be.
func (p *Plan) stepTrying(v View, stay Step) Step {
	switch {
	case v.TimeUs < v.termUs()-v.leadUs():
		return p.adjustShare(v, stay)
	case v.triedEnough() && v.canShift() && p.monitor.suspect() == "":
		return Step{Stage: Shifting, SharePerMille: v.Share, Reason: "not worse than the others"}
	case v.TimeUs >= v.termUs()-revertMarginUs:
		return Step{Stage: Reverted, Reason: "could not be tried"}
	}
	return stay
}

// adjustShare sets the share once, by the requests that the service gets.
func (p *Plan) adjustShare(v View, stay Step) Step {
	sinceUs := v.TimeUs - v.BegunAtUs
	if p.shared || sinceUs < shareAfterUs {
		return stay
	}
	p.shared = true
	if seen := v.answers(); seen > 0 {
		stay.SharePerMille = v.Bounds.Share(float64(seen) * float64(v.OverUs) / float64(sinceUs))
	}
	return stay
}

// answers is how many answers the service has given since the order.
func (v *View) answers() int {
	all := v.Evidence[AllRequests]
	return all.New.Answers + all.Other.Answers
}

// triedEnough reports whether the new version has answered enough requests, or the service gets
// so few that the slack bears them.
func (v *View) triedEnough() bool {
	return v.Evidence[AllRequests].New.Answers >= minAnswers || v.answers() < fewRequests
}

// canShift reports whether the runners of the new version can take all requests: there are at
// least half as many as of the others.
func (v *View) canShift() bool { return v.NewReady > 0 && 2*v.NewReady >= v.OtherReady }

// stepShifting settles once nothing runs on the other versions, in time for the term at the
// latest.
func (p *Plan) stepShifting(v View, stay Step) Step {
	if p.shiftedUs == 0 {
		p.shiftedUs = v.TimeUs
	}
	leftUs := v.termUs() - v.TimeUs
	ended := v.OtherActive == 0 && leftUs <= earliestSettleUs
	if v.TimeUs-p.shiftedUs < minShiftUs || !ended && leftUs > latestSettleUs {
		return stay
	}
	if leans := p.monitor.leans(); leans != "" {
		return Step{Stage: Reverted, Reason: "perhaps worse than the others: " + leans}
	}
	return Step{Stage: Settled, SharePerMille: perMille, Reason: "all requests are on it"}
}
