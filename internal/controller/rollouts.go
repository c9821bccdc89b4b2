// Refits carries out the duty of bringing runners to named weights: it wins or
// takes over the claim, confirms it with a majority before it orders, and
// follows the plan.
package controller

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

type rollouts struct {
	mu     sync.Mutex
	shifts map[int]*lease.Lease
	plans  map[string]*rollout.Plan
	busy   map[int]bool
	polls  map[string]bool
	won    map[int]int64
	moved  map[int]moved
	acted  map[int]int64 // the newest fence this process has acted under
	bars   atomic.Int64
}

// moved is when this node saw a claim change hands.
type moved struct {
	fence, atUs int64
}

func (r *rollouts) init() {
	if r.shifts == nil {
		r.shifts, r.plans, r.busy = map[int]*lease.Lease{}, map[string]*rollout.Plan{}, map[int]bool{}
		r.polls, r.won, r.moved = map[string]bool{}, map[int]int64{}, map[int]moved{}
		r.acted = map[int]int64{}
	}
}

// wonFirst notes a claim that nobody held before.
func (r *rollouts) wonFirst(part int, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.won[part] = fence
}

func (d *Controller) reconcileRollouts(ctx context.Context) {
	r := &d.rollouts
	r.mu.Lock()
	r.init()
	for part := 1; part < consensus.Parts; part++ {
		if r.busy[part] {
			continue
		}
		v, ok := d.registers.Committed(part)
		if !ok {
			continue
		}
		body, err := leaseBody(v)
		if err != nil || len(body.Targets) == 0 {
			continue
		}
		r.busy[part] = true
		go func() {
			d.workLease(ctx, part, body)
			r.mu.Lock()
			r.busy[part] = false
			r.mu.Unlock()
		}()
	}
	r.mu.Unlock()
}

// behind gives, for a target, the versions of the runners that carry the model.
func (d *Controller) behind(t messages.Target) (versions map[string]int64, old bool, barred bool) {
	versions = map[string]int64{}
	for id, n := range d.registry.Snapshot().ByID {
		if n.Stale || n.Draining {
			continue
		}
		for _, m := range n.Models {
			if m.Model == t.Model {
				versions[id] = m.Version
				old = old || m.Version < t.Version
				barred = barred || (n.Barred || n.Easing) && m.Version >= t.Version
			}
		}
	}
	return versions, old, barred
}

func (d *Controller) workLease(ctx context.Context, part int, body messages.LeaseBody) {
	needed := false
	for _, t := range body.Targets {
		_, old, barred := d.behind(t)
		needed = needed || old || barred
	}
	if !needed {
		return
	}
	r := &d.rollouts
	r.mu.Lock()
	s := r.shifts[part]
	if s == nil {
		s = &lease.Lease{T: lease.Times{LeaseUs: int64(d.set.Bounds.LeaseMs) * 1000, ActUs: 400_000, SpareUs: 800_000}}
		r.shifts[part] = s
	}
	won := r.won[part]
	r.mu.Unlock()
	if body.Lease.Holder != d.registers.ID() {
		s.Lost()
		d.maybeTake(ctx, part, body.Lease, s)
		return
	}
	if won == body.Lease.Fence && s.Fence() != won {
		s.Took(won, lease.Nobody, d.clock())
	}
	if s.Fence() != body.Lease.Fence {
		// A claim of an earlier life of this process: a new fence puts all that
		// life said about runners behind what will be said now.
		d.take(ctx, part, body.Lease, s)
		return
	}
	if !s.MayAct(d.clock()) {
		askedUs := d.clock()
		cctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		v, err := d.registers.Read(cctx, part)
		cancel()
		if err != nil {
			return
		}
		now, err := leaseBody(v)
		if err != nil || now.Lease.Holder != d.registers.ID() {
			s.Lost()
			return
		}
		s.Confirmed(now.Lease.Fence, askedUs)
	}
	if s.ReadyInUs(d.clock()) > rollout.EaseUs+rollout.SettleUs {
		return
	}
	if s.MayAct(d.clock()) {
		d.noteActed(part, s.Fence())
	}
	for _, t := range body.Targets {
		d.follow(ctx, t, s)
	}
}

// reachable lists the live controllers that this one is not cut off from.
func (d *Controller) reachable() []messages.Peer {
	var out []messages.Peer
	for _, p := range d.monitor.Alive(messages.Controller) {
		if p.Addr == d.transport.Addr() || !d.calm.isCut(p.Addr) {
			out = append(out, p)
		}
	}
	return out
}

// takenAgainUs is how long a claim that has just changed hands is left alone,
// so that two who do not reach each other do not take it in turns.
const takenAgainUs = 8_000_000

