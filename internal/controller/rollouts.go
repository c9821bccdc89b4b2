// The driver of the roll-outs: package rollout decides, and its actions are carried
// out here. Each model belongs to one register by its name alone, so that it has one
// lease holder and one sequence of fencing tokens.

package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// orderWait is how long a runner may take to answer an order.
const orderWait = 700 * time.Millisecond

// Bounds of a roll-out, in microseconds.
const (
	// defaultVersionUs stands for versionMs where the settings have none.
	defaultVersionUs = int64(8_000_000)
	// orderMarginUs is how long before versionMs all orders have gone out.
	orderMarginUs = int64(2_500_000)
)

// rolloutManager holds the plans for the models of each register.
type rolloutManager struct {
	controller *Controller
	boundUs    int64 // by when, after a naming, all orders have to be out
	cordons    atomic.Int64

	mu      sync.Mutex // guards what follows
	shards  map[int]*rollout.Shard
	polling map[string]bool // a runner's report was asked for
}

func newRolloutManager(d *Controller) *rolloutManager {
	boundUs := orderBoundUs(int64(d.set.Bounds.VersionMs) * 1000)
	m := &rolloutManager{controller: d, boundUs: boundUs, shards: map[int]*rollout.Shard{}, polling: map[string]bool{}}
	for part := 1; part < consensus.Parts; part++ {
		m.shards[part] = rollout.NewShard(boundUs)
	}
	return m
}

// orderBoundUs is by when, after a naming, all orders have to be out.
func orderBoundUs(versionUs int64) int64 {
	if versionUs == 0 {
		versionUs = defaultVersionUs
	}
	return max(versionUs-orderMarginUs, versionUs/4)
}

// committedBodies calls visit with the committed body of each register that has a lease.
func (m *rolloutManager) committedBodies(visit func(part int, body messages.LeaseBody)) {
	for part := 1; part < consensus.Parts; part++ {
		v, ok := m.controller.registers.Committed(part)
		if !ok {
			continue
		}
		if body, err := leaseBody(v); err == nil {
			visit(part, body)
		}
	}
}

// newest is the newest committed version of a model's weights, over all registers:
// earlier versions of the program chose the register by the configuration they held.
func (m *rolloutManager) newest(model string) int64 {
	newest := int64(0)
	m.committedBodies(func(_ int, body messages.LeaseBody) {
		for _, t := range body.Targets {
			if t.Model == model {
				newest = max(newest, t.Version)
			}
		}
	})
	return newest
}

// fenceFloor is the highest fence of another register that has a target of a model
// that belongs to this one.
func (m *rolloutManager) fenceFloor(part int) int64 {
	floor := int64(0)
	m.committedBodies(func(other int, body messages.LeaseBody) {
		if other == part {
			return
		}
		for _, t := range body.Targets {
			if consensus.PartOf(t.Model) == part {
				floor = max(floor, body.Lease.Fence)
			}
		}
	})
	return floor
}

// prepare is part of task.
func (m *rolloutManager) prepare(part int, _ messages.LeaseBody) (job, bool) {
	models := m.models(part)
	run := func(ctx context.Context, grant lease.Grant) {
		m.mu.Lock()
		step := m.shards[part].Step(m.controller.clock(), grant, models)
		m.mu.Unlock()
		m.carryOut(ctx, part, grant, step)
	}
	return job{needed: rollout.Unfinished(models), fenceFloor: m.fenceFloor(part), run: run}, len(models) > 0
}

// unfinished reports whether any model has runners to be brought to a named version.
func (m *rolloutManager) unfinished() bool {
	for part := 1; part < consensus.Parts; part++ {
		if rollout.Unfinished(m.models(part)) {
			return true
		}
	}
	return false
}

// models are those that belong to a register, with their runners as known now.
func (m *rolloutManager) models(part int) []rollout.Model {
	var out []rollout.Model
	for _, name := range m.controller.targets.models() {
		if consensus.PartOf(name) != part {
			continue
		}
		namings := m.controller.targets.namings(name, m.boundUs, m.controller.clock())
		out = append(out, rollout.Model{Name: name, Namings: namings, Runners: m.controller.runnersOf(name)})
	}
	return out
}

// runnersOf lists the runners that carry a model, as the registry and the
// configuration have them.
func (d *Controller) runnersOf(model string) []rollout.Runner {
	service := ""
	if t := d.table.Load(); t != nil {
		service = t.ServiceOfModel(model)
	}
	return rollout.RunnersOf(d.registry.Snapshot().ByID, model, service)
}

// carryOut does what a step asks for at the runners.
func (m *rolloutManager) carryOut(ctx context.Context, part int, grant lease.Grant, step rollout.Step) {
	if step.Orders() {
		m.controller.roles.recordFenceUsed(part, step.Fence)
	}
	for _, a := range step.Models {
		for _, c := range a.Cordons {
			m.setCordon(c, step.Fence)
		}
		for _, o := range a.Orders {
			go m.order(ctx, part, a.Model, o, grant)
		}
		for _, id := range a.Poll {
			m.poll(ctx, part, a.Model, id)
		}
	}
}

// fenceShift leaves room below a fence for the cordons set under it, in their order.
const fenceShift = 20

func (m *rolloutManager) setCordon(c rollout.Cordon, fence int64) {
	d := m.controller
	if n, changed := d.registry.SetCordon(c.ID, c.Draining, c.Cordoned, fence<<fenceShift|m.cordons.Add(1)); changed {
		d.publishRunners(n.ID)
	}
}
