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

// testRunner is a runner that handles orders as the protocol defines: once ordered it
// begins no request, lets the running ones finish, and loads the weights.
type testRunner struct {
	version  int64
	holdUs   int64 // how long its requests run on after an order
	loadUs   int64
	lost     int // orders that are to be lost
	unacked  int // orders that are to be accepted without an answer
	target   int64
	readyUs  int64
	sequence int64
	orders   []int64 // when each order was accepted
	listed   Runner
}

// fleet is the runners of a model, and their records in the registry.
type fleet struct {
	runners map[string]*testRunner
	sent    int
	maxOut  int
}

func newFleet(n int, version, holdUs, loadUs int64) *fleet {
	f := &fleet{runners: map[string]*testRunner{}}
	for i := range n {
		id := fmt.Sprint("i-", i)
		f.runners[id] = &testRunner{version: version, holdUs: holdUs, loadUs: loadUs, listed: Runner{ID: id, Version: version}}
	}
	return f
}

func (f *fleet) list() []Runner {
	var out []Runner
	for _, r := range f.runners {
		out = append(out, r.listed)
	}
	return out
}

// tick completes the loads that are due.
func (f *fleet) tick(nowUs int64) {
	for _, r := range f.runners {
		if r.target > 0 && nowUs >= r.readyUs {
			r.version, r.target = r.target, 0
		}
	}
}

// handle returns the runner's answer to an order.
func (r *testRunner) handle(o Order, nowUs int64) Answer {
	if r.lost > 0 {
		r.lost--
		return NoAnswer
	}
	answer := Accepted
	switch {
	case r.target > 0, o.Expected != nil && *o.Expected != r.sequence:
		return Conflict
	case r.version >= o.Version:
		return AlreadyHolds
	default:
		r.target, r.readyUs = o.Version, nowUs+r.holdUs+r.loadUs
		r.sequence++
		r.orders = append(r.orders, nowUs)
	}
	if r.unacked > 0 {
		r.unacked--
		return NoAnswer
	}
	return answer
}

func (r *testRunner) report(nowUs int64) Report {
	return Report{Version: r.version, Busy: r.target > 0, Idle: r.target > 0 && nowUs >= r.readyUs-r.loadUs, Sequence: r.sequence}
}

// carryOut carries out the actions of a plan, as the controller does.
func (f *fleet) carryOut(p *Plan, a Actions, nowUs int64) {
	for _, c := range a.Cordons {
		f.runners[c.ID].listed.Cordoned, f.runners[c.ID].listed.Draining = c.Cordoned, c.Draining
	}
	for _, o := range a.Orders {
		f.sent++
		answer := f.runners[o.ID].handle(o, nowUs)
		p.Answered(o, answer, nowUs)
	}
	for _, id := range a.Poll {
		r := f.runners[id]
		report := r.report(nowUs)
		if !report.Busy {
			r.listed.Version = max(r.listed.Version, report.Version)
		}
		p.Reported(id, report, nowUs, nowUs)
	}
	out := 0
	for _, r := range f.runners {
		if r.listed.Cordoned {
			out++
		}
	}
	f.maxOut = max(f.maxOut, out)
}

// lastFirstOrder returns when the last runner got its first order; -1 if one has none.
func (f *fleet) lastFirstOrder() int64 {
	last := int64(0)
	for _, r := range f.runners {
		if len(r.orders) == 0 {
			return -1
		}
		last = max(last, r.orders[0])
	}
	return last
}

// play steps a plan for forUs from startUs under a lease that may act, or until the step
// after the last runner holds the weights.
func (f *fleet) play(p *Plan, namings []Naming, startUs, forUs int64) (endUs int64) {
	for now := startUs; now < startUs+forUs; now += stepUs {
		finished := p.Finished() && now > startUs
		f.tick(now)
		f.carryOut(p, p.Step(Input{NowUs: now, Namings: namings, Runners: f.list(), MayPrepare: true, MayOrder: true}), now)
		if finished {
			return now
		}
	}
	return startUs + forUs
}
