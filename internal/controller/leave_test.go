package controller

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
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

// saveReady writes a copy of the registry to disk in which a runner is ready.
func saveReady(t *testing.T, d *Controller, id string) {
	t.Helper()
	saved := messages.News{Runners: []messages.RunnerRecord{{ID: id, Service: "s", Addr: "127.0.0.1:9", Zone: "a", Capacity: 8, Seq: 1}}}
	b, err := saved.MarshalMsg(nil)
	must.NoError(t, err)
	must.NoError(t, d.disk.WriteFile(runnersFile, b))
}

// Guards against review/3: a leaving that was acknowledged just before the core is killed is
// forgotten, and the restarted core lists the runner as ready from its copy of the registry.
func TestAcknowledgedLeavingSurvivesRestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	d, url, stop := startSingleController(t, dir, port, true)
	body := `{"service":"s","address":"127.0.0.1:9","zone":"a","version":"v","capacity":8,"state":"ready","coldLeftMs":0,"sequence":1}`
	status, _ := call(t, "POST", url+"/api/Runners.Heartbeat/i-1", body, 0)
	must.Eq(t, 200, status)
	saveReady(t, d, "i-1")
	status, _ = call(t, "POST", url+"/api/Runners.Leave/i-1", "", 0)
	must.Eq(t, 200, status)
	stop()
	d, url, stop = startSingleController(t, dir, port, false)
	defer stop()
	must.MapNotContainsKey(t, d.registry.Snapshot().ByID, "i-1")
	status, _ = call(t, "POST", url+"/api/Runners.Heartbeat/i-1", body, 0)
	must.Eq(t, 200, status)
	must.MapNotContainsKey(t, d.registry.Snapshot().ByID, "i-1", must.Sprint("a late heartbeat"))
}

// A controller that missed a drain lists the runner as ready from its own copy of the registry until
// one that has it on disk tells it.
func TestRestartedControllerNotifiesOthersOfDrainsOnDisk(t *testing.T) {
	failing := true
	var notified []string
	resender := drainResender{
		self:     "a",
		records:  []messages.RunnerRecord{{ID: "i-1", Gone: true}},
		alive:    func() []messages.Peer { return []messages.Peer{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}} },
		informed: map[string]bool{"a": true},
		notify: func(record messages.RunnerRecord) notifyPeer {
			return func(_ context.Context, addr string) (string, error) {
				if addr == "c" && failing {
					return "", errors.New("starting")
				}
				notified = append(notified, addr+" "+record.ID)
				return addr, nil
			}
		},
	}
	resender.informJoined(t.Context())
	must.Eq(t, []string{"b i-1"}, notified)
	failing = false
	resender.informJoined(t.Context())
	resender.informJoined(t.Context())
	must.Eq(t, []string{"b i-1", "c i-1"}, notified)
}
