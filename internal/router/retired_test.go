package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// retire applies a configuration that retires the weights of the model below version 5.
func (r *Router) retire(t *testing.T, version int64) {
	t.Helper()
	config := strings.Replace(configText, `"limits":{`, `"retired":[{"model":"m","before":5}],"limits":{`, 1)
	config = strings.Replace(config, `"version":3`, `"version":4`, 1)
	must.True(t, r.applyFeed("", messages.Feed{Configuration: []messages.EntryChange{configSnapshot(t, config, version)}}))
}

// addOldAndNewWeights registers a runner with weights 4 and one with weights 5.
func (r *Router) addOldAndNewWeights(t *testing.T, oldWeights, newWeights *runner) {
	t.Helper()
	var records []messages.RunnerRecord
	for i, server := range []*runner{oldWeights, newWeights} {
		records = append(records, messages.RunnerRecord{
			ID: fmt.Sprintf("r%d", i), Service: "s", Addr: server.addr, Zone: "a", Capacity: 8, Seq: 1, Models: []messages.Target{{Model: "m", Version: int64(4 + i)}},
		})
	}
	r.applyFeed("", messages.Feed{Registry: []messages.EntryChange{runnerEntries(t, records...)}})
}

// setPeerLoad sets the prefill load of other nodes at the runner with weights 5.
func (r *Router) setPeerLoad(prefill int) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.SetPeerLoads(func(id string) messages.RunnerLoad {
		if id == "r1" {
			return messages.RunnerLoad{ID: id, Prefill: prefill}
		}
		return messages.RunnerLoad{ID: id}
	}, r.clock())
}

func TestRetiredWeightsReceiveNoRequests(t *testing.T) {
	old, renewed := newRunner(t), newRunner(t)
	c, front, _ := start(t, old)
	c.addOldAndNewWeights(t, old, renewed)
	for old.requestCount() == 0 {
		c.setPeerLoad(2_000)
		_, _, err := roundTrip(t, front, request("/pay/1", ""))
		must.NoError(t, err)
	}
	before, others := old.requestCount(), renewed.requestCount()
	c.setPeerLoad(0)
	c.retire(t, 2)
	for range 8 {
		a, _, err := roundTrip(t, front, request("/pay/1", ""))
		must.NoError(t, err)
		must.Eq(t, 200, a.StatusCode)
	}
	must.Eq(t, before, old.requestCount())
	must.Eq(t, others+8, renewed.requestCount())
	must.Eq(t, "w5/t1", renewed.lastRequest().Header.Get(hSalt))
}

// An earlier configuration that arrives late does not make retired weights usable again.
func TestLateEarlierConfigurationDoesNotRestoreRetiredWeights(t *testing.T) {
	old := newRunner(t)
	c, front, _ := start(t, old)
	c.retire(t, 2)
	c.applyFeed("", messages.Feed{Configuration: []messages.EntryChange{configSnapshot(t, configText, 1)}})
	a, _, err := roundTrip(t, front, strings.Replace(request("/chat/1", ""), "2500", "300", 1))
	must.NoError(t, err)
	must.Eq(t, 503, a.StatusCode)
	must.Zero(t, old.requestCount())
}

func TestStreamInFlightOnRetiredWeightsIsAnsweredOnce(t *testing.T) {
	old, retired := newRunner(t), make(chan struct{})
	old.stream = func(write func(string), _ <-chan struct{}) {
		write(streamHead + chunk("id: 1\ndata: a\n\n"))
		<-retired
		write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
	}
	c, front, _ := start(t, old)
	answer := roundTripAsync(t, front, request("/sort/", "x"))
	for c.begunRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	renewed := newRunner(t)
	c.addOldAndNewWeights(t, old, renewed)
	c.retire(t, 2)
	c.withdrawFromOldWeights()
	close(retired)
	a := <-answer
	must.NoError(t, a.err)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.body)
	must.Zero(t, renewed.requestCount())
}

// A request that waits at a runner with retired weights is sent to another runner if its route is
// repeatable; otherwise it stays where it is.
func TestWaitingRequestOnRetiredWeightsIsAnsweredOnce(t *testing.T) {
	for _, c := range []struct {
		path  string
		moves bool
	}{{"/open/", true}, {"/sort/", true}, {"/pay/", false}} {
		t.Run(c.path, func(t *testing.T) {
			old, release := newRunner(t), make(chan struct{})
			old.stream = func(write func(string), closed <-chan struct{}) {
				select {
				case <-release:
					write("HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 3\r\n\r\nold")
				case <-closed:
				}
			}
			router, front, _ := start(t, old)
			answer := roundTripAsync(t, front, request(c.path, "x"))
			awaitRequest(old)
			renewed := newRunner(t)
			router.addOldAndNewWeights(t, old, renewed)
			router.retire(t, 2)
			if !c.moves {
				router.withdrawFromOldWeights()
				close(release)
			}
			a := <-answer
			must.NoError(t, a.err)
			must.Eq(t, 200, a.StatusCode)
			must.Eq(t, c.moves, renewed.requestCount() == 1)
			must.Eq(t, 1, old.requestCount())
		})
	}
}

func TestRetiredWeightsAreReported(t *testing.T) {
	old := newRunner(t)
	c, _, _ := start(t, old)
	must.SliceEmpty(t, c.condition().Retired)
	c.retire(t, 2)
	list := c.condition().Retired
	must.Len(t, 1, list)
	must.Eq(t, "m", list[0].Model)
	must.Eq(t, 5, list[0].Before)
	must.Eq(t, 1, list[0].Runners)
	c.addRunner(t, "r0", old, 5)
	must.Zero(t, c.condition().Retired[0].Runners)
}
