// The calls of a roll-out to runners: orders, and requests for their reports.

package controller

import (
	"context"
	"encoding/json"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// order sends an order and hands over its answer. A runner that refuses the fence has an
// order of a later holder.
func (m *rolloutManager) order(ctx context.Context, part int, model string, o rollout.Order, grant lease.Grant) {
	d := m.controller
	answer := rollout.NoAnswer
	if n, ok := d.registry.Snapshot().ByID[o.ID]; ok {
		body := api.Order{Op: api.Version, Model: model, Version: o.Version, Method: api.Hold, Holder: d.registers.ID(), Fence: grant.Fence, Expected: o.Expected}
		status, _ := d.sendOrder(ctx, n, body, func() bool { return d.roles.mayCall(part, grant.Fence) })
		answer = rollout.AnswerOf(status)
	}
	if answer == rollout.AlreadyHolds {
		d.recordWeights(o.ID, model, o.Version)
	}
	if answer == rollout.FenceRefused {
		d.roles.refuse(part, grant.Fence)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[part].Answered(model, o, answer, d.clock())
}

// sendOrder sends an order, if it may still go as it leaves. It gives the status of the
// answer, 0 where there was none, and tells whether the order went out.
func (d *Controller) sendOrder(ctx context.Context, n messages.RunnerRecord, o api.Order, mayGo func() bool) (status int, sent bool) {
	b, err := json.Marshal(o)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	if !mayGo() {
		return 0, false
	}
	status, _, err = d.connPool.Ask(ctx, n.Addr, "POST", "/api/order", map[string]string{"Beechtide-Target-Instance": n.ID}, b)
	d.log.Info("order", "runner", n.ID, "version", o.Version, "fence", o.Fence, "status", status, "err", err)
	if err != nil {
		return 0, true
	}
	return status, true
}

// poll asks a runner for its report, one at a time, and hands over what it says of
// a model.
func (m *rolloutManager) poll(ctx context.Context, part int, model, id string) {
	d := m.controller
	n, ok := d.registry.Snapshot().ByID[id]
	m.mu.Lock()
	running := m.polling[id]
	m.polling[id] = ok
	m.mu.Unlock()
	if running || !ok {
		return
	}
	go func() {
		askedUs := d.clock()
		report, ok := d.report(ctx, n)
		said := rollout.Report{Busy: report.Saturated, Idle: report.Active == 0, Sequence: report.Sequence}
		for _, carried := range report.Models {
			if carried.Name == model {
				said.Version = carried.Version
			}
		}
		if ok && !said.Busy && said.Version > 0 {
			d.recordWeights(id, model, said.Version)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.polling, id)
		if ok {
			m.shards[part].Reported(model, id, said, askedUs, d.clock())
		} else {
			m.shards[part].NotReported(model, id)
		}
	}()
}

// recordWeights notes the version of a model at a runner, and passes it on.
func (d *Controller) recordWeights(id, model string, version int64) {
	if n, changed := d.registry.SetWeights(id, model, version); changed {
		d.log.Info("weights in place", "runner", id, "version", version)
		d.publishRunners(n.ID)
	}
}
