package rollout

import (
	"cmp"
	"slices"
)

// maxUnavailable returns how many of n runners may be unavailable at once, apart from those
// whose scheduled time has come.
func maxUnavailable(n int) int { return max(2, (n+2)/3) }

// deadlineUs returns the time by which an order must have been sent to a runner: the
// bound after the first named version that is newer than its weights. Each version counts
// from its own acknowledgement, so naming a later one does not postpone the deadline.
func (p *Plan) deadlineUs(j *job) int64 {
	for _, n := range p.namedVersions {
		if n.Version > j.version {
			return n.NamedUs + p.boundUs
		}
	}
	return p.scheduleStartUs + p.boundUs
}

// latestCordonUs returns the latest time at which a runner is cordoned, given how many
// runners are scheduled after it. These times are spread evenly between the start of the
// schedule and the deadline, so that few runners are unavailable at once.
func (p *Plan) latestCordonUs(j *job, laterRunners int) int64 {
	deadlineUs := p.deadlineUs(j)
	spacingUs := max(deadlineUs-p.scheduleStartUs, 0) / int64(len(p.jobs)+1)
	return deadlineUs - SettleUs - spacingUs*int64(laterRunners+1)
}

// advance drains and cordons runners: when their scheduled time has come, and earlier
// while the number of unavailable runners is below the limit.
func (p *Plan) advance(nowUs int64) {
	if !p.scheduleStarted {
		p.scheduleStarted, p.scheduleStartUs = true, nowUs
	}
	waiting := p.waitingJobs()
	unavailable, draining := p.countUnavailable()
	limit := min(maxUnavailable(len(p.jobs)), p.loads.limit(len(p.jobs)))
	for i, j := range waiting {
		cordonUs := p.latestCordonUs(j, len(waiting)-1-i)
		due := nowUs >= cordonUs
		drained := j.stage == Draining && nowUs-j.stageBeganUs >= DrainUs
		switch {
		case due, drained && unavailable < limit:
			if j.stage == Draining {
				draining--
			}
			unavailable++
			j.setStage(Cordoned, nowUs)
		case j.stage == Serving && (draining < limit || nowUs >= cordonUs-DrainUs):
			draining++
			j.setStage(Draining, nowUs)
		}
	}
}

// waitingJobs returns the jobs of runners that are not yet cordoned, in scheduled order: by
// deadline, then draining ones first, then by ID.
func (p *Plan) waitingJobs() []*job {
	var out []*job
	for _, j := range p.sortedJobs() {
		if j.stage == Serving || j.stage == Draining {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(p.deadlineUs(a), p.deadlineUs(b)), cmp.Compare(b.stage, a.stage))
	})
	return out
}

// countUnavailable counts the runners that are cordoned or ordered, and those that are
// draining. Runners that leave orders unanswered are not counted: they may have terminated.
func (p *Plan) countUnavailable() (unavailable, draining int) {
	for _, j := range p.jobs {
		switch j.stage {
		case Draining:
			draining++
		case Cordoned:
			unavailable++
		case Ordered:
			if !j.unresponsive() {
				unavailable++
			}
		case Serving, Completed:
		}
	}
	return unavailable, draining
}
