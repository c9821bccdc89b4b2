package controller

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// lateOrderObservation is how long the effect of a late order is waited for.
const lateOrderObservation = 500 * time.Millisecond

// deliverGivenUpOrder sends the bytes of an order whose caller has given up, so that the connection is closed
// right behind them.
func deliverGivenUpOrder(t *testing.T, url, path string) {
	t.Helper()
	deliverGivenUpCall(t, url, path, "")
}

// deliverGivenUpCall does the same with a call that has a body.
func deliverGivenUpCall(t *testing.T, url, path, body string) {
	t.Helper()
	address := strings.TrimPrefix(url, "http://")
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, address, len(body), body)
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

// settleRollout commits that the newest rollout of a service has succeeded.
func settleRollout(t *testing.T, node *Controller, service string) {
	t.Helper()
	waitUntil(t, func() bool {
		_, err := node.registers.Change(t.Context(), consensus.RegisterOf(service), func(current messages.Value) ([]messages.Member, []byte, error) {
			body, err := messages.DecodeLeaseBody(current)
			if err != nil {
				return nil, nil, err
			}
			for i := range body.Rollouts {
				body.Rollouts[i].Stage = int(canary.Settled)
			}
			encoded, err := body.MarshalMsg(nil)
			return nil, encoded, err
		})
		return err == nil
	})
}

// Guards against a rollout to an earlier version that an order begins whose caller had given it up.
func TestLateRolloutOrderDoesNotFollowNewerOne(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	for _, version := range []string{"v2", "v3"} {
		must.Eq(t, 200, beginRollout(t, url, fmt.Sprintf(`{"service":"s","targetVersion":%q,"overS":60}`, version)))
		settleRollout(t, nodes[0], "s")
	}
	deliverGivenUpCall(t, url, "/api/Rollouts.Begin", orderOfVersion2)
	time.Sleep(lateOrderObservation)
	must.Eq(t, "v3", newestRollout(nodes[0], "s").Target)
}
