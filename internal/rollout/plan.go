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

// Naming is a version of a model's weights, and when it was acknowledged on the
// clock of the caller. A moment that is not known is given as one long past.
type Naming struct {
	Version int64
	NamedUs int64
}

// Runner is what is known of one runner of the model.
type Runner struct {
	ID       string
	Version  int64 // of its weights; 0 where it is not known
	Cordoned bool
	Draining bool // gets no long requests
	Fresh    bool // has registered for the first time just now
}

// Input is what a step of a plan is given.
type Input struct {
	NowUs      int64
	Namings    []Naming
	Runners    []Runner
	MayPrepare bool // the caller may send orders soon
	MayOrder   bool // the caller may send orders now
}

// Order is an order to be sent to a runner.
type Order struct {
	ID       string
	Version  int64
	Expected *int64 // the sequence at the runner, where it is known
}

// Cordon is what the registry is to show of a runner; neither frees it.
type Cordon struct {
	ID       string
	Draining bool // no long requests
	Cordoned bool // none at all
}

// Actions are what a step asks for.
type Actions struct {
	Cordons []Cordon
	Orders  []Order
	Poll    []string // runners to be asked for their report
}

// Stage is how far a runner is.
type Stage int

// Stages of a runner.
const (
	Serving   Stage = iota // on older weights, and used
	Draining               // gets no more long requests
	Cordoned               // gets no more requests
	Ordered                // was sent an order
	Completed              // holds the newest weights
)

// Waits of a plan, in microseconds.
const (
	// DrainUs is how long a runner gets no long requests before it gets none.
	DrainUs = int64(700_000)
	// SettleUs is how long a cordoned runner is left to begin what it was sent.
	SettleUs = int64(300_000)
	// reportWaitUs is how long a runner that another holder has cordoned is asked
	// whether it is under order already.
	reportWaitUs = int64(500_000)
	// reportLagUs is how old a report may be when it is given.
	reportLagUs = int64(400_000)
	// retryUs is after how long an order that got no answer, or no clear one, is
	// sent again; longer after each.
	retryUs = int64(300_000)
	// maxRetryUs bounds that wait.
	maxRetryUs = int64(2_500_000)
	// lostOrderUs is after how long an accepted order of which reports show
	// nothing is sent again.
	lostOrderUs = int64(4_000_000)
	// pollUs is the time between reports of a runner that is waited for.
	pollUs = int64(200_000)
	// maxPollUs is the same for a runner that does not answer.
	maxPollUs = int64(3_000_000)
)

// Plan is the roll-out of one model's weights.
type Plan struct {
	boundUs  int64 // after a naming, by when all orders have gone out
	startUs  int64 // from when the schedule spreads the turns
	namings  []Naming
	jobs     map[string]*job
	started  bool // runners have been taken in
	prepared bool // the schedule runs
	loads    loadLimit
}

// NewPlan begins a plan that has all orders sent boundUs after a naming.
func NewPlan(boundUs int64) *Plan { return &Plan{boundUs: boundUs, jobs: map[string]*job{}} }

// Step takes what is known now and says what is to be done.
func (p *Plan) Step(in Input) Actions {
	p.takeNamings(in)
	p.takeRunners(in)
	var a Actions
	if in.MayPrepare {
		p.advance(in.NowUs)
	}
	for _, r := range in.Runners {
		if want := p.jobs[r.ID].cordon(); want.Draining != r.Draining || want.Cordoned != r.Cordoned {
			a.Cordons = append(a.Cordons, want)
		}
	}
	for _, j := range p.sorted() {
		if in.MayOrder && p.orderDue(j, in.NowUs) {
			a.Orders = append(a.Orders, p.send(j, in.NowUs))
		}
		if p.pollDue(j, in.NowUs) {
			j.polledUs = in.NowUs
			a.Poll = append(a.Poll, j.id)
		}
	}
	return a
}

// Finished tells whether all runners hold the newest weights.
func (p *Plan) Finished() bool {
	for _, j := range p.jobs {
		if j.stage != Completed {
			return false
		}
	}
	return true
}

// StageOf tells how far a runner is.
func (p *Plan) StageOf(id string) Stage {
	if j := p.jobs[id]; j != nil {
		return j.stage
	}
	return Serving
}

func (p *Plan) newest() int64 {
	if len(p.namings) == 0 {
		return 0
	}
	return p.namings[len(p.namings)-1].Version
}

// takeNamings begins the schedule anew where a newer version was named. Runners
// keep their stages: one that is out stays out and gets the newest weights next.
func (p *Plan) takeNamings(in Input) {
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

// takeRunners drops the runners that are gone and takes in those that are new.
func (p *Plan) takeRunners(in Input) {
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

// adopt begins with a runner where another holder has left it. One that is
// cordoned may be under order already, which its report tells.
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

func (p *Plan) sorted() []*job {
	var out []*job
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
