package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// beginRollout repeats a rollout order until its status is below 500, and returns that status.
func beginRollout(t *testing.T, url, body string) (status int) {
	t.Helper()
	waitUntil(t, func() bool {
		status, _ = call(t, "POST", url+"/api/Rollouts.Begin", body, 0)
		return status < 500
	})
	return status
}

// newestRollout returns the newest rollout of a service that is committed at a controller.
func newestRollout(d *Controller, service string) messages.ServiceRollout {
	v, _ := d.registers.Committed(consensus.RegisterOf(service))
	body, err := messages.DecodeLeaseBody(v)
	if err != nil {
		return messages.ServiceRollout{}
	}
	r, _ := canary.Find(body.Rollouts, service)
	return r
}

const orderOfVersion2 = `{"service":"s","targetVersion":"v2","overS":60}`

func TestRolloutReachesAllControllersAndIsIdempotent(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, 200, beginRollout(t, url, orderOfVersion2))
	must.Eq(t, 200, beginRollout(t, url, orderOfVersion2))
	must.Eq(t, 409, beginRollout(t, url, `{"service":"s","targetVersion":"v3","overS":60}`))
	for _, d := range nodes {
		waitUntil(t, func() bool { return newestRollout(d, "s").Target == "v2" && newestRollout(d, "s").Number == 1 })
	}
	waitUntil(t, func() bool {
		status, body := call(t, "GET", url+"/api/Rollouts.Read/s", "", 0)
		return status == 200 && body == `{"state":"running","targetVersion":"v2"}`
	})
	status := 0
	waitUntil(t, func() bool {
		status, _ = call(t, "GET", url+"/api/Rollouts.Read/other", "", 0)
		return status < 500
	})
	must.Eq(t, 404, status)
}

func TestBeginRolloutRejectsInvalidOrder(t *testing.T) {
	_, url, _ := startThreeControllers(t)
	for _, body := range []string{"", "{}", `{"service":"s","targetVersion":"v2"}`, `{"service":"s","targetVersion":"","overS":3}`, `{"service":"s","targetVersion":"v2","overS":-1}`} {
		must.Eq(t, 400, beginRollout(t, url, body), must.Sprint(body))
	}
}

func TestRolloutSurvivesRestart(t *testing.T) {
	dir, port := t.TempDir(), freePort(t)
	_, url, stop := startSingleController(t, dir, port, true)
	must.Eq(t, 200, beginRollout(t, url, orderOfVersion2))
	stop()
	d, _, stop := startSingleController(t, dir, port, false)
	defer stop()
	waitUntil(t, func() bool { return newestRollout(d, "s").Target == "v2" })
}

// The lease holder reverts a version whose requests fail, according to the outcome sums that the
// routers report.
func TestLeaseHolderRevertsFailingVersion(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	must.Eq(t, 200, beginRollout(t, url, orderOfVersion2))
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
		waitUntil(t, func() bool { return newestRollout(d, "s").Stage == int(canary.Reverted) })
	}
	waitUntil(t, func() bool {
		_, body := call(t, "GET", url+"/api/Rollouts.Read/s", "", 0)
		return body == `{"state":"reverted","targetVersion":"v2"}`
	})
}
