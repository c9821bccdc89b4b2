package registry

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestMarkSuspectMakesRunnerStaleUntilNextHeartbeat(t *testing.T) {
	r, limits := New(), SilenceLimits{QueryUs: 3, StaleUs: 5, LostUs: 20}
	r.ApplyHeartbeat(recordAt("x", "1:1", 1), 100)
	r.ApplyHeartbeat(recordAt("y", "2:1", 1), 100)
	r.MarkSuspect("x", limits)
	must.Len(t, 1, r.Sweep(101, limits, true))
	must.True(t, r.Snapshot().ByID["x"].Stale)
	must.False(t, r.ApplyHeartbeat(recordAt("x", "1:1", 1), 102), must.Sprint("a late heartbeat is ignored"))
	must.True(t, r.ApplyHeartbeat(recordAt("x", "1:1", 2), 103))
	must.SliceEmpty(t, r.Sweep(104, limits, true))
	must.False(t, r.Snapshot().ByID["x"].Stale)
}

func TestMarkSuspectAloneNeverMakesRunnerLost(t *testing.T) {
	r, limits := New(), SilenceLimits{QueryUs: 3, StaleUs: 5, LostUs: 20}
	r.ApplyHeartbeat(recordAt("x", "1:1", 1), 100)
	for range 100 {
		r.MarkSuspect("x", limits)
		r.Sweep(101, limits, true)
	}
	must.MapContainsKey(t, r.Snapshot().ByID, "x")
}
