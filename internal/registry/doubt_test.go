package registry

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestDoubtMakesRunnerStaleUntilNextHeartbeat(t *testing.T) {
	r, after := New(), Silence{AskUs: 3, StaleUs: 5, LostUs: 20}
	r.ApplyHeartbeat(at("x", "1:1", 1), 100)
	r.ApplyHeartbeat(at("y", "2:1", 1), 100)
	r.Doubt("x", after)
	must.Len(t, 1, r.Sweep(101, after, true))
	must.True(t, r.Snapshot().ByID["x"].Stale)
	must.False(t, r.ApplyHeartbeat(at("x", "1:1", 1), 102), must.Sprint("a late heartbeat says nothing"))
	must.True(t, r.ApplyHeartbeat(at("x", "1:1", 2), 103))
	must.SliceEmpty(t, r.Sweep(104, after, true))
	must.False(t, r.Snapshot().ByID["x"].Stale)
}

func TestDoubtAloneNeverMakesRunnerLost(t *testing.T) {
	r, after := New(), Silence{AskUs: 3, StaleUs: 5, LostUs: 20}
	r.ApplyHeartbeat(at("x", "1:1", 1), 100)
	for range 100 {
		r.Doubt("x", after)
		r.Sweep(101, after, true)
	}
	must.MapContainsKey(t, r.Snapshot().ByID, "x")
}
