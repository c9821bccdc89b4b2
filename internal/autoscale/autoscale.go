// Package autoscale decides how many runners a service is to have in each zone.
//
// It tracks a target: the demand of a zone is the number of runners that its requests
// would keep busy all the time, in whichever of slots, cache memory and prefill time is the
// scarcest at each runner, and so many runners are wanted that each is busy for TargetLoad
// of its time. More are ordered at once, and ahead of a rise by what demand grows while
// a runner starts. Fewer are ordered slowly: by the highest demand of a while, never below
// what the remaining zones need if one is lost, and not while the demand is not known, the
// core is unstable or weights are rolled out.
//
// A Plan is pure: times are whole microseconds given as arguments. It is not safe for
// concurrent use.
package autoscale

import (
	"math"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Config are the parameters of a plan; Defaults has their defaults. Times are
// microseconds.
type Config struct {
	TargetLoad   float64 // busy time of a runner that is aimed at
	LossLoad     float64 // that is accepted after the loss of a zone
	Hysteresis   float64 // part by which the busy time may differ before more or fewer are ordered
	SmoothUs     int64   // time constant of the average that demand is taken for
	PeakUs       int64   // time constant with which a peak is forgotten
	ObserveUs    int64   // for how long demand is known before fewer runners are ordered
	GrowHoldUs   int64   // how long after an order of more none of fewer follows
	ShrinkHoldUs int64   // the least time between two orders of fewer in a zone
	MostShrink   float64 // the part of a zone's runners that one order removes at most
}

// Defaults are the default parameters.
var Defaults = Config{
	TargetLoad: 0.5, LossLoad: 0.8, Hysteresis: 0.15, SmoothUs: 1_000_000, PeakUs: 60_000_000, ObserveUs: 4_000_000,
	GrowHoldUs: 60_000_000, ShrinkHoldUs: 20_000_000, MostShrink: 0.25,
}

// Reason is why a number of runners is ordered.
type Reason string

// Reasons for an order.
const (
	Rising   Reason = "demand"       // the demand needs more
	Falling  Reason = "spare"        // fewer are enough
	Bounded  Reason = "bounds"       // the number was outside floor and ceiling
	ZoneLoss Reason = "loss of zone" // the remaining zones could not bear the loss of one
)

// Order is a number of runners that a zone is to have.
type Order struct {
	messages.Setpoint
	Reason Reason
}

// Key names a service in a zone.
type Key struct{ Service, Zone string }

// Plan remembers the demand.
type Plan struct {
	config  Config
	zones   map[Key]*zoneState
	knownUs int64 // since when the demand is known; 0 while it is not
	grownUs map[string]int64
}

// zoneState is the demand of a zone over time.
type zoneState struct {
	atUs     int64
	smooth   float64 // average
	slow     float64 // average over a longer time: the difference is the trend
	peak     float64
	shrunkUs int64
}

// slowFactor is how much longer than SmoothUs the slow average looks back.
const slowFactor = 4

// NewPlan returns a plan.
func NewPlan(config Config) *Plan {
	return &Plan{config: config, zones: map[Key]*zoneState{}, grownUs: map[string]int64{}}
}

// Step returns the orders that are due now, by service and zone.
func (p *Plan) Step(v View) []Order {
	switch {
	case !v.Known:
		p.knownUs = 0
	case p.knownUs == 0:
		p.knownUs = v.NowUs
	}
	var orders []Order
	for _, s := range v.Services {
		if v.Known {
			p.observe(v.NowUs, s)
		}
		for _, z := range s.Zones {
			if order, due := p.order(v, s, z); due {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// observe takes the demand of each zone.
func (p *Plan) observe(nowUs int64, s Service) {
	for _, z := range s.Zones {
		state := p.zones[Key{s.Name, z.Name}]
		if state == nil {
			state = &zoneState{atUs: nowUs, smooth: z.Demand, slow: z.Demand}
			p.zones[Key{s.Name, z.Name}] = state
		}
		passed := float64(nowUs - state.atUs)
		state.atUs = nowUs
		smoothUs := float64(p.config.SmoothUs)
		state.smooth += (z.Demand - state.smooth) * (1 - math.Exp(-passed/smoothUs))
		state.slow += (z.Demand - state.slow) * (1 - math.Exp(-passed/smoothUs/slowFactor))
		state.peak = max(state.smooth, state.peak*math.Exp(-passed/float64(p.config.PeakUs)))
	}
}

// forecast is the demand of a zone once a runner that is ordered now serves.
func (p *Plan) forecast(state *zoneState, bootUs int64) float64 {
	slopePerUs := (state.smooth - state.slow) / float64((slowFactor-1)*p.config.SmoothUs)
	return state.smooth + max(slopePerUs, 0)*float64(bootUs)
}

// order returns the order for a zone, if one is due.
func (p *Plan) order(v View, s Service, z Zone) (Order, bool) {
	state := p.zones[Key{s.Name, z.Name}]
	if state == nil || z.Present+z.Ordered == 0 {
		return Order{}, false
	}
	current := z.Ordered
	if current == 0 {
		current = z.Present
	}
	wanted, reason := p.wanted(s, state, 1)
	least, _ := p.wanted(s, state, p.growAt(v))
	most, _ := p.wanted(s, state, 1+p.config.Hysteresis)
	switch {
	case !v.Known:
		return Order{}, false
	case least > current:
		p.grownUs[s.Name] = v.NowUs
	case most < current && p.mayShrink(v, s, z, state):
		wanted = max(wanted, current-max(int(float64(current)*p.config.MostShrink), 1))
		state.shrunkUs, reason = v.NowUs, Falling
	default:
		return Order{}, false
	}
	return Order{messages.Setpoint{Service: s.Name, Zone: z.Name, Desired: wanted}, reason}, true
}

// growAt returns the part of the demand that must need more runners before more are
// ordered. Where runners are cordoned for a rollout or the core has changed, the others
// are busier for a short while, and only what they could not bear counts.
func (p *Plan) growAt(v View) float64 {
	if v.Steady {
		return 1 - p.config.Hysteresis
	}
	return p.config.TargetLoad / p.config.LossLoad
}

// wanted returns how many runners a zone needs for so many times its demand, and what for.
func (p *Plan) wanted(s Service, state *zoneState, times float64) (runners int, reason Reason) {
	forecast := max(p.forecast(state, s.BootUs), state.peak)
	runners, reason = int(math.Ceil(times*forecast/p.config.TargetLoad)), Rising
	if needed := p.afterLoss(s, times); needed > runners {
		runners, reason = needed, ZoneLoss
	}
	if bounded := min(max(runners, s.Floor), s.Ceiling); bounded != runners {
		runners, reason = bounded, Bounded
	}
	return runners, reason
}

// afterLoss returns how many runners each zone needs so that all the others bear the loss
// of one.
func (p *Plan) afterLoss(s Service, times float64) int {
	if len(s.Zones) < 2 {
		return 0
	}
	total := 0.0
	for _, z := range s.Zones {
		if state := p.zones[Key{s.Name, z.Name}]; state != nil {
			total += state.peak
		}
	}
	return int(math.Ceil(times * total / float64(len(s.Zones)-1) / p.config.LossLoad))
}

// mayShrink reports whether a zone may get fewer runners now.
func (p *Plan) mayShrink(v View, s Service, z Zone, state *zoneState) bool {
	grownUs, grown := p.grownUs[s.Name]
	missing := slices.ContainsFunc(s.Zones, func(other Zone) bool { return other.Present*2 < other.Ordered })
	switch {
	case !v.Steady, missing, z.Present < z.Ordered:
		return false
	case v.NowUs-p.knownUs < p.config.ObserveUs:
		return false
	case grown && v.NowUs-grownUs < p.config.GrowHoldUs:
		return false
	}
	return state.shrunkUs == 0 || v.NowUs-state.shrunkUs >= p.config.ShrinkHoldUs
}
