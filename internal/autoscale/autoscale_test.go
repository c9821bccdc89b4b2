package autoscale

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	ms     = int64(1_000)
	second = 1_000 * ms
	stepUs = 100 * ms
)

// fleet simulates a service whose runners are ready StartupUs after an order and terminate at
// once.
type fleet struct {
	plan        *Plan
	service     Service
	starting    map[string][]int64 // by zone, when ordered runners become ready
	nowUs       int64
	orders      []Order
	demandKnown bool
	steady      bool

	runnerSeconds float64 // runner-seconds of all runners present
	unmetSeconds  float64 // runner-seconds of demand in excess of the runners present
}

func newFleet(zones, each int) *fleet {
	f := &fleet{plan: NewPlan(Defaults), service: Service{Name: "s", Floor: 4, Ceiling: 40, StartupUs: 8 * second}, starting: map[string][]int64{}, nowUs: 1, demandKnown: true, steady: true}
	for i := range zones {
		f.service.Zones = append(f.service.Zones, Zone{Name: string(rune('a' + i)), Present: each})
	}
	return f
}

// run steps the plan for forUs under the given demand of each zone.
func (f *fleet) run(forUs int64, demand func(zone int, nowUs int64) float64) {
	for end := f.nowUs + forUs; f.nowUs < end; f.nowUs += stepUs {
		for i := range f.service.Zones {
			z := &f.service.Zones[i]
			z.Demand = demand(i, f.nowUs)
			f.completeStarts(z)
			f.runnerSeconds += float64(z.Present) * float64(stepUs) / float64(second)
			f.unmetSeconds += max(z.Demand-float64(z.Present), 0) * float64(stepUs) / float64(second)
		}
		for _, order := range f.plan.Step(View{NowUs: f.nowUs, Services: []Service{f.service}, DemandKnown: f.demandKnown, Steady: f.steady}) {
			f.applyOrder(order)
		}
	}
}

func (f *fleet) completeStarts(z *Zone) {
	waiting := f.starting[z.Name]
	for len(waiting) > 0 && waiting[0] <= f.nowUs {
		waiting = waiting[1:]
		z.Present++
	}
	f.starting[z.Name] = waiting
}

func (f *fleet) applyOrder(order Order) {
	f.orders = append(f.orders, order)
	for i := range f.service.Zones {
		z := &f.service.Zones[i]
		if z.Name != order.Zone {
			continue
		}
		z.Ordered = order.Desired
		for z.Present+len(f.starting[z.Name]) < order.Desired {
			f.starting[z.Name] = append(f.starting[z.Name], f.nowUs+f.service.StartupUs)
		}
		if z.Present > order.Desired {
			z.Present = order.Desired
		}
	}
}

func constant(demand float64) func(int, int64) float64 {
	return func(int, int64) float64 { return demand }
}

func TestSpareRunnersAreRemovedDownToFloor(t *testing.T) {
	f := newFleet(3, 10)
	f.run(3*second, constant(0.5))
	must.SliceEmpty(t, f.orders, must.Sprint("the demand has not been known for long enough"))
	f.run(120*second, constant(0.5))
	for _, z := range f.service.Zones {
		must.Eq(t, f.service.Floor, z.Present)
	}
	for _, order := range f.orders {
		must.Eq(t, Falling, order.Reason)
	}
	must.Less(t, 4*3+1, len(f.orders))
	before := len(f.orders)
	f.run(60*second, constant(0.5))
	must.Len(t, before, f.orders, must.Sprint("no order if the number of runners does not change"))
}

func TestRisingDemandIsMetAtOnce(t *testing.T) {
	f := newFleet(3, 10)
	f.run(10*second, constant(3))
	f.run(2*second, constant(7))
	for _, z := range f.service.Zones {
		must.GreaterEq(t, 12, z.Ordered)
	}
	f.run(20*second, constant(7))
	must.Zero(t, f.unmetSeconds)
	for _, z := range f.service.Zones {
		must.Between(t, 7/Defaults.ZoneLossUtilization, float64(z.Present), float64(f.service.Ceiling))
	}
}

func TestRisingDemandIsForecast(t *testing.T) {
	f := newFleet(2, 6)
	f.run(10*second, constant(2.4))
	ramp := func(_ int, nowUs int64) float64 { return 2.4 + 0.2*float64(nowUs-10*second)/float64(second) }
	f.run(60*second, ramp)
	must.Zero(t, f.unmetSeconds)
	for _, z := range f.service.Zones {
		must.GreaterEq(t, z.Demand/Defaults.ZoneLossUtilization, float64(z.Present))
	}
}

