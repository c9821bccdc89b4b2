package scaling

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/controller/platform"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// noLeases ignores every change.
type noLeases struct{}

func (noLeases) Change(context.Context, int, messages.Lease, func(*messages.LeaseBody) bool) (messages.LeaseBody, error) {
	return messages.LeaseBody{}, nil
}

// noPlatform accepts every call.
type noPlatform struct{}

func (noPlatform) Call(context.Context, int, lease.Grant, string, any) platform.Outcome {
	return platform.Accepted
}

// fourRunners returns the configuration of a Scaler of service s with four runners in zone z, each of
// which has the given number of requests.
func fourRunners(nowUs *int64, requests int) Config {
	table := routeconfig.Compile(api.Configuration{Services: []api.Service{{
		Name: "s", Engine: api.Engine{Capacity: 4, CacheTokens: 1600}, Scaling: api.Scaling{Floor: 2, Ceiling: 9, BootS: 8},
	}}})
	known, loads := registry.New(), statesync.NewLoads()
	loads.Begin(1, 0)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		known.ApplyHeartbeat(messages.RunnerRecord{ID: id, Service: "s", Addr: id + ":1", Zone: "z", Capacity: 4, Seq: 1}, *nowUs)
		loads.Put(id, messages.RunnerLoad{ID: id, Count: requests})
	}
	loads.Commit(1)
	return Config{
		Self:              "self",
		Clock:             func() int64 { return *nowUs },
		Log:               logr.Discard(),
		Leases:            noLeases{},
		Platform:          noPlatform{},
		Table:             func() *routeconfig.Table { return table },
		Runners:           known.Snapshot,
		ReadLoads:         func(read func(*statesync.Loads)) { read(loads) },
		InContact:         func() bool { return true },
		StableForUs:       func() int64 { return minStableUs },
		RolloutUnfinished: func() bool { return false },
	}
}

func newTestScaler(t *testing.T, config Config) *Scaler {
	t.Helper()
	s, err := New(config)
	must.NoError(t, err)
	return s
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Self: "self"})
	must.ErrorIs(t, err, ErrConfig)
}

func TestViewSumsDemandOfRunnersByZone(t *testing.T) {
	nowUs := int64(1)
	s := newTestScaler(t, fourRunners(&nowUs, 2))
	view := s.view(messages.LeaseBody{Setpoints: []messages.Setpoint{{Service: "s", Zone: "z", Desired: 5}, {Service: "s", Zone: "y", Desired: 2}}}, nowUs)
	must.True(t, view.DemandKnown)
	must.Len(t, 1, view.Services)
	must.Eq(t, 8_000_000, view.Services[0].StartupUs)
	zones := view.Services[0].Zones
	must.Eq(t, "y", zones[0].Name)
	must.Zero(t, zones[0].Present)
	must.Eq(t, 4, zones[1].Present)
	must.Eq(t, 5, zones[1].Ordered)
	must.Eq(t, 2.0, zones[1].Demand)
	must.False(t, s.view(messages.LeaseBody{}, nowUs+maxLoadsAgeUs).DemandKnown, must.Sprint("sum of loads is outdated"))
}

// Guards against a new holder of the lease that does not repeat the committed orders unchanged.
func TestSuccessorSendsRecordedOrders(t *testing.T) {
	nowUs := int64(1)
	recorded := []messages.Setpoint{{Service: "s", Zone: "z", Desired: 5}}
	_, send := newTestScaler(t, fourRunners(&nowUs, 2)).dueOrders(messages.LeaseBody{Setpoints: recorded})
	must.Eq(t, recorded, send)
}

func TestOrdersOfRemovedServicesAreNotSent(t *testing.T) {
	nowUs := int64(1)
	record, send := newTestScaler(t, fourRunners(&nowUs, 2)).dueOrders(messages.LeaseBody{Setpoints: []messages.Setpoint{{Service: "gone", Zone: "z", Desired: 5}}})
	must.SliceEmpty(t, record)
	must.SliceEmpty(t, send)
}
