package controller

import (
	"testing"

	"github.com/shoenig/test/must"
)

// order sends an order of the operator until it has a clear answer.
func order(t *testing.T, url string) (status int) {
	t.Helper()
	until(t, func() bool {
		status, _ = call(t, "POST", url, "", 0)
		return status < 500
	})
	return status
}

func TestEvacuationIsKnownToAllAndOutlastsARepeat(t *testing.T) {
	nodes, url, _ := three(t)
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Begin/a"))
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Begin/a"))
	for _, d := range nodes {
		until(t, func() bool { return len(d.evacuatedZones()) == 1 && d.evacuatedZones()[0] == "a" })
	}
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Finish/a"))
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Finish/a"))
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Finish/b"), must.Sprint("one that never began is ended as well"))
	for _, d := range nodes {
		until(t, func() bool { return len(d.evacuatedZones()) == 0 })
	}
}

func TestEvacuationsOutlastARestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := core(t, dir, port, true)
	must.Eq(t, 200, order(t, url+"/api/Evacuate.Begin/a"))
	stop()
	d, _, stop := core(t, dir, port, false)
	defer stop()
	until(t, func() bool { return len(d.evacuatedZones()) == 1 })
}