// After the loss of a zone, the remaining zones must have enough runners for the total
// demand without starting more.
func TestRemainingZonesCoverDemandAfterZoneLoss(t *testing.T) {
	f := newFleet(3, 20)
	f.run(300*second, constant(4))
	left := 0
	for _, z := range f.service.Zones[1:] {
		left += z.Present
	}
	must.GreaterEq(t, 12.0, float64(left))
}

func TestNothingIsRemovedWhileDemandIsUnknown(t *testing.T) {
	f := newFleet(2, 10)
	f.run(2*second, constant(2))
	f.demandKnown = false
	f.run(200*second, constant(0))
	must.SliceEmpty(t, f.orders)
	f.demandKnown, f.steady = true, false
	f.run(200*second, constant(0))
	must.SliceEmpty(t, f.orders)
}

// While weights are rolled out, the remaining runners may exceed the target utilization
// for a short time. More runners are ordered only if the demand exceeds their capacity.
func TestModerateOverloadDuringRolloutOrdersNoRunners(t *testing.T) {
	f := newFleet(1, 10)
	f.run(10*second, constant(4))
	f.steady = false
	f.run(10*second, constant(5))
	must.SliceEmpty(t, f.orders)
	f.run(10*second, constant(9.5))
	must.Positive(t, len(f.orders))
}

// Runners that disappear without an order, as in the loss of a zone, must not cause the
// removal of others.
func TestNothingIsRemovedWhileRunnersAreMissing(t *testing.T) {
	f := newFleet(3, 10)
	f.run(30*second, constant(1))
	for i := range f.service.Zones {
		must.Positive(t, f.service.Zones[i].Ordered)
	}
	f.service.Zones[0].Present = 0
	before := len(f.orders)
	f.run(100*second, constant(0.2))
	must.Len(t, before, f.orders)
}

func TestOrdersStayWithinBounds(t *testing.T) {
	f := newFleet(1, 10)
	f.run(20*second, constant(100))
	must.Eq(t, f.service.Ceiling, f.service.Zones[0].Ordered)
	must.Eq(t, Bounded, f.orders[len(f.orders)-1].Reason)
	f = newFleet(1, 2)
	f.run(second, constant(0))
	must.Eq(t, f.service.Floor, f.service.Zones[0].Ordered)
}

// Under waves, steps and bursts with noise, the plan must use at most 95 % of the
// runner-seconds of a fixed number of runners for the peak, and leave less than 1 % of the
// demand unmet.
func TestPlanTracksWavesStepsAndBursts(t *testing.T) {
	const zones, playUs = 3, 1800 * second
	for name, shape := range map[string]func(nowUs int64) float64{
		"wave": func(nowUs int64) float64 {
			return 6 + 5*math.Sin(2*math.Pi*float64(nowUs)/float64(600*second))
		},
		"steps": func(nowUs int64) float64 { return 2 + 6*float64(nowUs/(300*second)%2) },
		"bursts": func(nowUs int64) float64 {
			if nowUs%(200*second) < 15*second {
				return 6
			}
			return 2.5
		},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(11, 3))
			f := newFleet(zones, 22)
			peak, total := 0.0, 0.0
			f.run(playUs, func(_ int, nowUs int64) float64 {
				demand := max(shape(nowUs)*(1+0.1*random.NormFloat64()), 0)
				peak, total = max(peak, shape(nowUs)), total+demand*float64(stepUs)/float64(second)
				return demand
			})
			fixed := peak / Defaults.TargetUtilization * zones * float64(playUs) / float64(second)
			t.Logf("%.0f runner-seconds, %.0f with a fixed number; %.2f of %.0f not met; %d orders", f.runnerSeconds, fixed, f.unmetSeconds, total, len(f.orders))
			must.Less(t, 0.95*fixed, f.runnerSeconds)
			must.Less(t, 0.01*total, f.unmetSeconds)
		})
	}
}

func TestUtilizationIsThatOfScarcestResource(t *testing.T) {
	must.Zero(t, Load{}.Utilization())
	must.Eq(t, 0.5, Load{Slots: 6, SlotsTotal: 12, Blocks: 10, BlocksTotal: 100}.Utilization())
	must.Eq(t, 1.5, Load{Slots: 6, SlotsTotal: 12, Flow: 30_000, Rate: 0.02}.Utilization())
}
