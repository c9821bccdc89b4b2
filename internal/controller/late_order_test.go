package controller

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lateOrderObservation is how long the effect of a late order is waited for.
const lateOrderObservation = 500 * time.Millisecond

// deliverGivenUpOrder sends the bytes of an order whose caller has given up, so that the connection is closed
// right behind them.
func deliverGivenUpOrder(t *testing.T, url, path string) {
	t.Helper()
	address := strings.TrimPrefix(url, "http://")
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", path, address)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
}

// evacuatedEverywhere reports whether every controller knows exactly the given zones as evacuated.
func evacuatedEverywhere(nodes []*Controller, zones ...string) bool {
	for _, node := range nodes {
		if fmt.Sprint(node.evacuatedZones()) != fmt.Sprint(zones) {
			return false
		}
	}
	return true
}

// Guards against requests in an evacuated zone after a Finish that its caller had given up was
// carried out behind a newer Begin.
func TestLateFinishDoesNotEndNewerEvacuation(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	for range 2 {
		must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
		must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Finish/a"))
	}
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	waitUntil(t, func() bool { return evacuatedEverywhere(nodes, "a") })
	for _, node := range nodes {
		deliverGivenUpOrder(t, node.set.Listen.Control, "/api/Evacuate.Finish/a")
	}
	time.Sleep(lateOrderObservation)
	must.True(t, evacuatedEverywhere(nodes, "a"), must.Sprint("the zone must stay evacuated"))
}

// Guards against a zone that is emptied by a Begin that its caller had given up, after its return was
// acknowledged.
func TestLateBeginDoesNotEvacuateReturnedZone(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Finish/a"))
	waitUntil(t, func() bool { return evacuatedEverywhere(nodes) })
	deliverGivenUpOrder(t, url, "/api/Evacuate.Begin/a")
	time.Sleep(lateOrderObservation)
	must.True(t, evacuatedEverywhere(nodes), must.Sprint("the zone must stay in use"))
}

// Guards against a Finish that its caller has confirmed and then given up, and that arrives behind a newer Begin.
func TestLateConfirmedFinishDoesNotEndNewerEvacuation(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	must.Eq(t, 200, postUntilAnswered(t, url+"/api/Evacuate.Begin/a"))
	for _, node := range nodes {
		deliverGivenUpOrder(t, node.set.Listen.Control, "/api/Evacuate.Finish/a?after=1")
	}
	time.Sleep(lateOrderObservation)
	must.True(t, evacuatedEverywhere(nodes, "a"), must.Sprint("the zone must stay evacuated"))
}
