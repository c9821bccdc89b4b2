// Package autoscale computes how many runners each service needs in each zone. The
// controllers step a Plan and publish its orders as setpoints.
//
// It tracks a target utilization. The demand of a zone is the number of runners that its
// requests would fully utilize, by the scarcest resource of each runner: slots, cache
// memory or prefill time. The number of runners is chosen so that each is utilized to
// TargetUtilization. Scaling up is immediate, and follows the demand forecast for the time at
// which a new runner is ready. Scaling down is gradual: it follows a slowly decaying peak
// of the demand, leaves enough runners for the other zones to serve the demand if one zone
// is lost, and is suspended while the demand is unknown, the core is unstable or weights
// are rolled out.
//
// The package has no I/O and no clock: times are whole microseconds, passed as arguments. A
// Plan is not safe for concurrent use.
package autoscale

import (
	"math"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Config holds the parameters of a plan. Times are in microseconds.
type Config struct {
	TargetUtilization   float64 // target utilization of a runner
	ZoneLossUtilization float64 // acceptable utilization after the loss of a zone
	Hysteresis          float64 // relative deviation of the utilization that triggers no order
	SmoothingUs         int64   // time constant of the average demand
	PeakDecayUs         int64   // time constant of the decay of the peak demand
	MinObservationUs    int64   // minimum time for which the demand is known before scaling down
	GrowthCooldownUs    int64   // minimum time between scaling a service up and scaling it down
	ShrinkCooldownUs    int64   // minimum time between scaling a zone down twice
	MaxShrinkFraction   float64 // maximum fraction of a zone's runners that one order removes
}

// Defaults are the default parameters.
var Defaults = Config{
	TargetUtilization: 0.5, ZoneLossUtilization: 0.8, Hysteresis: 0.15, SmoothingUs: 1_000_000, PeakDecayUs: 60_000_000, MinObservationUs: 4_000_000,
	GrowthCooldownUs: 60_000_000, ShrinkCooldownUs: 20_000_000, MaxShrinkFraction: 0.25,
}

// Reason is the reason for an order.
type Reason string

// Reasons for an order.
const (
	Rising   Reason = "demand"       // the demand requires more runners
	Falling  Reason = "spare"        // fewer runners are sufficient
	Bounded  Reason = "bounds"       // the number is limited by floor or ceiling
	ZoneLoss Reason = "loss of zone" // the remaining zones could not serve the demand without one zone
)

// Order is the desired number of a service's runners in a zone.
type Order struct {
	messages.Setpoint
	Reason Reason
}

// Key identifies a service in a zone.
type Key struct{ Service, Zone string }

// Plan computes orders from the demand over time.
type Plan struct {
	config             Config
	zones              map[Key]*zoneState
	demandKnownSinceUs int64            // since when the demand is known; 0 while it is not
	lastGrowthUs       map[string]int64 // by service, when more runners were last due
}

// zoneState is the demand of a service in a zone over time.
type zoneState struct {
	observedUs   int64
	average      float64 // exponential average with time constant SmoothingUs
	slowAverage  float64 // the same with a longer time constant; the difference shows the trend
	peak         float64 // decaying maximum of the average
	lastShrinkUs int64   // when fewer runners were last ordered; 0 if never
}

// slowFactor is the ratio of the slow average's time constant to SmoothingUs.
const slowFactor = 4

// NewPlan returns a plan.
func NewPlan(config Config) *Plan {
	return &Plan{config: config, zones: map[Key]*zoneState{}, lastGrowthUs: map[string]int64{}}
}

// Step updates the demand and returns the orders that are due, in the order of the view's
// services and zones.
func (p *Plan) Step(v View) []Order {
	switch {
	case !v.DemandKnown:
		p.demandKnownSinceUs = 0
	case p.demandKnownSinceUs == 0:
		p.demandKnownSinceUs = v.NowUs
	}
	var orders []Order
	for _, s := range v.Services {
		if v.DemandKnown {
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

// observe updates the averages and the peak of each zone of a service.
func (p *Plan) observe(nowUs int64, s Service) {
	for _, z := range s.Zones {
		state := p.zones[Key{s.Name, z.Name}]
		if state == nil {
			state = &zoneState{observedUs: nowUs, average: z.Demand, slowAverage: z.Demand}
			p.zones[Key{s.Name, z.Name}] = state
		}
		elapsedUs := float64(nowUs - state.observedUs)
		state.observedUs = nowUs
		smoothUs := float64(p.config.SmoothingUs)
		state.average += (z.Demand - state.average) * (1 - math.Exp(-elapsedUs/smoothUs))
		state.slowAverage += (z.Demand - state.slowAverage) * (1 - math.Exp(-elapsedUs/smoothUs/slowFactor))
		state.peak = max(state.average, state.peak*math.Exp(-elapsedUs/float64(p.config.PeakDecayUs)))
	}
}

// forecast returns the expected demand of a zone when a runner that is ordered now is ready.
func (p *Plan) forecast(state *zoneState, bootUs int64) float64 {
	slopePerUs := (state.average - state.slowAverage) / float64((slowFactor-1)*p.config.SmoothingUs)
	return state.average + max(slopePerUs, 0)*float64(bootUs)
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
	required, reason := p.requiredRunners(s, state, 1)
	minimum, _ := p.requiredRunners(s, state, p.growthThreshold(v))
	maximum, _ := p.requiredRunners(s, state, 1+p.config.Hysteresis)
	switch {
	case !v.DemandKnown:
		return Order{}, false
	case minimum > current:
		p.lastGrowthUs[s.Name] = v.NowUs
	case maximum < current && p.mayScaleDown(v, s, z, state):
		required = max(required, current-max(int(float64(current)*p.config.MaxShrinkFraction), 1))
		state.lastShrinkUs, reason = v.NowUs, Falling
	default:
		return Order{}, false
	}
	return Order{messages.Setpoint{Service: s.Name, Zone: z.Name, Desired: required}, reason}, true
}

// growthThreshold returns the factor of the demand at which more runners are ordered: those
// present must be too few for this fraction of it. While runners are cordoned for a rollout or
// the core is unstable, the other runners have a higher utilization for a short time, so more
// are ordered only if it would exceed ZoneLossUtilization.
func (p *Plan) growthThreshold(v View) float64 {
	if v.Steady {
		return 1 - p.config.Hysteresis
	}
	return p.config.TargetUtilization / p.config.ZoneLossUtilization
}

// requiredRunners returns how many runners a zone needs for its demand times a factor, and
// which constraint determines the number.
func (p *Plan) requiredRunners(s Service, state *zoneState, factor float64) (runners int, reason Reason) {
	forecast := max(p.forecast(state, s.StartupUs), state.peak)
	runners, reason = int(math.Ceil(factor*forecast/p.config.TargetUtilization)), Rising
	if needed := p.runnersForZoneLoss(s, factor); needed > runners {
		runners, reason = needed, ZoneLoss
	}
	if bounded := min(max(runners, s.Floor), s.Ceiling); bounded != runners {
		runners, reason = bounded, Bounded
	}
	return runners, reason
}

// runnersForZoneLoss returns how many runners each zone needs so that the remaining zones can
// serve the total demand at a utilization of ZoneLossUtilization after the loss of one zone; 0
// for a service in a single zone.
func (p *Plan) runnersForZoneLoss(s Service, factor float64) int {
	if len(s.Zones) < 2 {
		return 0
	}
	total := 0.0
	for _, z := range s.Zones {
		if state := p.zones[Key{s.Name, z.Name}]; state != nil {
			total += state.peak
		}
	}
	return int(math.Ceil(factor * total / float64(len(s.Zones)-1) / p.config.ZoneLossUtilization))
}

// mayScaleDown reports whether a zone may be scaled down now.
func (p *Plan) mayScaleDown(v View, s Service, z Zone, state *zoneState) bool {
	lastGrowthUs, hasGrown := p.lastGrowthUs[s.Name]
	missing := slices.ContainsFunc(s.Zones, func(other Zone) bool { return other.Present*2 < other.Ordered })
	switch {
	case !v.Steady, missing, z.Present < z.Ordered:
		return false
	case v.NowUs-p.demandKnownSinceUs < p.config.MinObservationUs:
		return false
	case hasGrown && v.NowUs-lastGrowthUs < p.config.GrowthCooldownUs:
		return false
	}
	return state.lastShrinkUs == 0 || v.NowUs-state.lastShrinkUs >= p.config.ShrinkCooldownUs
}
