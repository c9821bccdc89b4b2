package rollout

import (
	"cmp"
	"slices"
)

// maxOut returns how many of n runners may be unavailable at once while no deadline is
// near.
func maxOut(n int) int { return max(2, (n+2)/3) }

// deadlineUs returns the time by which a runner must have been ordered: the bound after
// the first naming that is newer than its weights. Each version counts from its own
// acknowledgement, so a later naming postpones nothing.
func (p *Plan) deadlineUs(j *job) int64 {
	for _, n := range p.namings {
		if n.Version > j.version {
			return n.NamedUs + p.boundUs
		}
	}
	return p.startUs + p.boundUs
}

// turnUs returns the time at which a runner is cordoned at the latest, given how many
// runners have their turn after it. The turns are spread evenly between the start of
// the plan and the deadline, so that few runners are unavailable at once.
func (p *Plan) turnUs(j *job, fromLast int) int64 {
	deadlineUs := p.deadlineUs(j)
	spacingUs := max(deadlineUs-p.startUs, 0) / int64(len(p.jobs)+1)
	return deadlineUs - SettleUs - spacingUs*int64(fromLast+1)
}

// advance moves runners to their next stages: when their turn has come by the schedule,
// and earlier as long as enough other runners serve.
func (p *Plan) advance(nowUs int64) {
	if !p.prepared {
		p.prepared, p.startUs = true, nowUs
	}
	waiting := p.waiting()
	out, draining := p.out()
	limit := min(maxOut(len(p.jobs)), p.loads.limit(len(p.jobs)))
	for i, j := range waiting {
		turnUs := p.turnUs(j, len(waiting)-1-i)
		due := nowUs >= turnUs
		drained := j.stage == Draining && nowUs-j.sinceUs >= DrainUs
		switch {
		case due, drained && out < limit:
			if j.stage == Draining {
				draining--
			}
			out++
			j.move(Cordoned, nowUs)
		case j.stage == Serving && (draining < limit || nowUs >= turnUs-DrainUs):
			draining++
			j.move(Draining, nowUs)
		}
	}
}

// waiting returns the runners that are not yet cordoned, in the order of their turns: by
// deadline, then draining ones first, then by identity.
func (p *Plan) waiting() []*job {
	var out []*job
	for _, j := range p.sorted() {
		if j.stage == Serving || j.stage == Draining {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(p.deadlineUs(a), p.deadlineUs(b)), cmp.Compare(b.stage, a.stage))
	})
	return out
}

// out counts the runners that are cordoned or ordered, and those that drain. Silent ones
// are not counted: they may have ended.
func (p *Plan) out() (out, draining int) {
	for _, j := range p.jobs {
		switch j.stage {
		case Draining:
			draining++
		case Cordoned:
			out++
		case Ordered:
			if !j.silent() {
				out++
			}
		case Serving, Completed:
		}
	}
	return out, draining
}
