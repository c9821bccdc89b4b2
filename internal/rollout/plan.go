// Package rollout plans the update of a model's runners to the newest named version of
// its weights, before the bound after which no request may start on older weights.
//
// # Input and output
//
// Plan covers one model. Plan.Step takes its runners and named versions, and returns
// which runners to drain of long requests, to cordon, to send an order, or to poll for
// their report. Shard holds the plans of all models of one register. Shard.Step takes
// the grant of the register's lease (internal/lease) and returns the actions of the
// plans under it. The caller carries out the actions and records their outcomes
// (Shard.RecordAnswer, Shard.RecordReport, Shard.RecordMissingReport).
//
// # Guarantees
//
// If the caller may send orders, an order for the newest weights is sent to every runner
// before the bound. Under order method hold, a runner that has received an order starts
// no more requests on its old weights. Only the time of the order is therefore bounded,
// not the duration of running requests or of loading the weights. The schedule is
// computed backwards from the bound: normally up to a third of the runners is
// unavailable at once and the next one waits until another is back, but a runner whose
// scheduled time has come is ordered however many are unavailable. Orders carry the
// fencing token of the lease and are returned only while the lease allows its holder to
// act.
//
// # Concurrency
//
// The package has no I/O and no clock: times are microseconds of the caller's monotonic
// clock, passed as arguments. No type is safe for concurrent use; the caller
// synchronizes access to a Shard.
package rollout

import (
	"cmp"
	"slices"
)

// Stage is the progress of one runner in a plan.
type Stage int

// Stages of a runner.
const (
	Serving   Stage = iota // has older weights and gets requests
	Draining               // gets no more long requests
	Cordoned               // gets no more requests
	Ordered                // an order was sent to it
	Completed              // holds the newest weights
)

// Delays of a plan, in microseconds.
const (
	// DrainUs is the time between draining a runner of long requests and cordoning it.
	DrainUs = int64(700_000)
	// SettleUs is the time between cordoning a runner and sending it an order, in which
	// requests already in flight to it can start.
	SettleUs = int64(300_000)
	// reportWaitUs is the maximum wait for the report of a runner that an earlier lease
	// holder cordoned. The report shows whether the runner was ordered already.
	reportWaitUs = int64(500_000)
	// reportLagUs is the maximum age of the state in a report when the report is sent.
	reportLagUs = int64(400_000)
	// minRetryUs is the initial backoff before an order is sent again.
	minRetryUs = int64(300_000)
	// maxRetryUs is the maximum backoff of an order.
	maxRetryUs = int64(2_500_000)
	// lostOrderUs is the time after which an accepted order is sent again if no report
	// shows it in progress.
	lostOrderUs = int64(4_000_000)
	// minPollUs is the poll interval of a runner that answers.
	minPollUs = int64(200_000)
	// maxPollUs is the maximum poll interval of a runner that does not answer.
	maxPollUs = int64(3_000_000)
)

// Plan is the rollout of one model's weights.
type Plan struct {
	boundUs         int64 // time after a version was named within which all orders are sent
	scheduleStartUs int64 // start of the schedule
	namedVersions   []NamedVersion
	jobs            map[string]*job
	runnersMerged   bool // the first list of runners has been merged
	scheduleStarted bool // the schedule has started
	loads           loadLimit
}

// NewPlan returns a plan that sends all orders within boundUs after a version was named.
func NewPlan(boundUs int64) *Plan { return &Plan{boundUs: boundUs, jobs: map[string]*job{}} }

// Step updates the plan from the current named versions and runners and returns the
// actions that are due.
func (p *Plan) Step(in Input) Actions {
	p.updateNamedVersions(in)
	p.updateRunners(in)
	var actions Actions
	if in.MayPrepare {
		p.advance(in.NowUs)
	}
	for _, r := range in.Runners {
		if desired := p.jobs[r.ID].cordon(); desired.Draining != r.Draining || desired.Cordoned != r.Cordoned {
			actions.Cordons = append(actions.Cordons, desired)
		}
	}
	for _, j := range p.sortedJobs() {
		if in.MayOrder && p.orderDue(j, in.NowUs) {
			actions.Orders = append(actions.Orders, p.createOrder(j, in.NowUs))
		}
		if p.pollDue(j, in.NowUs) {
			j.lastPollUs = in.NowUs
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
	if len(p.namedVersions) == 0 {
		return 0
	}
	return p.namedVersions[len(p.namedVersions)-1].Version
}

// updateNamedVersions restarts the schedule if a newer version was named. Completed runners
// return to Serving; the others keep their stages: a cordoned runner stays cordoned and
// its next order is for the newest version.
func (p *Plan) updateNamedVersions(in Input) {
	before := p.newest()
	p.namedVersions = slices.Clone(in.NamedVersions)
	slices.SortFunc(p.namedVersions, func(a, b NamedVersion) int { return cmp.Compare(a.Version, b.Version) })
	if p.newest() == before {
		return
	}
	p.scheduleStartUs = in.NowUs
	for _, j := range p.jobs {
		if j.stage == Completed {
			j.setStage(Serving, in.NowUs)
		}
	}
}

// updateRunners adds newly listed runners and removes those no longer listed.
func (p *Plan) updateRunners(in Input) {
	listedIDs := map[string]bool{}
	for _, r := range in.Runners {
		listedIDs[r.ID] = true
		j := p.jobs[r.ID]
		if j == nil {
			j = p.newJob(r, in.NowUs)
			p.jobs[r.ID] = j
		}
		j.version = max(j.version, r.Version)
		p.complete(j, in.NowUs)
	}
	for id := range p.jobs {
		if !listedIDs[id] {
			delete(p.jobs, id)
		}
	}
	p.runnersMerged = true
}

// newJob returns the job of a newly listed runner, in the stage that its registry state
// implies. A cordoned runner may have been ordered by an earlier lease holder; its
// report shows whether it was. A runner that registered after the first step is cordoned
// and due for an order at once.
func (p *Plan) newJob(r Runner, nowUs int64) *job {
	j := &job{id: r.ID, stageBeganUs: nowUs}
	switch {
	case r.Cordoned:
		j.stage, j.inherited = Cordoned, true
	case r.Draining:
		j.stage, j.stageBeganUs = Draining, nowUs-DrainUs
	case p.runnersMerged && r.NewlyRegistered:
		j.stage, j.stageBeganUs = Cordoned, nowUs-SettleUs
	}
	return j
}

// complete moves a runner that holds the newest weights to Completed.
func (p *Plan) complete(j *job, nowUs int64) {
	if j.stage == Completed || j.version < p.newest() {
		return
	}
	if j.stage == Ordered {
		p.loads.loadEnded(j.loadBeganUs, nowUs)
	}
	j.setStage(Completed, nowUs)
}

// sortedJobs returns the jobs sorted by runner ID.
func (p *Plan) sortedJobs() []*job {
	var out []*job
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
