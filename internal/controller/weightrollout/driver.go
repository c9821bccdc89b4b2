// Package weightrollout brings runners to the named versions of their models' weights: package
// rollout decides, and a Driver carries its steps out under the lease of the register that a
// model belongs to (package singleton).
//
// Each model belongs to one register by its name alone, so that it has one lease holder and
// one sequence of fencing tokens. A Driver is safe for concurrent use.
package weightrollout

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// Bounds of a rollout, in microseconds.
const (
	// defaultVersionUs stands for versionMs where the settings have none.
	defaultVersionUs = int64(8_000_000)
	// orderMarginUs is how long before versionMs all orders have gone out.
	orderMarginUs = int64(2_500_000)
)

// Config is what a Driver is given. All fields but VersionUs are required.
type Config struct {
	// VersionUs is the time within which runners are to have a named version, in
	// microseconds; 0: defaultVersionUs.
	VersionUs int64
	Clock     func() int64 // microseconds, monotonic
	Log       logr.Logger
	Registers singleton.Registers
	Fences    Fences
	Targets   Targets
	Runners   Runners
	API       RunnerAPI
	// ServiceOf returns the service whose runners carry a model, as the configuration has
	// it; empty where none does.
	ServiceOf func(model string) string
	// Publish sends the changed records of runners to all nodes.
	Publish func(ids ...string)
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("weightrollout: incomplete configuration")

func (c *Config) check() error {
	complete := c.Clock != nil && c.Registers != nil && c.Fences != nil && c.Targets != nil && c.Runners != nil &&
		c.API != nil && c.ServiceOf != nil && c.Publish != nil
	if !complete {
		return ErrConfig
	}
	return nil
}

// Driver holds the plans for the models of each register.
type Driver struct {
	config  Config
	boundUs int64 // by when, after a naming, all orders have to be out
	cordons atomic.Int64

	mu      sync.Mutex // guards what follows
	shards  map[int]*rollout.Shard
	polling map[string]bool // a runner's report was asked for
}

// New returns a driver without plans.
func New(config Config) (*Driver, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	d := &Driver{
		config:  config,
		boundUs: orderBoundUs(config.VersionUs),
		shards:  map[int]*rollout.Shard{},
		polling: map[string]bool{},
	}
	for part := 1; part < consensus.RegisterCount; part++ {
		d.shards[part] = rollout.NewShard(d.boundUs)
	}
	return d, nil
}

// orderBoundUs is by when, after a naming, all orders have to be out.
func orderBoundUs(versionUs int64) int64 {
	if versionUs == 0 {
		versionUs = defaultVersionUs
	}
	return max(versionUs-orderMarginUs, versionUs/4)
}

// Newest returns the newest committed version of a model's weights, over all registers:
// earlier versions of the program chose the register by the configuration they held.
func (d *Driver) Newest(model string) int64 {
	newest := int64(0)
	singleton.CommittedBodies(d.config.Registers, func(_ int, body messages.LeaseBody) {
		for _, target := range body.Targets {
			if target.Model == model {
				newest = max(newest, target.Version)
			}
		}
	})
	return newest
}

// FenceFloor returns the highest fence of another register that has a target of a model
// that belongs to this one.
func (d *Driver) FenceFloor(part int) int64 {
	floor := int64(0)
	singleton.CommittedBodies(d.config.Registers, func(other int, body messages.LeaseBody) {
		if other == part {
			return
		}
		for _, target := range body.Targets {
			if consensus.RegisterOf(target.Model) == part {
				floor = max(floor, body.Lease.Fence)
			}
		}
	})
	return floor
}

// Prepare is part of singleton.Task.
func (d *Driver) Prepare(part int, _ messages.LeaseBody) (singleton.Job, bool) {
	models := d.Models(part)
	run := func(ctx context.Context, grant lease.Grant) {
		d.mu.Lock()
		step := d.shards[part].Step(d.config.Clock(), grant, models)
		d.mu.Unlock()
		d.carryOut(ctx, part, grant, step)
	}
	job := singleton.Job{Needed: rollout.Unfinished(models), FenceFloor: d.FenceFloor(part), Run: run}
	return job, len(models) > 0
}

// Unfinished reports whether any model has runners to be brought to a named version.
func (d *Driver) Unfinished() bool {
	for part := 1; part < consensus.RegisterCount; part++ {
		if rollout.Unfinished(d.Models(part)) {
			return true
		}
	}
	return false
}

// Models returns the models that belong to a register, with their runners as known now.
func (d *Driver) Models(part int) []rollout.Model {
	var out []rollout.Model
	for _, name := range d.config.Targets.Models() {
		if consensus.RegisterOf(name) != part {
			continue
		}
		out = append(out, rollout.Model{
			Name:          name,
			NamedVersions: d.config.Targets.Namings(name, d.boundUs, d.config.Clock()),
			Runners:       d.RunnersOf(name),
		})
	}
	return out
}

// RunnersOf returns the runners that carry a model, as the registry and the
// configuration have them.
func (d *Driver) RunnersOf(model string) []rollout.Runner {
	return rollout.RunnersOf(d.config.Runners.Snapshot().ByID, model, d.config.ServiceOf(model))
}

// carryOut does what a step asks for at the runners.
func (d *Driver) carryOut(ctx context.Context, part int, grant lease.Grant, step rollout.Step) {
	if step.HasOrders() {
		d.config.Fences.RecordFenceUsed(part, step.Fence)
	}
	for _, actions := range step.Models {
		for _, cordon := range actions.Cordons {
			d.setCordon(cordon, step.Fence)
		}
		for _, order := range actions.Orders {
			go d.order(ctx, part, actions.Model, order, grant)
		}
		for _, id := range actions.Poll {
			d.poll(ctx, part, actions.Model, id)
		}
	}
}

// fenceShift leaves room below a fence for the cordons set under it, in their order.
const fenceShift = 20

func (d *Driver) setCordon(cordon rollout.Cordon, fence int64) {
	version := fence<<fenceShift | d.cordons.Add(1)
	record, changed := d.config.Runners.SetCordon(cordon.ID, cordon.Draining, cordon.Cordoned, version)
	if changed {
		d.config.Publish(record.ID)
	}
}
