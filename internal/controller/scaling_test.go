package controller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
)

// scalingConfig is a configuration whose one service has 2 to 9 runners in each zone.
const scalingConfig = `{"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","cutoffMs":100,"service":"s"}],"services":[{"name":"s","engine":{"capacity":4,"cacheTokens":1600},"scaling":{"floor":2,"ceiling":9,"bootS":8}}]}`

// scalingPlatform is a stand-in that keeps the orders it has accepted.
type scalingPlatform struct {
	mu     sync.Mutex
	orders []api.SetpointOrder
}

func (p *scalingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order api.SetpointOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || r.URL.Path != "/setpoint" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
}

func (p *scalingPlatform) seen() []api.SetpointOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]api.SetpointOrder{}, p.orders...)
}

// scaling starts a controller of a core of one that scales, with four runners in a zone.
func scaling(t *testing.T) (d *Controller, p *scalingPlatform) {
	t.Helper()
	p = &scalingPlatform{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	d, _, stop := withPlatform(t, t.TempDir(), server.Listener.Addr().String(), freePort(t), true, scalingDuty)
	t.Cleanup(stop)
	loadTable(t, d, scalingConfig)
	for i := range 4 {
		d.registry.ApplyHeartbeat(messages.RunnerRecord{ID: string(rune('a' + i)), Service: "s", Addr: string(rune('a'+i)) + ":1", Zone: "z", Capacity: 4, Seq: 1}, d.clock())
	}
	return d, p
}

// setLoads reports loads of so many requests at each runner.
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

func TestDemandOfAZoneIsThatOfItsRunners(t *testing.T) {
	d, _ := scaling(t)
	s := newScaler(d)
	setLoads(d, 2)
	view := s.view(messages.LeaseBody{Setpoints: []messages.Setpoint{{Service: "s", Zone: "z", Desired: 5}, {Service: "s", Zone: "y", Desired: 2}}}, d.clock())
	must.True(t, view.Known)
	must.Len(t, 1, view.Services)
	must.Eq(t, 8_000_000, view.Services[0].BootUs)
	zones := view.Services[0].Zones
	must.Eq(t, "y", zones[0].Name)
	must.Zero(t, zones[0].Present)
	must.Eq(t, 4, zones[1].Present)
	must.Eq(t, 5, zones[1].Ordered)
	must.Eq(t, 2.0, zones[1].Demand)
	must.False(t, s.view(messages.LeaseBody{}, d.clock()+loadsCurrentUs).Known, must.Sprint("the sum is old"))
}

// More runners are ordered of the platform once demand rises; a successor repeats the
// order as it is recorded.
func TestOrdersAreRecordedAndSent(t *testing.T) {
	d, p := scaling(t)
	requests := 1
	until(t, func() bool {
		requests++
		setLoads(d, 3+requests%2)
		return len(p.seen()) > 0
	})
	first := p.seen()[0]
	must.Eq(t, api.SetpointOrder{Service: "s", Zone: "z", Desired: first.Desired}, first)
	must.Between(t, 5, first.Desired, 9)
	v, _ := d.registers.Committed(scalingPart)
	body, err := leaseBody(v)
	must.NoError(t, err)
	must.Eq(t, "s", body.Setpoints[0].Service)
	successor := newScaler(d)
	_, send := successor.due(body)
	must.Eq(t, body.Setpoints, send)
	j, ok := successor.prepare(scalingPart, body)
	must.True(t, ok)
	must.True(t, j.needed)
}

func TestOrdersOfServicesThatAreGoneAreNotSent(t *testing.T) {
	d, _ := scaling(t)
	record, send := newScaler(d).due(messages.LeaseBody{Setpoints: []messages.Setpoint{{Service: "gone", Zone: "z", Desired: 5}}})
	must.SliceEmpty(t, record)
	must.SliceEmpty(t, send)
}

func TestScalingIsWantedByTheSettings(t *testing.T) {
	must.False(t, scalingWanted(settings.Settings{Cloud: settings.Cloud{Duties: []string{scalingDuty}}}))
	must.True(t, scalingWanted(settings.Settings{Cloud: settings.Cloud{Address: "x:1", Duties: []string{scalingDuty}}}))
}
