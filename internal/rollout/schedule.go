package rollout

import (
	"cmp"
	"slices"
)

// maxOut is how many of n runners are out together while there is time.
func maxOut(n int) int { return max(2, (n+2)/3) }

// deadlineUs is when a runner must have been ordered: the bound after the first
// naming that is newer than its weights. Each version is judged from its own
// acknowledgement, so a later naming puts nothing off.
func (p *Plan) deadlineUs(j *job) int64 {
	for _, n := range p.namings {
		if n.Version > j.version {
			return n.NamedUs + p.boundUs
		}
	}
	return p.startUs + p.boundUs
}

// turnUs is when a runner that is k-th from the last of those still to be ordered
// has its turn at the latest. The turns are spread evenly over the time from the
// start of the plan to the deadline, so that few are out at once.
func (p *Plan) turnUs(j *job, fromLast int) int64 {
	deadlineUs := p.deadlineUs(j)
	spacingUs := max(deadlineUs-p.startUs, 0) / int64(len(p.jobs)+1)
	return deadlineUs - SettleUs - spacingUs*int64(fromLast+1)
}

// advance moves runners towards their orders: by the schedule whoever is out, and
// otherwise as far as enough others serve.
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
		eased := j.stage == Draining && nowUs-j.sinceUs >= DrainUs
		switch {
		case due, eased && out < limit:
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

// waiting lists the runners that are still to be cordoned, in the order of their
// turns: by deadline, then those that drain, then by identity.
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

// out counts the runners that get no requests for their orders, and those that
// drain. One that does not answer is not counted: it may be gone.
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
