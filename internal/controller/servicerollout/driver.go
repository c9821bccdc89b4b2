// Package servicerollout advances the rollouts of services' software versions stage by stage:
// package canary decides from the request outcomes that the routers report, and a Driver commits
// each step under the lease of the service's register (package singleton).
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

// Leases changes a register under its lease (singleton.Leases).
type Leases interface {
	Change(ctx context.Context, register int, expected messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error)
}

// Config configures a Driver. All fields but Bounds are required.
type Config struct {
	// Bounds limits the requests that a version gets before it has proved good.
	Bounds canary.Bounds
	Log    logr.Logger
	Leases Leases
	// TimeOfDay returns the fleet's time of day in microseconds, and whether the controllers
	// have agreed on it.
	TimeOfDay func() (timeUs int64, agreed bool)
	// Runners returns the known runners.
	Runners func() *registry.Snapshot
	// ReadLoads calls read with the sum of the loads and outcomes of all routers, which read
	// must not retain.
	ReadLoads func(read func(loads *statesync.Loads))
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("servicerollout: incomplete configuration")

// planKey identifies one rollout of a service.
type planKey struct {
	service string
	number  int64
}

// Driver advances the rollouts in the registers whose leases this controller holds.
type Driver struct {
	config Config

	mu         sync.Mutex // guards what follows
	plans      map[planKey]*canary.Plan
	committing map[planKey]bool // a step is being committed
}

// New returns a driver without plans.
func New(config Config) (*Driver, error) {
	if config.Leases == nil || config.TimeOfDay == nil || config.Runners == nil || config.ReadLoads == nil {
		return nil, ErrConfig
	}
	return &Driver{config: config, plans: map[planKey]*canary.Plan{}, committing: map[planKey]bool{}}, nil
}

// Prepare implements singleton.Task.
func (d *Driver) Prepare(register int, body messages.LeaseBody) (singleton.Job, bool) {
	var running []messages.ServiceRollout
	for _, rollout := range body.Rollouts {
		if canary.Stage(rollout.Stage).Running() {
			running = append(running, rollout)
		}
	}
	run := func(ctx context.Context, grant lease.Grant) {
		for _, rollout := range running {
			d.step(ctx, register, grant, body, rollout)
		}
	}
	return singleton.Job{Needed: len(running) > 0, Run: run}, len(running) > 0
}

// step starts to commit the next step of a rollout, if one is due.
func (d *Driver) step(ctx context.Context, register int, grant lease.Grant, body messages.LeaseBody, rollout messages.ServiceRollout) {
	view, agreed := d.view(rollout, canary.RevertedOf(body.Reverted, rollout.Service))
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
	if unchanged || !grant.MayAct || d.committing[key] {
		return
	}
	d.committing[key] = true
	go d.commitStep(ctx, register, body.Lease, rollout, step)
}

// commitStep commits a step to the register. If that fails, the step is due again.
func (d *Driver) commitStep(ctx context.Context, register int, current messages.Lease, rollout messages.ServiceRollout, step canary.Step) {
	_, err := d.config.Leases.Change(ctx, register, current, func(body *messages.LeaseBody) bool {
		next, changed := canary.Advance(body.Rollouts, rollout, step)
		body.Rollouts = next
		return changed
	})
	d.config.Log.Info("step of a service rollout",
		"service", rollout.Service, "version", rollout.Target,
		"stage", step.Stage.String(), "number", int(step.Stage), "share", step.SharePerMille,
		"reason", step.Reason, "err", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.committing, planKey{rollout.Service, rollout.Number})
}

// view returns the input of a rollout's plan, and whether the time of day is agreed on. Runners of reverted
// versions are left out: they get no requests.
func (d *Driver) view(rollout messages.ServiceRollout, reverted map[string]bool) (canary.View, bool) {
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
			if !reverted[runner.Version] {
				countRunner(&view, rollout.Target, runner, loads)
			}
		}
	})
	return view, agreed
}

// countRunner adds a runner of the service to a view.
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
