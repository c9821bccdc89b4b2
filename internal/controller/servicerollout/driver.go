// Package servicerollout takes rollouts of a service's software version from stage to stage:
// package canary decides by the outcomes that the routers send up, and a Driver agrees on each
// step under the lease of the service's register (package singleton).
//
// A Driver is safe for concurrent use.
package servicerollout

import (
	"context"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/statesync"
)

// Leases change a register under its lease (singleton.Leases).
type Leases interface {
	Change(ctx context.Context, part int, was messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error)
}

// Config is what a Driver is given. All fields but Bounds are required.
type Config struct {
	// Bounds is how much a version may get that has not been shown good.
	Bounds canary.Bounds
	Log    logr.Logger
	Leases Leases
	// TimeOfDay returns the fleet's time of day in microseconds, and whether it is agreed on.
	TimeOfDay func() (timeUs int64, agreed bool)
	// Runners returns the known runners.
	Runners func() *registry.Snapshot
	// ReadLoads calls read with the sum of the loads and outcomes of all routers, which must
	// not be kept.
	ReadLoads func(read func(loads *statesync.Loads))
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("servicerollout: incomplete configuration")

// planKey names one rollout of a service.
type planKey struct {
	service string
	number  int64
}

// Driver drives the rollouts whose registers' leases this controller holds.
type Driver struct {
	config Config

	mu    sync.Mutex // guards what follows
	plans map[planKey]*canary.Plan
	busy  map[planKey]bool // a step is being recorded
}

// New returns a driver without plans.
func New(config Config) (*Driver, error) {
	if config.Leases == nil || config.TimeOfDay == nil || config.Runners == nil || config.ReadLoads == nil {
		return nil, ErrConfig
	}
	return &Driver{config: config, plans: map[planKey]*canary.Plan{}, busy: map[planKey]bool{}}, nil
}

// Prepare is part of singleton.Task.
func (d *Driver) Prepare(part int, body messages.LeaseBody) (singleton.Job, bool) {
	var running []messages.ServiceRollout
	for _, rollout := range body.Rollouts {
		if canary.Stage(rollout.Stage).Running() {
			running = append(running, rollout)
		}
	}
	run := func(ctx context.Context, grant lease.Grant) {
		for _, rollout := range running {
			d.step(ctx, part, grant, body.Lease, rollout)
		}
	}
	return singleton.Job{Needed: len(running) > 0, Run: run}, len(running) > 0
}

// step takes the step of a rollout that is due.
func (d *Driver) step(ctx context.Context, part int, grant lease.Grant, current messages.Lease, rollout messages.ServiceRollout) {
	view, agreed := d.view(rollout)
	if !agreed {
		return
	}
	key := planKey{rollout.Service, rollout.Number}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.plans[key] == nil {
		d.plans[key] = &canary.Plan{}
	}
	step := d.plans[key].Step(view)
	unchanged := step.Stage == view.Stage && step.SharePerMille == view.Share
	if unchanged || !grant.MayAct || d.busy[key] {
		return
	}
	d.busy[key] = true
	go d.record(ctx, part, current, rollout, step)
}

// record agrees on a step. Where that fails, it is due again.
func (d *Driver) record(ctx context.Context, part int, current messages.Lease, rollout messages.ServiceRollout, step canary.Step) {
	_, err := d.config.Leases.Change(ctx, part, current, func(body *messages.LeaseBody) bool {
		next, changed := canary.Advance(body.Rollouts, rollout, step)
		body.Rollouts = next
		return changed
	})
	d.config.Log.Info("rollout of a service goes on",
		"service", rollout.Service, "version", rollout.Target,
		"stage", step.Stage.String(), "number", int(step.Stage), "share", step.SharePerMille,
		"reason", step.Reason, "err", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, planKey{rollout.Service, rollout.Number})
}

// view is what the plan of a rollout goes by; false where the time of day is not known.
func (d *Driver) view(rollout messages.ServiceRollout) (canary.View, bool) {
	timeUs, agreed := d.config.TimeOfDay()
	view := canary.View{
		TimeUs:     timeUs,
		BegunAtUs:  rollout.BegunAtUs,
		DurationUs: rollout.OverUs,
		Stage:      canary.Stage(rollout.Stage),
		Share:      rollout.SharePerMille,
		Evidence:   canary.Evidence{},
		Bounds:     d.config.Bounds,
	}
	runners := d.config.Runners().ByService[rollout.Service]
	d.config.ReadLoads(func(loads *statesync.Loads) {
		loads.Each(func(id string, load messages.RunnerLoad) { canary.Collect(view.Evidence, rollout, id, load) })
		for _, runner := range runners {
			countRunner(&view, rollout.Target, runner, loads)
		}
	})
	return view, agreed
}

// countRunner counts a runner of the service in a view.
func countRunner(view *canary.View, target string, runner messages.RunnerRecord, loads *statesync.Loads) {
	if runner.Version == target {
		if !runner.Draining && !runner.Stale {
			view.NewReady++
		}
		return
	}
	view.BaselineReady++
	load, _ := loads.Get(runner.ID)
	view.BaselineActive += max(load.Count, 0)
}
