package controller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/controller/scaling"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
)

// scalingConfig is a configuration whose only service scales between 2 and 9 runners per zone.
const scalingConfig = `{"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","cutoffMs":100,"service":"s"}],"services":[{"name":"s","engine":{"capacity":4,"cacheTokens":1600},"scaling":{"floor":2,"ceiling":9,"bootS":8}}]}`

// scalingPlatformStub is a stub of the platform that records the orders it has accepted.
type scalingPlatformStub struct {
	mu     sync.Mutex
	orders []api.SetpointOrder
}

func (p *scalingPlatformStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order api.SetpointOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || r.URL.Path != "/setpoint" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
}

func (p *scalingPlatformStub) acceptedOrders() []api.SetpointOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]api.SetpointOrder{}, p.orders...)
}

// startScaling starts a core of one controller with the scaling duty and four runners in a zone.
func startScaling(t *testing.T) (d *Controller, p *scalingPlatformStub) {
	t.Helper()
	p = &scalingPlatformStub{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	d, _, stop := startWithDuty(t, t.TempDir(), server.Listener.Addr().String(), freePort(t), true, scaling.DutyName)
	t.Cleanup(stop)
	loadTable(t, d, scalingConfig)
	for i := range 4 {
		d.registry.ApplyHeartbeat(messages.RunnerRecord{ID: string(rune('a' + i)), Service: "s", Addr: string(rune('a'+i)) + ":1", Zone: "z", Capacity: 4, Seq: 1}, d.clock())
	}
	return d, p
}

// setLoads sets the load of each runner to a number of requests.
func setLoads(d *Controller, requests int) {
	f := &d.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range 4 {
		id := string(rune('a' + i))
		f.aggregate.Total.Put(id, messages.RunnerLoad{ID: id, Count: requests})
	}
	f.aggregate.Total.Commit(f.aggregate.Total.Version + 1)
}

// When demand rises, more runners are ordered from the platform. A successor repeats the recorded
// order.
func TestScalingOrderIsRecordedAndSent(t *testing.T) {
	d, p := startScaling(t)
	requests := 1
	waitUntil(t, func() bool {
		requests++
		setLoads(d, 3+requests%2)
		return len(p.acceptedOrders()) > 0
	})
	first := p.acceptedOrders()[0]
	must.Eq(t, api.SetpointOrder{Service: "s", Zone: "z", Desired: first.Desired}, first)
	must.Between(t, 5, first.Desired, 9)
	v, _ := d.registers.Committed(scaling.RegisterIndex)
	body, err := messages.DecodeLeaseBody(v)
	must.NoError(t, err)
	must.Eq(t, "s", body.Setpoints[0].Service)
	successor, err := d.newScaler()
	must.NoError(t, err)
	job, ok := successor.Prepare(scaling.RegisterIndex, body)
	must.True(t, ok)
	must.True(t, job.Needed, must.Sprint("a successor sends the recorded order"))
}

func TestHasDutyRequiresPlatformAddress(t *testing.T) {
	must.False(t, hasDuty(settings.Settings{Cloud: settings.Cloud{Duties: []string{scaling.DutyName}}}, scaling.DutyName))
	must.True(t, hasDuty(settings.Settings{Cloud: settings.Cloud{Address: "x:1", Duties: []string{scaling.DutyName}}}, scaling.DutyName))
}
