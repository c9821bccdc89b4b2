// Package rollout brings the runners of a model to the weights version that was named
// for it, before the bound after which nothing may begin on older weights.
//
// # What it is given and what it returns
//
// Plan is the plan for one model. Given its runners and named versions, Plan.Step
// returns which runners are drained of long requests, cordoned, sent an order, or
// polled for their report. Shard is one controller's part in the singleton role for
// all models of one register: given a View, Shard.Step returns when to acquire the
// lease, when to have it confirmed by a majority, and the actions of the plans under
// it. The caller carries them out and reports the outcomes (Acquired, Confirmed,
// Answered, Reported, NotReported).
//
// # What it guarantees
//
// If its caller may send orders, an order for the newest weights has gone out to every
// runner before the bound. Under method hold a runner that was ordered begins nothing
// more on its old weights, so that the time of the order is the only one that counts;
// how long its running requests or the loading of the weights take does not. The plan
// is made backwards from the bound: ordinarily a third of the runners is out at once
// and the next one waits until another is back; a runner whose turn has come by the
// schedule is ordered whoever else is out. Orders carry the fencing token of the lease
// and are returned only while the lease allows its holder to act.
//
// # Who owns which state
//
// Everything here is pure: times are microseconds of the caller's monotonic clock,
// given as arguments. No type is safe for concurrent use; controller.rolloutManager
// guards its shards with a mutex.
package rollout

import (
	"cmp"
	"slices"
)

// Stage is the progress of one runner in a plan.
type Stage int

// Stages of a runner.
const (
	Serving   Stage = iota // on older weights, and gets requests
	Draining               // gets no more long requests
	Cordoned               // gets no more requests
	Ordered                // was sent an order
	Completed              // holds the newest weights
)

// Delays of a plan, in microseconds.
const (
	// DrainUs is how long a runner gets no long requests before it is cordoned.
	DrainUs = int64(700_000)
	// SettleUs is how long a cordoned runner has to begin the requests in flight to
	// it before it is sent an order.
	SettleUs = int64(300_000)
	// reportWaitUs is how long the plan waits for the report of a runner that an
	// earlier holder has cordoned, which says whether it was ordered already.
	reportWaitUs = int64(500_000)
	// reportLagUs is the maximum age of a report's content when it is sent.
	reportLagUs = int64(400_000)
	// retryUs is the initial backoff of an order that got no answer, or no clear one.
	retryUs = int64(300_000)
	// maxRetryUs is the maximum backoff of an order.
	maxRetryUs = int64(2_500_000)
	// lostOrderUs is the time after which an accepted order is sent again if no
	// report shows it.
	lostOrderUs = int64(4_000_000)
	// pollUs is the poll interval of a runner that was ordered.
	pollUs = int64(200_000)
	// maxPollUs is the maximum poll interval of a runner that does not answer.
	maxPollUs = int64(3_000_000)
)

// Plan is the rollout of one model's weights.
type Plan struct {
	boundUs  int64 // after a naming, by when all orders have gone out
	startUs  int64 // from when the schedule spreads the turns
	namings  []Naming
	jobs     map[string]*job
	started  bool // the first list of runners has been merged
	prepared bool // the schedule has begun
	loads    loadLimit
}

// NewPlan returns a plan that sends all orders within boundUs after a naming.
func NewPlan(boundUs int64) *Plan { return &Plan{boundUs: boundUs, jobs: map[string]*job{}} }

// Step updates the plan from the current namings and runners and returns what the
// caller has to do.
func (p *Plan) Step(in Input) Actions {
	p.updateNamings(in)
	p.updateRunners(in)
	var actions Actions
	if in.MayPrepare {
		p.advance(in.NowUs)
	}
	for _, r := range in.Runners {
		if want := p.jobs[r.ID].cordon(); want.Draining != r.Draining || want.Cordoned != r.Cordoned {
			actions.Cordons = append(actions.Cordons, want)
		}
	}
	for _, j := range p.sorted() {
		if in.MayOrder && p.orderDue(j, in.NowUs) {
			actions.Orders = append(actions.Orders, p.send(j, in.NowUs))
		}
		if p.pollDue(j, in.NowUs) {
			j.polledUs = in.NowUs
			actions.Poll = append(actions.Poll, j.id)
		}
	}
	return actions
}

// Finished reports whether all runners hold the newest weights.
func (p *Plan) Finished() bool {
	for _, j := range p.jobs {
		if j.stage != Completed {
			return false
		}
	}
	return true
}

// StageOf returns the stage of a runner; Serving if it is not in the plan.
func (p *Plan) StageOf(id string) Stage {
	if j := p.jobs[id]; j != nil {
		return j.stage
	}
	return Serving
}

// newest returns the newest named version; 0 if there is none.
func (p *Plan) newest() int64 {
	if len(p.namings) == 0 {
		return 0
	}
	return p.namings[len(p.namings)-1].Version
}

// updateNamings restarts the schedule if a newer version was named. Runners keep their
// stages: a cordoned one stays cordoned and is ordered to the newest version next.
func (p *Plan) updateNamings(in Input) {
	before := p.newest()
	p.namings = slices.Clone(in.Namings)
	slices.SortFunc(p.namings, func(a, b Naming) int { return cmp.Compare(a.Version, b.Version) })
	if p.newest() == before {
		return
	}
	p.startUs = in.NowUs
	for _, j := range p.jobs {
		if j.stage == Completed {
			j.move(Serving, in.NowUs)
		}
	}
}

// updateRunners adds the runners that are new and removes those that are gone.
func (p *Plan) updateRunners(in Input) {
	listed := map[string]bool{}
	for _, r := range in.Runners {
		listed[r.ID] = true
		j := p.jobs[r.ID]
		if j == nil {
			j = p.adopt(r, in.NowUs)
			p.jobs[r.ID] = j
		}
		j.version = max(j.version, r.Version)
		p.complete(j, in.NowUs)
	}
	for id := range p.jobs {
		if !listed[id] {
			delete(p.jobs, id)
		}
	}
	p.started = true
}

// adopt returns the job of a runner in the state in which an earlier holder left it. A
// cordoned runner may have been ordered already; its report says so.
func (p *Plan) adopt(r Runner, nowUs int64) *job {
	j := &job{id: r.ID, sinceUs: nowUs}
	switch {
	case r.Cordoned:
		j.stage, j.inherited = Cordoned, true
	case r.Draining:
		j.stage, j.sinceUs = Draining, nowUs-DrainUs
	case p.started && r.Fresh:
		j.stage, j.sinceUs = Cordoned, nowUs-SettleUs
	}
	return j
}

// complete moves a runner that holds the newest weights to the last stage.
func (p *Plan) complete(j *job, nowUs int64) {
	if j.stage == Completed || j.version < p.newest() {
		return
	}
	if j.stage == Ordered {
		p.loads.ended(j.loadUs, nowUs)
	}
	j.move(Completed, nowUs)
}

// sorted returns the jobs in the order of their runners' identities.
func (p *Plan) sorted() []*job {
	var out []*job
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
