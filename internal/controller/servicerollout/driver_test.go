package servicerollout

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/statesync"
)

// fakeLeases sends each changed body to a channel.
type fakeLeases struct{ changed chan messages.LeaseBody }

func (f fakeLeases) Change(_ context.Context, _ int, _ messages.Lease, edit func(*messages.LeaseBody) bool) (messages.LeaseBody, error) {
	body := messages.LeaseBody{Rollouts: []messages.ServiceRollout{running}}
	edit(&body)
	f.changed <- body
	return body, nil
}

const testRegister = 3

// running is a rollout whose new version is being tried.
var running = messages.ServiceRollout{Service: "s", Number: 1, Target: "v2", BegunAtUs: 1, OverUs: 60_000_000}

// newTestDriver returns a driver of a service whose new version has returned 40 answers, of which
// bad were bad.
func newTestDriver(t *testing.T, leases Leases, bad int) *Driver {
	t.Helper()
	loads := statesync.NewLoads()
	loads.Begin(1, 0)
	key := func(side canary.Side) canary.Key {
		return canary.Key{Service: "s", Number: 1, Side: side, Comparison: canary.AllRequests}
	}
	for _, load := range []messages.RunnerLoad{
		key(canary.NewSide).Load(canary.Outcome{Answers: 40, Bad: bad}),
		key(canary.BaselineSide).Load(canary.Outcome{Answers: 900, Bad: 3}),
	} {
		loads.Put(load.ID, load)
	}
	d, err := New(Config{
		Bounds:    canary.Bounds{Exposure: 0.1, Slack: 50},
		Log:       logr.Discard(),
		Leases:    leases,
		TimeOfDay: func() (int64, bool) { return 5_000_000, true },
		Runners:   func() *registry.Snapshot { return registry.New().Snapshot() },
		ReadLoads: func(read func(*statesync.Loads)) { read(loads) },
	})
	must.NoError(t, err)
	return d
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{})
	must.ErrorIs(t, err, ErrConfig)
}

func TestFailingVersionIsRevertedUnderLease(t *testing.T) {
	leases := fakeLeases{changed: make(chan messages.LeaseBody, 1)}
	d := newTestDriver(t, leases, 20)
	job, ok := d.Prepare(testRegister, messages.LeaseBody{Rollouts: []messages.ServiceRollout{running}})
	must.True(t, ok)
	must.True(t, job.Needed)
	job.Run(t.Context(), lease.Grant{Fence: 1, MayAct: true})
	must.Eq(t, int(canary.Reverted), (<-leases.changed).Rollouts[0].Stage)
}

func TestNoStepIsCommittedWithoutLease(t *testing.T) {
	d := newTestDriver(t, fakeLeases{}, 20)
	job, ok := d.Prepare(testRegister, messages.LeaseBody{Rollouts: []messages.ServiceRollout{running}})
	must.True(t, ok)
	job.Run(t.Context(), lease.Grant{})
	must.MapEmpty(t, d.committing)
}

// Runners of a version that was reverted get no requests, so they are no part of the baseline.
func TestRunnersOfRevertedVersionsAreNotCounted(t *testing.T) {
	known := registry.New()
	for i, version := range []string{"v1", "v2", "bad"} {
		known.ApplyHeartbeat(messages.RunnerRecord{ID: version, Service: "s", Zone: "a", Version: version, Seq: int64(i) + 1, Addr: version, Capacity: 4}, 1)
	}
	d := newTestDriver(t, fakeLeases{}, 0)
	d.config.Runners = known.Snapshot
	view, _ := d.view(running, map[string]bool{"bad": true})
	must.Eq(t, 1, view.NewReady)
	must.Eq(t, 1, view.BaselineReady)
}
