package rollout

import (
	"testing"

	"github.com/shoenig/test/must"
)

var namedAtStart = []Naming{{Version: 2, NamedUs: 1}}

func TestMostRunnersKeepServingBeforeDeadline(t *testing.T) {
	f := newFleet(9, 1, 300*ms, 400*ms)
	p := NewPlan(boundUs)
	end := f.play(p, namedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.LessEq(t, maxOut(9), f.maxOut)
	must.Less(t, boundUs+second, end)
	must.Eq(t, 9, f.sent, must.Sprint("one order for each runner"))
	for _, r := range f.runners {
		must.False(t, r.listed.Cordoned)
		must.False(t, r.listed.Draining)
	}
}

// Three batches of runners with streams of 20 s do not fit before the bound. All orders
// are sent in time nevertheless, and not all at the last moment.
func TestAllOrdersAreSentBeforeBoundDespiteLongStreams(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, boundUs/2)
	half := 0
	for _, r := range f.runners {
		half += len(r.orders)
	}
	must.Between(t, 3, half, 6)
	f.play(p, namedAtStart, 1+boundUs/2, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
	must.Eq(t, 9, f.sent)
}

func TestSlowRunnersDoNotDelayOthers(t *testing.T) {
	f := newFleet(9, 1, 200*ms, 300*ms)
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		f.runners[id].holdUs *= 100
	}
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
}

func TestLatePlanOrdersAllAtOnce(t *testing.T) {
	f := newFleet(9, 1, second, 400*ms)
	p := NewPlan(boundUs)
	start := 1 + boundUs + second
	f.play(p, namedAtStart, start, 60*second)
	must.Eq(t, start, f.lastFirstOrder())
}

// Each version counts from its own acknowledgement: a later one postpones nothing.
func TestLaterNamingDoesNotPostponeOrders(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, second)
	f.play(p, []Naming{{2, 1}, {3, 1 + second}}, 1+second, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
}

// Runners that serve on version 1 go straight to 3; one that was ordered to load 2 stays
// cordoned in between.
func TestPlanForNewerVersionInheritsStages(t *testing.T) {
	f := newFleet(9, 1, 500*ms, 500*ms)
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, 1_500*ms)
	ordered := map[string]bool{}
	for id := range f.runners {
		ordered[id] = p.StageOf(id) == Ordered
	}
	must.Positive(t, f.sent)
	namings := []Naming{{2, 1}, {3, 1_500 * ms}}
	for now := 1_500 * ms; now < 60*second && !p.Finished(); now += stepUs {
		f.tick(now)
		f.carryOut(p, p.Step(Input{NowUs: now, Namings: namings, Runners: f.list(), MayPrepare: true, MayOrder: true}), now)
		for id, was := range ordered {
			if was && f.runners[id].version < 3 {
				must.True(t, f.runners[id].listed.Cordoned, must.Sprint(id, " was uncordoned on version 2"))
			}
		}
	}
	must.True(t, p.Finished())
	for id, r := range f.runners {
		must.Eq(t, int64(3), r.version)
		if !ordered[id] {
			must.Len(t, 1, r.orders)
		}
	}
}

func TestUnansweredOrdersAreRetried(t *testing.T) {
	f := newFleet(1, 1, 0, 400*ms)
	f.runners["i-0"].lost = 2
	p := NewPlan(boundUs)
	end := f.play(p, namedAtStart, 1, 60*second)
	must.Eq(t, 3, f.sent)
	must.Less(t, 4*second, end)
}

// An order that was accepted without an answer is not sent a second time: the report
// shows that it is carried out.
func TestOrderAcceptedWithoutAnswerIsNotSentTwice(t *testing.T) {
	f := newFleet(1, 1, 3*second, 400*ms)
	f.runners["i-0"].unacked = 1
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.Len(t, 1, f.runners["i-0"].orders)
}

func TestRunnerOfUnknownVersionIsPolledAndOrdered(t *testing.T) {
	f := newFleet(3, 1, 0, 400*ms)
	f.runners["i-0"].listed.Version = 0
	f.runners["i-1"].listed.Version, f.runners["i-1"].version = 0, 2
	p := NewPlan(boundUs)
	a := p.Step(Input{NowUs: 1, Namings: namedAtStart, Runners: f.list()})
	must.Eq(t, []string{"i-0", "i-1"}, a.Poll)
	f.play(p, namedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.SliceEmpty(t, f.runners["i-1"].orders)
	must.Len(t, 1, f.runners["i-0"].orders)
}

func TestFreshRunnerOnOlderWeightsIsOrderedAtOnce(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, second)
	f.runners["new"] = &testRunner{version: 1, loadUs: second, listed: Runner{ID: "new", Version: 1, Fresh: true}}
	f.play(p, namedAtStart, 1+second, 2*stepUs)
	must.Len(t, 1, f.runners["new"].orders)
}

// A successor finds runners cordoned by the previous holder. It polls those first, and
// orders only the ones that were not ordered.
func TestSuccessorResumesWithoutOrderingTwice(t *testing.T) {
	for stopUs := stepUs; stopUs < 8*second; stopUs += stepUs {
		f := newFleet(9, 1, 4*second, 500*ms)
		f.play(NewPlan(boundUs), namedAtStart, 1, stopUs)
		for waited := int64(0); waited < 2*second; waited += stepUs {
			f.tick(stopUs + waited)
		}
		f.play(NewPlan(boundUs), namedAtStart, 1+stopUs+2*second, 60*second)
		for id, r := range f.runners {
			must.Eq(t, int64(2), r.version, must.Sprint(id, " when the holder was lost at ", stopUs))
			must.Len(t, 1, r.orders, must.Sprint(id, " when the holder was lost at ", stopUs))
		}
		must.Eq(t, 9, f.sent, must.Sprint("no order is wasted; holder lost at ", stopUs))
	}
}

func TestRemovedRunnersAreDropped(t *testing.T) {
	f := newFleet(2, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.play(p, namedAtStart, 1, 2*second)
	must.False(t, p.Finished())
	p.Step(Input{NowUs: 3 * second, Namings: namedAtStart})
	must.True(t, p.Finished())
}

func TestSlowConcurrentLoadsLowerTheLimit(t *testing.T) {
	var l loadLimit
	must.Eq(t, 9, l.limit(9))
	for range 3 {
		l.begun()
	}
	l.ended(1, second)
	must.Eq(t, 9, l.limit(9))
	l.ended(1, 5*second)
	must.Eq(t, 1, l.limit(9))
}
