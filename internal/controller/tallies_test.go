package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/settings"
)

// amend adds to a tally until that is acknowledged.
func amend(t *testing.T, url, name, id string, amount int) {
	t.Helper()
	until(t, func() bool {
		status, _ := call(t, "POST", url+"/api/Tallies.Amend/"+name, fmt.Sprintf(`{"id":%q,"actor":%d}`, id, amount), 0)
		return status == 200
	})
}

// total reads a tally, which answers once the replica is ready.
func total(t *testing.T, url, name string) (body string) {
	t.Helper()
	until(t, func() bool {
		status, answer := call(t, "GET", url+"/api/Tallies.Read/"+name, "", 0)
		body = answer
		return status == 200
	})
	return body
}

func TestTalliesAreReadAtEveryReplicaAndCountAnIDOnce(t *testing.T) {
	nodes, url, _ := three(t)
	must.Eq(t, `{"total":0}`, total(t, url, "t"))
	for range 3 {
		amend(t, url, "t", "one", 4)
	}
	other := "http://" + nodes[1].set.Listen.Control
	amend(t, other, "t", "one", 4)
	amend(t, other, "t", "two", 3)
	for _, d := range nodes {
		until(t, func() bool { return total(t, "http://"+d.set.Listen.Control, "t") == `{"total":7}` })
	}
	must.Eq(t, `{"total":0}`, total(t, other, "never"))
}

func TestAmendmentsThatAreNoneAreRejected(t *testing.T) {
	_, url, stop := core(t, t.TempDir(), freePort(t), true)
	defer stop()
	for _, body := range []string{``, `{}`, `{"actor":3}`, `{"id":"","actor":3}`, `{"id":"x","actor":"many"}`} {
		status, _ := call(t, "POST", url+"/api/Tallies.Amend/t", body, 0)
		must.Eq(t, 400, status, must.Sprint(body))
	}
}

func TestTalliesOutlastARestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := core(t, dir, port, true)
	amend(t, url, "t", "one", 4)
	stop()
	d, url, stop := core(t, dir, port, false)
	must.Eq(t, `{"total":4}`, total(t, url, "t"))
	amend(t, url, "t", "one", 4)
	amend(t, url, "t", "two", 1)
	must.Eq(t, `{"total":5}`, total(t, url, "t"))
	must.False(t, d.tallies.Condition().Full)
	stop()
}

func TestFullReplicaTakesOnlyWhatItHas(t *testing.T) {
	d, url, stop := core(t, t.TempDir(), freePort(t), true)
	defer stop()
	amend(t, url, "t", "one", 4)
	d.tallies.SetMaxAdds(1)
	status, _ := call(t, "POST", url+"/api/Tallies.Amend/t", `{"id":"two","actor":1}`, 0)
	must.Eq(t, 503, status)
	status, _ = call(t, "POST", url+"/api/Tallies.Amend/t", `{"id":"one","actor":4}`, 0)
	must.Eq(t, 200, status)
	must.Eq(t, `{"total":4}`, total(t, url, "t"))
}

func TestRoomForAddsFollowsDiskAndMemory(t *testing.T) {
	must.Eq(t, 0, maxTallyAdds(settings.Limits{}))
	must.Eq(t, 904_396, maxTallyAdds(settings.Limits{DiskMb: 64, MemoryMb: 184}))
	must.Eq(t, 131_072, maxTallyAdds(settings.Limits{DiskMb: 8, MemoryMb: 184}))
}
