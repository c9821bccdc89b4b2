package rollout

import (
	"testing"

	"github.com/shoenig/test/must"
)

var versionNamedAtStart = []NamedVersion{{Version: 2, NamedUs: 1}}

func TestUnavailableRunnersStayWithinLimitBeforeDeadline(t *testing.T) {
	f := newFleet(9, 1, 300*ms, 400*ms)
	p := NewPlan(boundUs)
	end := f.run(p, versionNamedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.LessEq(t, maxUnavailable(9), f.maxCordoned)
	must.Less(t, boundUs+second, end)
	must.Eq(t, 9, f.ordersSent, must.Sprint("one order for each runner"))
	for _, r := range f.runners {
		must.False(t, r.listed.Cordoned)
		must.False(t, r.listed.Draining)
	}
}

// With streams of 20 s, three batches of runners cannot finish one after another before
// the bound. All orders must still be sent in time, spread over the available time.
func TestAllOrdersAreSentBeforeBoundDespiteLongStreams(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, boundUs/2)
	half := 0
	for _, r := range f.runners {
		half += len(r.acceptedUs)
	}
	must.Between(t, 3, half, 6)
	f.run(p, versionNamedAtStart, 1+boundUs/2, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
	must.Eq(t, 9, f.ordersSent)
}

func TestSlowRunnersDoNotDelayOthers(t *testing.T) {
	f := newFleet(9, 1, 200*ms, 300*ms)
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		f.runners[id].requestUs *= 100
	}
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
}

func TestPlanStartedAfterDeadlineOrdersAllRunnersAtOnce(t *testing.T) {
	f := newFleet(9, 1, second, 400*ms)
	p := NewPlan(boundUs)
	start := 1 + boundUs + second
	f.run(p, versionNamedAtStart, start, 60*second)
	must.Eq(t, start, f.lastFirstOrder())
}

// The deadline of a version counts from its own acknowledgement: naming a later version
// must not postpone it.
func TestLaterVersionDoesNotPostponeOrders(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, second)
	f.run(p, []NamedVersion{{2, 1}, {3, 1 + second}}, 1+second, 60*second)
	must.Between(t, 1, f.lastFirstOrder(), boundUs)
}

// When version 3 is named during the rollout of version 2, runners that still serve
// version 1 are ordered to version 3 directly. One that was ordered to load version 2
// stays cordoned until it holds version 3.
func TestNewerVersionKeepsStagesOfOrderedRunners(t *testing.T) {
	f := newFleet(9, 1, 500*ms, 500*ms)
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, 1_500*ms)
	ordered := map[string]bool{}
	for id := range f.runners {
		ordered[id] = p.StageOf(id) == Ordered
	}
	must.Positive(t, f.ordersSent)
	namings := []NamedVersion{{2, 1}, {3, 1_500 * ms}}
	for now := 1_500 * ms; now < 60*second && !p.Finished(); now += stepUs {
		f.completeLoads(now)
		f.execute(p, p.Step(Input{NowUs: now, NamedVersions: namings, Runners: f.registryRunners(), MayPrepare: true, MayOrder: true}), now)
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
			must.Len(t, 1, r.acceptedUs)
		}
	}
}

func TestUnansweredOrdersAreRetried(t *testing.T) {
	f := newFleet(1, 1, 0, 400*ms)
	f.runners["i-0"].ordersToLose = 2
	p := NewPlan(boundUs)
	end := f.run(p, versionNamedAtStart, 1, 60*second)
	must.Eq(t, 3, f.ordersSent)
	must.Less(t, 4*second, end)
}

// An order whose answer was lost must not be sent a second time when the runner's report
// shows it in progress.
func TestOrderAcceptedWithoutAnswerIsNotSentTwice(t *testing.T) {
	f := newFleet(1, 1, 3*second, 400*ms)
	f.runners["i-0"].answersToLose = 1
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.Len(t, 1, f.runners["i-0"].acceptedUs)
}

func TestRunnerOfUnknownVersionIsPolledAndOrdered(t *testing.T) {
	f := newFleet(3, 1, 0, 400*ms)
	f.runners["i-0"].listed.Version = 0
	f.runners["i-1"].listed.Version, f.runners["i-1"].version = 0, 2
	p := NewPlan(boundUs)
	a := p.Step(Input{NowUs: 1, NamedVersions: versionNamedAtStart, Runners: f.registryRunners()})
	must.Eq(t, []string{"i-0", "i-1"}, a.Poll)
	f.run(p, versionNamedAtStart, 1, 60*second)
	must.True(t, p.Finished())
	must.SliceEmpty(t, f.runners["i-1"].acceptedUs)
	must.Len(t, 1, f.runners["i-0"].acceptedUs)
}

func TestNewlyRegisteredRunnerOnOlderWeightsIsOrderedAtOnce(t *testing.T) {
	f := newFleet(9, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, second)
	f.runners["new"] = &testRunner{version: 1, loadUs: second, listed: Runner{ID: "new", Version: 1, NewlyRegistered: true}}
	f.run(p, versionNamedAtStart, 1+second, 2*stepUs)
	must.Len(t, 1, f.runners["new"].acceptedUs)
}

// A new lease holder finds runners cordoned by the previous one, which may have ordered
// them. It must poll them first and order only those without an order. The previous
// holder is stopped at every step of the first 8 s.
func TestNewHolderResumesWithoutOrderingTwice(t *testing.T) {
	for stopUs := stepUs; stopUs < 8*second; stopUs += stepUs {
		f := newFleet(9, 1, 4*second, 500*ms)
		f.run(NewPlan(boundUs), versionNamedAtStart, 1, stopUs)
		for waited := int64(0); waited < 2*second; waited += stepUs {
			f.completeLoads(stopUs + waited)
		}
		f.run(NewPlan(boundUs), versionNamedAtStart, 1+stopUs+2*second, 60*second)
		for id, r := range f.runners {
			must.Eq(t, int64(2), r.version, must.Sprint(id, " when the holder stopped at ", stopUs))
			must.Len(t, 1, r.acceptedUs, must.Sprint(id, " when the holder stopped at ", stopUs))
		}
		must.Eq(t, 9, f.ordersSent, must.Sprint("orders in total when the holder stopped at ", stopUs))
	}
}

func TestUnlistedRunnersAreRemovedFromPlan(t *testing.T) {
	f := newFleet(2, 1, 20*second, 400*ms)
	p := NewPlan(boundUs)
	f.run(p, versionNamedAtStart, 1, 2*second)
	must.False(t, p.Finished())
	p.Step(Input{NowUs: 3 * second, NamedVersions: versionNamedAtStart})
	must.True(t, p.Finished())
}

func TestSlowConcurrentLoadsLowerLoadLimit(t *testing.T) {
	var l loadLimit
	must.Eq(t, 9, l.limit(9))
	for range 3 {
		l.loadBegan()
	}
	l.loadEnded(1, second)
	must.Eq(t, 9, l.limit(9))
	l.loadEnded(1, 5*second)
	must.Eq(t, 1, l.limit(9))
}
