package controller

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestAgeOfNamedWeightsCountsFromTheAcknowledgement(t *testing.T) {
	d, url, stop := core(t, t.TempDir(), freePort(t), true)
	defer stop()
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	acknowledgedUs := d.clock()
	until(t, func() bool { return d.clock()-acknowledgedUs > 300_000 })
	status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
	must.Eq(t, 200, status)
	nowUs := d.clock()
	must.GreaterEq(t, nowUs-acknowledgedUs, d.targets.of("m").AgeUs(nowUs), must.Sprint("a repeated call begins no new term"))
	ages := d.deltaSince(messages.SyncState{}).TargetAges
	must.Len(t, 1, ages)
	must.GreaterEq(t, nowUs-acknowledgedUs, ages[0].AgeUs)
	must.Eq(t, 2, ages[0].Version)
}

func TestRestartedControllerLearnsTheAgeFromThoseBelow(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := core(t, dir, port, true)
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	stop()
	d, _, stop := core(t, dir, port, false)
	defer stop()
	// Where the process ended before the commit was on disk, the value is accepted there,
	// and the read of all registers after the start finishes it.
	until(t, func() bool { return d.targets.of("m").Version == 2 })
	must.Eq(t, math.MaxInt64, d.targets.of("m").AgeUs(d.clock()), must.Sprint("recalled from disk without an age"))
	must.Negative(t, d.deltaSince(messages.SyncState{}).TargetAges[0].AgeUs)
	d.deltaSince(messages.SyncState{TargetAges: []messages.TargetAge{{Model: "m", Version: 2, AgeUs: 5_000_000}}})
	must.Between(t, 5_000_000, d.targets.of("m").AgeUs(d.clock()), 5_000_000+d.clock())
}

func TestRegisterThatChangesForOtherReasonsBeginsNoNewTerm(t *testing.T) {
	var n namedTargets
	list := []messages.Target{{Model: "m", Version: 2}}
	n.committed(list, true, 1)
	n.committed(list, false, 2_000_000)
	must.Eq(t, math.MaxInt64, n.of("m").AgeUs(2_000_000))
	n.committed([]messages.Target{{Model: "m", Version: 3}}, false, 3_000_000)
	n.committed([]messages.Target{{Model: "m", Version: 3}}, false, 4_000_000)
	must.Eq(t, 2_000_000, n.of("m").AgeUs(5_000_000))
}

func TestAllControllersKnowTheAge(t *testing.T) {
	nodes, url, _ := three(t)
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	for _, d := range nodes {
		until(t, func() bool {
			age := d.targets.of("m").AgeUs(d.clock())
			return d.targets.of("m").Version == 2 && age < d.clock()
		})
	}
}
