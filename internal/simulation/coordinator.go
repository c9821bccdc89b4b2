// Model of a controller for rollouts. It drives the real lease.Role and rollout.Shard as
// the controller's roleManager and rolloutManager do.

package simulation

import (
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
	"beechtide.org/beechtide/internal/targets"
)

// Timeouts of a coordinator, and the shift of the fence in the sequence number of a cordon.
const (
	orderTimeoutUs  = 700 * Millisecond
	reportTimeoutUs = 600 * Millisecond
	cordonShift     = 20
)

// coordinator is the rollout side of one controller.
type coordinator struct {
	*leaseMember
	history   *rolloutHistory
	registrar *registrar

	// The fields below are reset with each life of the process.
	shard   *rollout.Shard
	targets targets.Table
	startUs int64
	cordons int64
	polling map[string]bool
}

func newCoordinator(h *rolloutHistory, r *registrar) *coordinator {
	c := &coordinator{history: h, registrar: r, leaseMember: h.group.add(r.addr, r.process)}
	c.onLearn = func(body messages.LeaseBody) { c.recordNamed(body.Targets) }
	c.onPing = func(other *leaseMember) func() {
		ages := c.targets.Ages(c.nowUs())
		there := h.coordinators[other.index]
		return func() { there.targets.MergeAges(ages, there.nowUs()) }
	}
	return c
}

func (c *coordinator) boot() {
	h := c.history
	c.registrar.boot()
	c.shard = rollout.NewShard(h.orderBound())
	c.targets, c.startUs = targets.Table{}, c.nowUs()
	c.polling = map[string]bool{}
	c.leaseMember.boot()
	h.fleet.every(c.process, roleEveryUs, c.delayed(c.step))
}

// recordNamed records the versions named in the register. Versions learned right after the start
// may have been named before the start, so their age is unknown.
func (c *coordinator) recordNamed(named []messages.Target) {
	for _, t := range named {
		switch {
		case t.Version <= c.targets.Newest(t.Model).Version:
		case c.nowUs()-c.startUs < contactUs:
			c.targets.RecordUnknownAge(t.Model, t.Version, c.nowUs())
		default:
			c.targets.RecordNamed(t.Model, t.Version, c.nowUs())
		}
	}
}

// nameVersion adds a version to the register, as an operator's call does.
func (c *coordinator) nameVersion(version int64, acknowledge func()) {
	target := messages.Target{Model: rolloutModel, Version: version}
	first := false
	edit := func(body *messages.LeaseBody) bool {
		first = body.Lease.Holder == ""
		return rollout.RecordTarget(body, target, c.member())
	}
	c.runRound(edit, func(ok bool, now messages.LeaseBody) {
		if !ok {
			return
		}
		if first && now.Lease.Holder == c.member() && now.Lease.Fence == lease.InitialFence {
			c.role.RecordInitialHolder(lease.InitialFence)
		}
		acknowledge()
	})
}

// step runs one step of the role and of the shard, which issues orders under the role's grant.
func (c *coordinator) step() {
	if c.knownVersion == 0 {
		return
	}
	models := c.models()
	grant := c.stepRole(rollout.Unfinished(models), c.step)
	c.executeStep(c.shard.Step(c.nowUs(), grant, models))
}

func (c *coordinator) models() []rollout.Model {
	return []rollout.Model{{
		Name: rolloutModel, NamedVersions: rollout.NamedVersions(&c.targets, rolloutModel, c.history.orderBound(), c.nowUs()),
		Runners: rollout.RunnersOf(c.registrar.runners.Snapshot().ByID, rolloutModel, rolloutService),
	}}
}

func (c *coordinator) executeStep(step rollout.Step) {
	if step.HasOrders() {
		c.recordFenceUsed(step.Fence)
	}
	for _, a := range step.Models {
		for _, cordon := range a.Cordons {
			c.setCordon(cordon, step.Fence)
		}
		for _, o := range a.Orders {
			c.process.After(c.group.stepDelayUs(), func() { c.sendOrder(o, step) })
		}
		for _, id := range a.Poll {
			c.poll(id)
		}
	}
}

func (c *coordinator) setCordon(to rollout.Cordon, fence int64) {
	c.cordons++
	if n, changed := c.registrar.runners.SetCordon(to.ID, to.Draining, to.Cordoned, fence<<cordonShift|c.cordons); changed {
		c.registrar.publish(n.ID)
	}
}

// sendOrder sends a load order, unless the lease confirmation behind it has expired.
func (c *coordinator) sendOrder(o rollout.Order, step rollout.Step) {
	answered := false
	answer := func(a rollout.Answer) {
		if !answered {
			answered = true
			if a == rollout.FenceRefused {
				c.role.RecordRefusal(step.Fence)
			}
			c.shard.RecordAnswer(rolloutModel, o, a, c.nowUs())
		}
	}
	if !c.role.MayCall(step.Fence, c.nowUs()) {
		answer(rollout.NoAnswer)
		return
	}
	c.process.After(orderTimeoutUs, func() { answer(rollout.NoAnswer) })
	c.call(o.ID, func(e *engine) func() {
		a := e.handleOrder(o, step.Fence, c)
		return func() {
			if a == rollout.AlreadyLoaded {
				c.recordWeights(o.ID, o.Version)
			}
			answer(a)
		}
	})
}

// call runs at in a runner, and the callback that it returns here once the answer arrives.
func (c *coordinator) call(id string, at func(e *engine) func()) {
	h := c.history
	i := slices.IndexFunc(h.engines, func(e *engine) bool { return e.id() == id && e.up })
	if i < 0 {
		return
	}
	e := h.engines[i]
	h.network.Send(c.addr, e.address, func() {
		if e.id() != id || !e.up {
			return
		}
		back := at(e)
		h.kernel.After(e.answerDelayUs(), func() { h.network.Send(e.address, c.addr, c.process.InLife(back)) })
	})
}

func (c *coordinator) poll(id string) {
	if c.polling[id] {
		return
	}
	c.polling[id] = true
	sentUs, answered := c.nowUs(), false
	c.process.After(reportTimeoutUs, func() {
		delete(c.polling, id)
		if !answered {
			c.shard.RecordMissingReport(rolloutModel, id)
		}
	})
	c.call(id, func(e *engine) func() {
		report := e.report()
		return func() {
			answered = true
			delete(c.polling, id)
			if !report.Busy {
				c.recordWeights(id, report.Version)
			}
			c.shard.RecordReport(rolloutModel, id, report, sentUs, c.nowUs())
		}
	})
}

func (c *coordinator) recordWeights(id string, version int64) {
	if n, changed := c.registrar.runners.SetWeights(id, rolloutModel, version); changed {
		c.registrar.publish(n.ID)
	}
}
