// The plan of a soak: which fault affects which component at what time, and which changes are
// submitted. It depends only on the seed and the shape.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ClosingFault affects all processes at once, after the last change.
type ClosingFault string

// The closing faults.
const (
	NoClosingFault ClosingFault = "none"
	KillAll        ClosingFault = "kill all processes"
	KillAllWipeOne ClosingFault = "kill all processes and wipe one controller"
)

// Plan is the schedule of one soak.
type Plan struct {
	Seed    uint64
	Faults  []Fault
	Core    []CoreFault
	Changes []PlannedChange
	Closing ClosingFault
}

// Shape configures the size of a soak.
type Shape struct {
	Routers     int
	Controllers int
	Runners     int
	Zones       int           // over which routers and controllers are spread; 0: one
	Duration    time.Duration // of the fault phase
	Overlap     int           // concurrent faults; 0: two or three, chosen by the seed
	Calm        bool          // no faults and no changes
}

const (
	maxOverlap      = 3
	minFault        = 200 * time.Millisecond
	maxFault        = 4 * time.Second
	maxFaultPause   = 1500 * time.Millisecond
	minCoreFaultGap = 6 * time.Second // between the beginnings of two faults of the core
	maxCoreFaultGap = 12 * time.Second
	maxCoreKill     = 900 * time.Millisecond // all processes of the core are back within a second
	minComponentGap = 2 * time.Second        // between two faults of one component
	minChangeGap    = 500 * time.Millisecond
	maxChangeGap    = 2500 * time.Millisecond
	drawAttempts    = 20
)

// NewPlan generates the plan of a seed.
func NewPlan(seed uint64, shape Shape) Plan {
	if shape.Calm {
		return Plan{Seed: seed, Closing: NoClosingFault}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	lanes := shape.Overlap
	if lanes == 0 {
		lanes = maxOverlap - random.IntN(2)
	}
	p := planner{random: random, shape: shape}
	core := p.coreFaults()
	for range lanes {
		p.fillLane()
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return int(a.At - b.At) })
	return Plan{Seed: seed, Faults: p.faults, Core: core, Changes: p.changes(), Closing: p.closing()}
}

type planner struct {
	random *rand.Rand
	shape  Shape
	faults []Fault
	wiped  bool
}

// fillLane adds consecutive faults; faults of different lanes overlap.
func (p *planner) fillLane() {
	at := p.between(0, maxFaultPause)
	for at < p.shape.Duration {
		fault, found := p.draw(at)
		if !found {
			at += minFault
			continue
		}
		p.faults = append(p.faults, fault)
		at += fault.For + p.between(0, maxFaultPause)
	}
}

// draw picks a random fault for a component that has no other fault at that time.
func (p *planner) draw(at time.Duration) (Fault, bool) {
	kinds := []FaultKind{
		KillRouter, PauseRouter, TerminateRouter, ReloadRouter, CutFront, KillController, PauseController,
		StopController, WipeController, CutControl, LoseControl, CrashRunner, LeaveRunner, CutRunner, LoseRunner, LeaveUndrained, LeaveUndrained, FloodRunner, FloodRunner,
	}
	for range drawAttempts {
		kind := kinds[p.random.IntN(len(kinds))]
		fault := Fault{Kind: kind, Subject: p.random.IntN(p.count(kind.Component())), At: at, For: p.between(minFault, maxFault)}
		if p.isBusy(fault) || kind == WipeController && p.wiped {
			continue
		}
		p.wiped = p.wiped || kind == WipeController
		return fault, true
	}
	return Fault{}, false
}

// coreFaults picks the faults of the core. They overlap with those of single components.
func (p *planner) coreFaults() []CoreFault {
	kinds := []CoreFaultKind{KillCore, KillCore, PauseCore}
	if p.shape.Zones > 1 {
		kinds = append(kinds, SilenceZones, SilenceZones, SilenceZones)
	}
	var faults []CoreFault
	for at := p.between(minCoreFaultGap/2, maxCoreFaultGap); at < p.shape.Duration; at += p.between(minCoreFaultGap, maxCoreFaultGap) {
		fault := CoreFault{Kind: kinds[p.random.IntN(len(kinds))], At: at, For: p.between(minFault, maxCoreKill)}
		if fault.Kind != KillCore {
			fault.For = p.between(maxCoreKill, maxFault)
		}
		if fault.Kind == SilenceZones {
			fault.Spared = p.random.IntN(p.shape.Controllers)
			fault.Wipe = !p.wiped && p.random.IntN(2) == 0
			p.wiped = p.wiped || fault.Wipe
		}
		faults = append(faults, fault)
	}
	return faults
}

func (p *planner) count(component ComponentKind) int {
	switch component {
	case ComponentRouter:
		return p.shape.Routers
	case ComponentController:
		return p.shape.Controllers
	default:
		return p.shape.Runners
	}
}

func (p *planner) isBusy(fault Fault) bool {
	for _, other := range p.faults {
		sameComponent := other.Kind.Component() == fault.Kind.Component() && other.Subject == fault.Subject
		apart := fault.At >= other.latestEnd()+minComponentGap || other.At >= fault.latestEnd()+minComponentGap
		if sameComponent && !apart {
			return true
		}
	}
	return false
}

func (p *planner) changes() []PlannedChange {
	kinds := []ChangeKind{SmallChange, SmallChange, LargeChange, RacingChange, RepeatChange, SetTargetWeights}
	var changes []PlannedChange
	for at := p.between(0, minChangeGap); at < p.shape.Duration; at += p.between(minChangeGap, maxChangeGap) {
		changes = append(changes, PlannedChange{Kind: kinds[p.random.IntN(len(kinds))], At: at})
	}
	return changes
}

// closing picks the closing fault. At most one data directory is wiped in a plan.
func (p *planner) closing() ClosingFault {
	kinds := []ClosingFault{NoClosingFault, KillAll, KillAllWipeOne}
	kind := kinds[p.random.IntN(len(kinds))]
	if kind == KillAllWipeOne && p.wiped {
		return KillAll
	}
	return kind
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}
