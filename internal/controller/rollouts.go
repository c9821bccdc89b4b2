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

// Periods and waits of the driver.
const (
	rolloutPeriod = 100 * time.Millisecond
	confirmLease  = 600 * time.Millisecond
	acquireLease  = time.Second
	// orderWait is how long a runner may take to answer an order.
	orderWait = 700 * time.Millisecond
)

// Times of the duty, in microseconds.
const (
	actUs = int64(400_000)
	// spareUs is for an order that was sent and has not arrived; it exceeds orderWait.
	spareUs = int64(800_000)
	// defaultVersionUs stands for versionMs where the settings have none.
	defaultVersionUs = int64(8_000_000)
	// orderMarginUs is how long before versionMs all orders have gone out.
	orderMarginUs = int64(2_500_000)
)

// rolloutManager holds a shard of the duty for each register.
type rolloutManager struct {
	controller *Controller
	times      lease.Times
	boundUs    int64 // by when, after a naming, all orders have to be out
	cordons    atomic.Int64

	mu      sync.Mutex // guards what follows
	shards  map[int]*rollout.Shard
	busy    map[int]bool    // a round for the lease is under way
	polling map[string]bool // a runner's report was asked for
	used    map[int]int64   // the newest fence this process has acted under
}

func newRolloutManager(d *Controller) *rolloutManager {
	bounds := d.set.Bounds
	boundUs := orderBoundUs(int64(bounds.VersionMs) * 1000)
	m := &rolloutManager{
		controller: d,
		times:      lease.Times{LeaseUs: int64(bounds.LeaseMs) * 1000, ActUs: actUs, SpareUs: spareUs},
		boundUs:    boundUs,
		shards:     map[int]*rollout.Shard{}, busy: map[int]bool{}, polling: map[string]bool{}, used: map[int]int64{},
	}
	for part := 1; part < consensus.Parts; part++ {
		m.shards[part] = rollout.NewShard(m.times, boundUs)
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

// recordInitialHolder notes a lease that came with the first naming of weights.
func (m *rolloutManager) recordInitialHolder(part int, l messages.Lease) {
	if l.Holder != m.controller.registers.ID() || l.Fence != rollout.InitialFence {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[part].RecordInitialHolder(l.Fence)
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

// step takes the next steps of each shard.
func (m *rolloutManager) step(ctx context.Context) {
	for part := 1; part < consensus.Parts; part++ {
		m.stepShard(ctx, part)
	}
}

func (m *rolloutManager) stepShard(ctx context.Context, part int) {
	models := m.models(part)
	if len(models) == 0 {
		return
	}
	v, ok := m.controller.registers.Committed(part)
	body, err := leaseBody(v)
	if !ok || err != nil {
		return
	}
	view := m.view(part, v.Group, body.Lease)
	view.Models = models
	m.mu.Lock()
	step := m.shards[part].Step(view)
	round := (step.Acquire || step.Confirm) && !m.busy[part]
	m.busy[part] = m.busy[part] || round
	m.mu.Unlock()
	if round {
		go m.round(ctx, part, view, step)
	}
	m.carryOut(ctx, part, step)
}

// view is what this controller sees of a register's lease and its holder.
func (m *rolloutManager) view(part int, group []messages.Member, l messages.Lease) rollout.View {
	d := m.controller
	rank, candidate := m.rank(l)
	eligible := candidate || l.Holder == d.registers.ID()
	return rollout.View{
		NowUs: d.clock(), Self: d.registers.ID(), Lease: l, FenceFloor: m.fenceFloor(part),
		HolderGone: m.gone(l.Holder), InContact: eligible && d.hasContact(group), Rank: rank,
	}
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

// round carries out a round of the register for the lease, and goes on at once.
func (m *rolloutManager) round(ctx context.Context, part int, view rollout.View, step rollout.Step) {
	if step.Acquire {
		m.acquire(ctx, part, view)
	} else {
		m.confirm(ctx, part)
	}
	m.mu.Lock()
	m.busy[part] = false
	m.mu.Unlock()
	if step.Confirm {
		m.stepShard(ctx, part)
	}
}

// confirm asks a majority whether the lease still stands.
func (m *rolloutManager) confirm(ctx context.Context, part int) {
	d := m.controller
	askedUs := d.clock()
	ctx, cancel := context.WithTimeout(ctx, confirmLease)
	defer cancel()
	v, err := d.registers.Read(ctx, part)
	if err != nil {
		return
	}
	body, err := leaseBody(v)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[part].Confirmed(body.Lease, askedUs, d.clock())
}

// acquire wins the lease by a ballot, if it is still as it was.
func (m *rolloutManager) acquire(ctx context.Context, part int, view rollout.View) {
	d, was := m.controller, view.Lease
	m.mu.Lock()
	next := m.shards[part].NextLease(was, view.FenceFloor)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, acquireLease)
	defer cancel()
	v, err := d.registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		body, err := leaseBody(cur)
		if err != nil {
			return nil, nil, err
		}
		if body.Lease != was {
			return nil, nil, errNoChange
		}
		body.Lease = next
		b, err := body.MarshalMsg(nil)
		return nil, b, err
	})
	if err != nil {
		d.log.Info("lease not acquired", "part", part, "fence", next.Fence, "err", err)
		return
	}
	body, err := leaseBody(v)
	if err != nil || body.Lease != next {
		return
	}
	used := m.usedFence(part, was.Fence)
	m.mu.Lock()
	m.shards[part].Acquired(was, next, used, d.clock())
	m.mu.Unlock()
	d.log.Info("lease acquired", "part", part, "fence", next.Fence, "from", was.Holder)
}

// carryOut does what a step asks for at the runners.
func (m *rolloutManager) carryOut(ctx context.Context, part int, step rollout.Step) {
	if step.Orders() {
		m.recordFenceUsed(part, step.Fence)
	}
	for _, a := range step.Models {
		for _, c := range a.Cordons {
			m.setCordon(c, step.Fence)
		}
		for _, o := range a.Orders {
			go m.order(ctx, part, a.Model, o, step)
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