// maybeTake takes the claim over once its holder is gone. Only the lowest live
// controller tries, so that two seldom meet in a ballot.
func (d *Controller) maybeTake(ctx context.Context, part int, was messages.Lease, s *lease.Lease) {
	alive := d.reachable()
	if len(alive) == 0 || alive[0].Addr != d.transport.Addr() {
		return
	}
	held := addrOf(was.Holder)
	for _, p := range alive {
		if p.MemberID == was.Holder && !d.calm.isCut(held) {
			return
		}
	}
	if was.Holder != "" && !d.calm.isCut(held) && d.monitor.DeadForUs(held) == 0 && d.clock()-d.startUs < 3_000_000 {
		return
	}
	d.rollouts.mu.Lock()
	recent := d.rollouts.moved[part]
	if recent.fence != was.Fence {
		first := recent.fence == 0
		recent = moved{was.Fence, d.clock()}
		if first {
			recent.atUs -= takenAgainUs
		}
		d.rollouts.moved[part] = recent
	}
	d.rollouts.mu.Unlock()
	if was.Holder != "" && d.clock()-recent.atUs < takenAgainUs {
		return
	}
	d.take(ctx, part, was, s)
}

// take wins the claim by a ballot, if it is still as it was.
func (d *Controller) take(ctx context.Context, part int, was messages.Lease, s *lease.Lease) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	v, err := d.registers.Change(cctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		body, err := leaseBody(cur)
		if err != nil {
			return nil, nil, err
		}
		if body.Lease != was {
			return nil, nil, errNoChange
		}
		body.Lease = messages.Lease{Holder: d.registers.ID(), Fence: was.Fence + 1}
		b, err := body.MarshalMsg(nil)
		return nil, b, err
	})
	if err != nil {
		return
	}
	if body, err := leaseBody(v); err == nil && body.Lease.Holder == d.registers.ID() {
		before := lease.Former(was.Holder, d.registers.ID(), d.actedUnder(part, was.Fence))
		s.Took(body.Lease.Fence, before, d.clock())
		d.log.Info("claim taken", "part", part, "fence", body.Lease.Fence)
	}
}

func (d *Controller) follow(ctx context.Context, t messages.Target, s *lease.Lease) {
	r := &d.rollouts
	r.mu.Lock()
	plan := r.plans[t.Model]
	if plan == nil || plan.Version != t.Version {
		plan = rollout.NewPlan(t.Version)
		r.plans[t.Model] = plan
	}
	r.mu.Unlock()
	versions, _, _ := d.behind(t)
	now := d.clock()
	plan.See(versions, now)
	for id, m := range versions {
		if n, ok := d.registry.Snapshot().ByID[id]; ok && (n.Barred || n.Easing) && m >= t.Version {
			d.bar(id, false, false, s.Fence())
		}
	}
	ease, bar, order := plan.Next(now)
	for _, id := range ease {
		d.bar(id, true, false, s.Fence())
		plan.Move(id, rollout.Easing, now)
	}
	for _, id := range bar {
		d.bar(id, false, true, s.Fence())
		plan.Move(id, rollout.Barred, now)
	}
	for _, id := range order {
		n, ok := d.registry.Snapshot().ByID[id]
		if !ok || !s.MayAct(d.clock()) {
			continue
		}
		plan.Move(id, rollout.Ordered, d.clock())
		go d.order(ctx, n, t, s.Fence(), s.ActUntilUs())
	}
	for id, j := range plan.Jobs {
		if j.Stage == rollout.Ordered {
			d.pollWeights(ctx, id, t)
		}
	}
}

func (d *Controller) bar(id string, easing, barred bool, fence int64) {
	if n, changed := d.registry.Bar(id, easing, barred, fence<<20|d.rollouts.bars.Add(1)); changed {
		d.tellRunners(n.ID)
	}
}

// orderWait is how long a runner may take to answer an order.
const orderWait = 800 * time.Millisecond

// order sends an order, unless the majority's word behind it has run out at untilUs.
// It tells whether the order went out.
func (d *Controller) order(ctx context.Context, n messages.RunnerRecord, t messages.Target, fence, untilUs int64) bool {
	b, err := json.Marshal(api.Order{Op: api.Version, Model: t.Model, Version: t.Version, Method: api.Hold, Holder: d.registers.ID(), Fence: fence})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	if d.clock() >= untilUs {
		return false
	}
	status, _, _, err := d.connPool.Ask(ctx, n.Addr, "POST", "/api/order", map[string]string{"Beechtide-Target-Instance": n.ID}, b)
	d.log.Info("order", "runner", n.ID, "version", t.Version, "fence", fence, "status", status, "err", err)
	if err == nil && status == 200 {
		d.tellWeights(n.ID, t)
	}
	return true
}

func (d *Controller) pollWeights(ctx context.Context, id string, t messages.Target) {
	r := &d.rollouts
	r.mu.Lock()
	running := r.polls[id]
	r.polls[id] = true
	r.mu.Unlock()
	n, ok := d.registry.Snapshot().ByID[id]
	if running || !ok {
		return
	}
	go func() {
		if rep, ok := d.report(ctx, n); ok && !rep.Saturated {
			for _, m := range rep.Models {
				if m.Name == t.Model && m.Version >= t.Version {
					d.tellWeights(id, t)
				}
			}
		}
		loop.Pause(ctx, 200*time.Millisecond)
		r.mu.Lock()
		delete(r.polls, id)
		r.mu.Unlock()
	}()
}

func (d *Controller) tellWeights(id string, t messages.Target) {
	if n, changed := d.registry.Weights(id, t.Model, t.Version); changed {
		d.log.Info("weights in place", "runner", id, "version", t.Version)
		d.tellRunners(n.ID)
	}
}
