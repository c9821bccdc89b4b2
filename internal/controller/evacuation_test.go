package controller

import (
	"testing"

	"github.com/shoenig/test/must"
)

// postUntilAnswered repeats an operator's call until its status is below 500, and returns that
// status.
func postUntilAnswered(t *testing.T, url string) (status int) {
	t.Helper()
	waitUntil(t, func() bool {
		status, _ = call(t, "POST", url, "", 0)
		return status < 500
	})
	return status
}

func TestEvacuationReachesAllControllersAndIsIdempotent(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	for _, d := range nodes {
		waitUntil(t, func() bool { return len(d.evacuatedZones()) == 1 && d.evacuatedZones()[0] == "a" })
	}
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Finish/a"))
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Finish/a"))
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Finish/b"), must.Sprint("finishing an evacuation that never began succeeds"))
	for _, d := range nodes {
		waitUntil(t, func() bool { return len(d.evacuatedZones()) == 0 })
	}
}

func TestEvacuationSurvivesRestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := startSingleController(t, dir, port, true)
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	stop()
	d, _, stop := startSingleController(t, dir, port, false)
	defer stop()
	waitUntil(t, func() bool { return len(d.evacuatedZones()) == 1 })
}
