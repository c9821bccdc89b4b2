package controller

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestTargetAgeCountsFromFirstAcknowledgement(t *testing.T) {
	d, url, stop := startSingleController(t, t.TempDir(), freePort(t), true)
	defer stop()
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	acknowledgedUs := d.clock()
	waitUntil(t, func() bool { return d.clock()-acknowledgedUs > 300_000 })
	status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
	must.Eq(t, 200, status)
	nowUs := d.clock()
	must.GreaterEq(t, nowUs-acknowledgedUs, d.targets.newest("m").AgeUs(nowUs), must.Sprint("a repeated call does not reset the age"))
	ages := d.deltaSince(messages.SyncState{}).TargetAges
	must.Len(t, 1, ages)
	must.GreaterEq(t, nowUs-acknowledgedUs, ages[0].AgeUs)
	must.Eq(t, 2, ages[0].Version)
}

func TestRestartedControllerReceivesTargetAgeFromSubscribers(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := startSingleController(t, dir, port, true)
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	stop()
	d, _, stop := startSingleController(t, dir, port, false)
	defer stop()
	// If the process ended before the commit was on disk, the value is stored as accepted, and the
	// read of all registers after the start completes it.
	waitUntil(t, func() bool { return d.targets.newest("m").Version == 2 })
	must.Eq(t, math.MaxInt64, d.targets.newest("m").AgeUs(d.clock()), must.Sprint("restored from disk without an age"))
	must.Negative(t, d.deltaSince(messages.SyncState{}).TargetAges[0].AgeUs)
	d.deltaSince(messages.SyncState{TargetAges: []messages.TargetAge{{Model: "m", Version: 2, AgeUs: 5_000_000}}})
	must.Between(t, 5_000_000, d.targets.newest("m").AgeUs(d.clock()), 5_000_000+d.clock())
}

func TestRecordCommittedDoesNotResetAgeOfKnownVersion(t *testing.T) {
	var n namedTargets
	list := []messages.Target{{Model: "m", Version: 2}}
	n.recordCommitted(list, true, 1)
	n.recordCommitted(list, false, 2_000_000)
	must.Eq(t, math.MaxInt64, n.newest("m").AgeUs(2_000_000))
	n.recordCommitted([]messages.Target{{Model: "m", Version: 3}}, false, 3_000_000)
	n.recordCommitted([]messages.Target{{Model: "m", Version: 3}}, false, 4_000_000)
	must.Eq(t, 2_000_000, n.newest("m").AgeUs(5_000_000))
}

func TestTargetAgeReachesAllControllers(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/version-put", `{"model":"m","version":2}`, 0)
		return status == 200
	})
	for _, d := range nodes {
		waitUntil(t, func() bool {
			age := d.targets.newest("m").AgeUs(d.clock())
			return d.targets.newest("m").Version == 2 && age < d.clock()
		})
	}
}
