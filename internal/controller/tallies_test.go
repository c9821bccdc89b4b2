package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/settings"
)

// amendUntilAcknowledged repeats an add to a tally until it is acknowledged.
func amendUntilAcknowledged(t *testing.T, url, name, id string, amount int) {
	t.Helper()
	waitUntil(t, func() bool {
		status, _ := call(t, "POST", url+"/api/Tallies.Amend/"+name, fmt.Sprintf(`{"id":%q,"actor":%d}`, id, amount), 0)
		return status == 200
	})
}

// readTotal repeats a read of a tally until the replica is ready, and returns the body.
func readTotal(t *testing.T, url, name string) (body string) {
	t.Helper()
	waitUntil(t, func() bool {
		status, answer := call(t, "GET", url+"/api/Tallies.Read/"+name, "", 0)
		body = answer
		return status == 200
	})
	return body
}

func TestTallyCountsIDOnceAtEveryReplica(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, `{"total":0}`, readTotal(t, url, "t"))
	for range 3 {
		amendUntilAcknowledged(t, url, "t", "one", 4)
	}
	other := "http://" + nodes[1].set.Listen.Control
	amendUntilAcknowledged(t, other, "t", "one", 4)
	amendUntilAcknowledged(t, other, "t", "two", 3)
	for _, d := range nodes {
		waitUntil(t, func() bool { return readTotal(t, "http://"+d.set.Listen.Control, "t") == `{"total":7}` })
	}
	must.Eq(t, `{"total":0}`, readTotal(t, other, "never"))
}

func TestAmendRejectsMalformedBody(t *testing.T) {
	_, url, stop := startSingleController(t, t.TempDir(), freePort(t), true)
	defer stop()
	for _, body := range []string{``, `{}`, `{"actor":3}`, `{"id":"","actor":3}`, `{"id":"x","actor":"many"}`} {
		status, _ := call(t, "POST", url+"/api/Tallies.Amend/t", body, 0)
		must.Eq(t, 400, status, must.Sprint(body))
	}
}

func TestTallySurvivesRestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := startSingleController(t, dir, port, true)
	amendUntilAcknowledged(t, url, "t", "one", 4)
	stop()
	d, url, stop := startSingleController(t, dir, port, false)
	must.Eq(t, `{"total":4}`, readTotal(t, url, "t"))
	amendUntilAcknowledged(t, url, "t", "one", 4)
	amendUntilAcknowledged(t, url, "t", "two", 1)
	must.Eq(t, `{"total":5}`, readTotal(t, url, "t"))
	must.False(t, d.tallies.Condition().Full)
	stop()
}

func TestFullReplicaAcknowledgesOnlyKnownAdds(t *testing.T) {
	d, url, stop := startSingleController(t, t.TempDir(), freePort(t), true)
	defer stop()
	amendUntilAcknowledged(t, url, "t", "one", 4)
	d.tallies.SetMaxAdds(1)
	status, _ := call(t, "POST", url+"/api/Tallies.Amend/t", `{"id":"two","actor":1}`, 0)
	must.Eq(t, 503, status)
	status, _ = call(t, "POST", url+"/api/Tallies.Amend/t", `{"id":"one","actor":4}`, 0)
	must.Eq(t, 200, status)
	must.Eq(t, `{"total":4}`, readTotal(t, url, "t"))
}

func TestMaxTallyAddsFollowsDiskAndMemory(t *testing.T) {
	must.Eq(t, 0, maxTallyAdds(settings.Limits{}))
	must.Eq(t, 904_396, maxTallyAdds(settings.Limits{DiskMb: 64, MemoryMb: 184}))
	must.Eq(t, 131_072, maxTallyAdds(settings.Limits{DiskMb: 8, MemoryMb: 184}))
}
