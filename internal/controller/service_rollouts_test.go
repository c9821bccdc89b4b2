package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// begin sends an order to roll a service out until it has a clear answer.
func begin(t *testing.T, url, body string) (status int) {
	t.Helper()
	until(t, func() bool {
		status, _ = call(t, "POST", url+"/api/Rollouts.Begin", body, 0)
		return status < 500
	})
	return status
}

// rolloutOf is the newest rollout of a service that a controller knows.
func rolloutOf(d *Controller, service string) messages.ServiceRollout {
	v, _ := d.registers.Committed(consensus.RegisterOf(service))
	body, err := messages.DecodeLeaseBody(v)
	if err != nil {
		return messages.ServiceRollout{}
	}
	r, _ := canary.Find(body.Rollouts, service)
	return r
}

const orderOfVersion2 = `{"service":"s","targetVersion":"v2","overS":60}`

func TestRolloutIsKnownToAllAndByItsRepeat(t *testing.T) {
	nodes, url, _ := three(t)
	must.Eq(t, 200, begin(t, url, orderOfVersion2))
	must.Eq(t, 200, begin(t, url, orderOfVersion2))
	must.Eq(t, 409, begin(t, url, `{"service":"s","targetVersion":"v3","overS":60}`))
	for _, d := range nodes {
		until(t, func() bool { return rolloutOf(d, "s").Target == "v2" && rolloutOf(d, "s").Number == 1 })
	}
	until(t, func() bool {
		status, body := call(t, "GET", url+"/api/Rollouts.Read/s", "", 0)
		return status == 200 && body == `{"state":"running","targetVersion":"v2"}`
	})
	status := 0
	until(t, func() bool {
		status, _ = call(t, "GET", url+"/api/Rollouts.Read/other", "", 0)
		return status < 500
	})
	must.Eq(t, 404, status)
}

func TestRolloutOrderThatIsInvalidIsRefused(t *testing.T) {
	_, url, _ := three(t)
	for _, body := range []string{"", "{}", `{"service":"s","targetVersion":"v2"}`, `{"service":"s","targetVersion":"","overS":3}`, `{"service":"s","targetVersion":"v2","overS":-1}`} {
		must.Eq(t, 400, begin(t, url, body), must.Sprint(body))
	}
}

func TestRolloutOutlastsARestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := core(t, dir, port, true)
	must.Eq(t, 200, begin(t, url, orderOfVersion2))
	stop()
	d, _, stop := core(t, dir, port, false)
	defer stop()
	until(t, func() bool { return rolloutOf(d, "s").Target == "v2" })
}

// The holder of the lease reverts a version whose requests fail, by the sums of outcomes that
// the routers send up.
func TestHolderRevertsAVersionThatFails(t *testing.T) {
	nodes, url, _ := three(t)
	must.Eq(t, 200, begin(t, url, orderOfVersion2))
	key := func(side canary.Side) canary.Key {
		return canary.Key{Service: "s", Number: 1, Side: side, Comparison: canary.AllRequests}
	}
	for _, d := range nodes {
		d.feed.mu.Lock()
		for _, load := range []messages.RunnerLoad{key(canary.NewSide).Load(canary.Outcome{Answers: 40, Bad: 20}), key(canary.BaselineSide).Load(canary.Outcome{Answers: 900, Bad: 3})} {
			d.feed.aggregate.Total.Put(load.ID, load)
		}
		d.feed.mu.Unlock()
	}
	for _, d := range nodes {
		until(t, func() bool { return rolloutOf(d, "s").Stage == int(canary.Reverted) })
	}
	until(t, func() bool {
		_, body := call(t, "GET", url+"/api/Rollouts.Read/s", "", 0)
		return body == `{"state":"reverted","targetVersion":"v2"}`
	})
}
