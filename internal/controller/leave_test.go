package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Some runners leave without draining first.
func TestLeaveWithoutDrainingIsAcknowledgedAndFinal(t *testing.T) {
	d, url, stop := startSingleController(t, t.TempDir(), freePort(t), true)
	defer stop()
	beat := func(sequence int, state string) int {
		body := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:9","zone":"a","version":"v","capacity":8,"state":%q,"coldLeftMs":0,"models":[{"name":"m","version":1}],"sequence":%d}`, state, sequence)
		status, _ := call(t, "POST", url+"/api/Runners.Heartbeat/i-1", body, 0)
		return status
	}
	must.Eq(t, 200, beat(1, "ready"))
	must.MapContainsKey(t, d.registry.Snapshot().ByID, "i-1")
	for range 2 {
		status, _ := call(t, "POST", url+"/api/Runners.Leave/i-1", "", 0)
		must.Eq(t, 200, status)
		must.MapNotContainsKey(t, d.registry.Snapshot().ByID, "i-1")
	}
	must.True(t, d.ackedDrains.acked["i-1 gone"], must.Sprint("acknowledged only after a majority has recorded it"))
	for sequence, state := range []string{"draining", "ready", "ready", "draining"} {
		must.Eq(t, 200, beat(sequence, state))
		must.MapNotContainsKey(t, d.registry.Snapshot().ByID, "i-1", must.Sprint("a late heartbeat, ", sequence))
	}
	status, _ := call(t, "POST", url+"/api/Runners.Leave/i-2", "", 0)
	must.Eq(t, 200, status, must.Sprint("leaving of a runner without any heartbeat"))
	body := `{"service":"s","address":"127.0.0.1:8","zone":"a","version":"v","capacity":8,"state":"ready","coldLeftMs":0,"sequence":7}`
	status, _ = call(t, "POST", url+"/api/Runners.Heartbeat/i-2", body, 0)
	must.Eq(t, 200, status)
	must.MapNotContainsKey(t, d.registry.Snapshot().ByID, "i-2")
}
