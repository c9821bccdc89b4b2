// Package weightrollout rolls out the named versions of models' weights to their runners: package
// rollout plans the steps, and a Driver executes them under the lease of the register that a
// model belongs to (package singleton).
//
// The register of a model depends only on its name, so that each model has one lease holder and
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
	// defaultVersionUs is used if versionMs is not set in the settings.
	defaultVersionUs = int64(8_000_000)
	// orderMarginUs is how long before the end of versionMs all orders must have been sent.
	orderMarginUs = int64(2_500_000)
)

// Config configures a Driver. All fields but VersionUs are required.
type Config struct {
	// VersionUs is the time after a naming within which runners must serve the named
	// version, in microseconds; 0: defaultVersionUs.
	VersionUs int64
	Clock     func() int64 // microseconds, monotonic
	Log       logr.Logger
	Registers singleton.Registers
	Fences    Fences
	Targets   Targets
	Runners   Runners
	API       RunnerAPI
	// ServiceOf returns the service whose runners serve a model, according to the
	// configuration; empty if there is none.
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

// Driver executes the rollout plans of the models of each register.
type Driver struct {
	config  Config
	boundUs int64 // time after a naming by which all orders must have been sent
	cordons atomic.Int64

	mu      sync.Mutex // guards what follows
	shards  map[int]*rollout.Shard
	polling map[string]bool // runners whose report is being requested
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
	for register := 1; register < consensus.RegisterCount; register++ {
		d.shards[register] = rollout.NewShard(d.boundUs)
	}
	return d, nil
}

// orderBoundUs returns the time after a naming by which all orders must have been sent.
func orderBoundUs(versionUs int64) int64 {
	if versionUs == 0 {
		versionUs = defaultVersionUs
	}
	return max(versionUs-orderMarginUs, versionUs/4)
}

// NewestVersion returns the newest committed version of a model's weights, over all registers:
// earlier versions of the program chose the register by their configuration.
func (d *Driver) NewestVersion(model string) int64 {
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

// FenceFloor returns the highest fencing token of the other registers that have a target of a
// model that belongs to this one.
func (d *Driver) FenceFloor(register int) int64 {
	floor := int64(0)
	singleton.CommittedBodies(d.config.Registers, func(other int, body messages.LeaseBody) {
		if other == register {
			return
		}
		for _, target := range body.Targets {
			if consensus.RegisterOf(target.Model) == register {
				floor = max(floor, body.Lease.Fence)
			}
		}
	})
	return floor
}

// Prepare implements singleton.Task.
func (d *Driver) Prepare(register int, _ messages.LeaseBody) (singleton.Job, bool) {
	models := d.Models(register)
	run := func(ctx context.Context, grant lease.Grant) {
		d.mu.Lock()
		step := d.shards[register].Step(d.config.Clock(), grant, models)
		d.mu.Unlock()
		d.executeStep(ctx, register, grant, step)
	}
	job := singleton.Job{Needed: rollout.Unfinished(models), FenceFloor: d.FenceFloor(register), Run: run}
	return job, len(models) > 0
}

// Unfinished reports whether any model has runners that do not serve the named version yet.
func (d *Driver) Unfinished() bool {
	for register := 1; register < consensus.RegisterCount; register++ {
		if rollout.Unfinished(d.Models(register)) {
			return true
		}
	}
	return false
}

// Models returns the models that belong to a register, with the runners that are in the registry.
func (d *Driver) Models(register int) []rollout.Model {
	var out []rollout.Model
	for _, name := range d.config.Targets.Models() {
		if consensus.RegisterOf(name) != register {
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

// RunnersOf returns the runners that serve a model, according to the registry and the
// configuration.
func (d *Driver) RunnersOf(model string) []rollout.Runner {
	return rollout.RunnersOf(d.config.Runners.Snapshot().ByID, model, d.config.ServiceOf(model))
}

// executeStep executes a step: it sets cordons, sends orders and polls reports.
func (d *Driver) executeStep(ctx context.Context, register int, grant lease.Grant, step rollout.Step) {
	if step.HasOrders() {
		d.config.Fences.RecordFenceUsed(register, step.Fence)
	}
	for _, actions := range step.Models {
		for _, cordon := range actions.Cordons {
			d.setCordon(cordon, step.Fence)
		}
		for _, order := range actions.Orders {
			go d.sendAndRecordOrder(ctx, register, actions.Model, order, grant)
		}
		for _, id := range actions.Poll {
			d.poll(ctx, register, actions.Model, id)
		}
	}
}

// fenceShift is the number of low bits of a cordon's version that count the cordons; the fencing
// token is in the bits above.
const fenceShift = 20

func (d *Driver) setCordon(cordon rollout.Cordon, fence int64) {
	version := fence<<fenceShift | d.cordons.Add(1)
	record, changed := d.config.Runners.SetCordon(cordon.ID, cordon.Draining, cordon.Cordoned, version)
	if changed {
		d.config.Publish(record.ID)
	}
}
