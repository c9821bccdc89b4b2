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

var testTimes = lease.Times{LeaseUs: 3 * second, ActUs: 400 * ms, SpareUs: 800 * ms}

// testRunner is a runner that takes orders as the protocol has it: it begins nothing
// while an order is under way, lets its runs end, and loads.
type testRunner struct {
	version  int64
	holdUs   int64 // how long its runs go on after an order
	loadUs   int64
	mute     int // orders that get no answer and are not taken
	deaf     int // orders that are taken and get no answer
	target   int64
	readyUs  int64
	sequence int64
	orders   []int64 // when each order came
	listed   Runner
}

// fleet is the runners of a model, and what the registry knows of them.
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

// tick ends loads.
func (f *fleet) tick(nowUs int64) {
	for _, r := range f.runners {
		if r.target > 0 && nowUs >= r.readyUs {
			r.version, r.target = r.target, 0
		}
	}
}

// take is a runner's answer to an order.
func (r *testRunner) take(o Order, nowUs int64) Answer {
	if r.mute > 0 {
		r.mute--
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
	if r.deaf > 0 {
		r.deaf--
		return NoAnswer
	}
	return answer
}

func (r *testRunner) report(nowUs int64) Report {
	return Report{Version: r.version, Busy: r.target > 0, Idle: r.target > 0 && nowUs >= r.readyUs-r.loadUs, Sequence: r.sequence}
}

// carryOut does what a plan asks for, as a driver would.
func (f *fleet) carryOut(p *Plan, a Actions, nowUs int64) {
	for _, c := range a.Cordons {
		f.runners[c.ID].listed.Cordoned, f.runners[c.ID].listed.Draining = c.Cordoned, c.Draining
	}
	for _, o := range a.Orders {
		f.sent++
		answer := f.runners[o.ID].take(o, nowUs)
		p.Answered(o, answer, nowUs)
	}
	for _, id := range a.Poll {
		r := f.runners[id]
		said := r.report(nowUs)
		if !said.Busy {
			r.listed.Version = max(r.listed.Version, said.Version)
		}
		p.Reported(id, said, nowUs, nowUs)
	}
	out := 0
	for _, r := range f.runners {
		if r.listed.Cordoned {
			out++
		}
	}
	f.maxOut = max(f.maxOut, out)
}

// firstOrders gives when the last runner got its first order.
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

// play steps a plan from startUs for forUs under a lease that may act, or to the step
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
