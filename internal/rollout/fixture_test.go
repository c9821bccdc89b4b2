package rollout

import (
	"fmt"

	"beechtide.org/beechtide/internal/lease"
)

const (
	ms      = int64(1_000)
	second  = 1_000 * ms
	stepUs  = 100 * ms
	boundUs = 5_500 * ms
)

var testTimes = lease.Times{LeaseUs: 3 * second, ActUs: 400 * ms, InFlightUs: 800 * ms}

// testRunner simulates a runner that handles orders as the protocol defines: after an
// order it starts no new requests, finishes the running ones, and loads the weights.
type testRunner struct {
	version       int64
	requestUs     int64 // how long its requests run on after an order
	loadUs        int64
	ordersToLose  int // number of orders to lose
	answersToLose int // number of orders to accept without an answer
	target        int64
	readyUs       int64
	sequence      int64
	acceptedUs    []int64 // when each order was accepted
	listed        Runner
}

// fleet holds the runners of a model and their records in the registry.
type fleet struct {
	runners     map[string]*testRunner
	ordersSent  int
	maxCordoned int
}

func newFleet(n int, version, requestUs, loadUs int64) *fleet {
	f := &fleet{runners: map[string]*testRunner{}}
	for i := range n {
		id := fmt.Sprint("i-", i)
		f.runners[id] = &testRunner{version: version, requestUs: requestUs, loadUs: loadUs, listed: Runner{ID: id, Version: version}}
	}
	return f
}

func (f *fleet) registryRunners() []Runner {
	var out []Runner
	for _, r := range f.runners {
		out = append(out, r.listed)
	}
	return out
}

// completeLoads completes the loads that are due by nowUs.
func (f *fleet) completeLoads(nowUs int64) {
	for _, r := range f.runners {
		if r.target > 0 && nowUs >= r.readyUs {
			r.version, r.target = r.target, 0
		}
	}
}

// handle applies an order to the runner and returns its answer.
func (r *testRunner) handle(o Order, nowUs int64) Answer {
	if r.ordersToLose > 0 {
		r.ordersToLose--
		return NoAnswer
	}
	answer := Accepted
	switch {
	case r.target > 0, o.Expected != nil && *o.Expected != r.sequence:
		return Conflict
	case r.version >= o.Version:
		return AlreadyLoaded
	default:
		r.target, r.readyUs = o.Version, nowUs+r.requestUs+r.loadUs
		r.sequence++
		r.acceptedUs = append(r.acceptedUs, nowUs)
	}
	if r.answersToLose > 0 {
		r.answersToLose--
		return NoAnswer
	}
	return answer
}

func (r *testRunner) report(nowUs int64) Report {
	return Report{Version: r.version, Busy: r.target > 0, Idle: r.target > 0 && nowUs >= r.readyUs-r.loadUs, Sequence: r.sequence}
}

// execute executes the actions of a plan as the controller does, and records the
// maximum number of cordoned runners.
func (f *fleet) execute(p *Plan, a Actions, nowUs int64) {
	for _, c := range a.Cordons {
		f.runners[c.ID].listed.Cordoned, f.runners[c.ID].listed.Draining = c.Cordoned, c.Draining
	}
	for _, o := range a.Orders {
		f.ordersSent++
		answer := f.runners[o.ID].handle(o, nowUs)
		p.RecordAnswer(o, answer, nowUs)
	}
	for _, id := range a.Poll {
		r := f.runners[id]
		report := r.report(nowUs)
		if !report.Busy {
			r.listed.Version = max(r.listed.Version, report.Version)
		}
		p.RecordReport(id, report, nowUs, nowUs)
	}
	cordoned := 0
	for _, r := range f.runners {
		if r.listed.Cordoned {
			cordoned++
		}
	}
	f.maxCordoned = max(f.maxCordoned, cordoned)
}

// lastFirstOrder returns when the last runner got its first order; -1 if a runner has
// got none.
func (f *fleet) lastFirstOrder() int64 {
	last := int64(0)
	for _, r := range f.runners {
		if len(r.acceptedUs) == 0 {
			return -1
		}
		last = max(last, r.acceptedUs[0])
	}
	return last
}

// run steps a plan for forUs from startUs with permission to send orders. It stops
// early, one step after the last runner holds the weights.
func (f *fleet) run(p *Plan, namedVersions []NamedVersion, startUs, forUs int64) (endUs int64) {
	for now := startUs; now < startUs+forUs; now += stepUs {
		finished := p.Finished() && now > startUs
		f.completeLoads(now)
		f.execute(p, p.Step(Input{NowUs: now, NamedVersions: namedVersions, Runners: f.registryRunners(), MayPrepare: true, MayOrder: true}), now)
		if finished {
			return now
		}
	}
	return startUs + forUs
}
