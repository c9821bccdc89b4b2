// Package rollout plans how runners come to the weights that were named: a few
// at a time. Each is first eased: no long request goes there any more, so that
// its runs end soon. Then it is taken from the candidates, given the time to
// begin what it was sent, ordered, and watched until it holds the new weights.
// Plan is pure; the controller that holds the duty carries it out.
package rollout

import "sort"

// Stage is how far a runner is.
type Stage int

// Stages of a runner.
const (
	Old Stage = iota
	Easing
	Barred
	Ordered
	Done
)

// Job is one runner's way.
type Job struct {
	ID      string
	Stage   Stage
	SinceUs int64
	Orders  int
}

// EaseUs is how long a runner gets no long requests before it gets none;
// SettleUs is how long a runner is left to begin what it was sent before the
// order; AgainUs after how long an order that shows no effect is repeated.
const (
	EaseUs   = 700_000
	SettleUs = 300_000
	AgainUs  = 4_000_000
)

// Plan is the roll-out of one model's weights at one service.
type Plan struct {
	Version int64
	Jobs    map[string]*Job
}

// NewPlan starts a roll-out.
func NewPlan(version int64) *Plan { return &Plan{Version: version, Jobs: map[string]*Job{}} }

// See takes the runners' versions as they are known now; who is gone is dropped.
func (p *Plan) See(versions map[string]int64, nowUs int64) {
	for id := range p.Jobs {
		if _, ok := versions[id]; !ok {
			delete(p.Jobs, id)
		}
	}
	for id, m := range versions {
		j := p.Jobs[id]
		if j == nil {
			j = &Job{ID: id}
			p.Jobs[id] = j
		}
		if m >= p.Version && j.Stage != Done {
			j.Stage, j.SinceUs = Done, nowUs
		}
	}
}

// AtOnce is how many runners may be out of the candidates together.
func AtOnce(n int) int { return max(2, (n+2)/3) }

// Next lists the runners to ease, to bar and to order now.
func (p *Plan) Next(nowUs int64) (ease, bar, order []string) {
	var ids []string
	out, easing := 0, 0
	for id, j := range p.Jobs {
		ids = append(ids, id)
		switch j.Stage {
		case Barred, Ordered:
			out++
		case Easing:
			easing++
		}
	}
	sort.Strings(ids)
	most := AtOnce(len(ids))
	for _, id := range ids {
		j := p.Jobs[id]
		switch {
		case j.Stage == Easing && nowUs-j.SinceUs >= EaseUs && out < most:
			out++
			easing--
			bar = append(bar, id)
		case j.Stage == Barred && nowUs-j.SinceUs >= SettleUs,
			j.Stage == Ordered && nowUs-j.SinceUs >= AgainUs:
			order = append(order, id)
		}
	}
	for _, id := range ids {
		if p.Jobs[id].Stage == Old && easing < most {
			easing++
			ease = append(ease, id)
		}
	}
	return ease, bar, order
}

// Move notes a new stage.
func (p *Plan) Move(id string, s Stage, nowUs int64) {
	if j := p.Jobs[id]; j != nil && j.Stage != Done {
		j.Stage, j.SinceUs = s, nowUs
		if s == Ordered {
			j.Orders++
		}
	}
}

// Finished tells whether all runners hold the weights.
func (p *Plan) Finished() bool {
	for _, j := range p.Jobs {
		if j.Stage != Done {
			return false
		}
	}
	return true
}
