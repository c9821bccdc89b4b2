package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testShape = Shape{Routers: 3, Controllers: 3, Runners: 3, Zones: 3, Duration: 30 * time.Second}

func TestNewPlanReturnsSamePlanForSameSeed(t *testing.T) {
	must.Eq(t, NewPlan(7, testShape), NewPlan(7, testShape))
	must.NotEq(t, NewPlan(7, testShape), NewPlan(8, testShape))
}

func TestNewPlanSeparatesFaultsOfOneComponent(t *testing.T) {
	overlapping := 0
	for seed := range uint64(200) {
		faults := NewPlan(seed, testShape).Faults
		for i, fault := range faults {
			must.Less(t, testShape.Duration, fault.At)
			for _, later := range faults[i+1:] {
				sameParty := later.Kind.Component() == fault.Kind.Component() && later.Subject == fault.Subject
				must.False(t, sameParty && later.At < fault.latestEnd(), must.Sprint(seed, fault, later))
				if later.At < fault.At+fault.For {
					overlapping++
				}
			}
		}
	}
	must.Greater(t, 200, overlapping)
}

func TestNewPlanWipesAtMostOneDisk(t *testing.T) {
	for seed := range uint64(200) {
		plan := NewPlan(seed, testShape)
		must.SliceNotEmpty(t, plan.Changes)
		wiped := 0
		for _, fault := range plan.Faults {
			if fault.Kind == WipeController {
				wiped++
			}
		}
		for _, fault := range plan.Core {
			if fault.Wipe {
				wiped++
			}
		}
		if plan.Closing == KillAllWipeOne {
			wiped++
		}
		must.LessEq(t, 1, wiped, must.Sprint("the tolerance is one machine, so a plan may wipe one data directory at most"))
	}
}

func TestNewPlanPlaysAllFaultsOfTheCore(t *testing.T) {
	count := map[CoreFaultKind]int{}
	for seed := range uint64(100) {
		for _, fault := range NewPlan(seed, testShape).Core {
			count[fault.Kind]++
			if fault.Kind == KillCore {
				must.LessEq(t, time.Second, fault.For, must.Sprint("the core is back within a second"))
			}
		}
		oneZone := testShape
		oneZone.Zones = 1
		for _, fault := range NewPlan(seed, oneZone).Core {
			must.NotEq(t, SilenceZones, fault.Kind)
		}
	}
	for _, kind := range []CoreFaultKind{KillCore, PauseCore, SilenceZones} {
		must.Positive(t, count[kind], must.Sprint(kind))
	}
}
