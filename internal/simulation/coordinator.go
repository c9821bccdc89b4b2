// Coordinators: controllers as far as roll-outs are concerned. They drive the real
// lease.Role and rollout.Shard as the controller's roleManager and rolloutManager do.

package simulation

import (
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
	"beechtide.org/beechtide/internal/targets"
)

// Periods and waits of a coordinator.
const (
	shardEveryUs   = 100 * Millisecond
	askEveryUs     = 500 * Millisecond
	holderGoneUs   = 1_200 * Millisecond // a controller that has not answered for so long is gone
	orderWaitUs    = 700 * Millisecond
	reportWaitUs   = 600 * Millisecond
	registerWaitUs = Second
	cordonShift    = 20
)

// coordinator is one controller.
type coordinator struct {
	history   *rolloutHistory
	registrar *registrar
	thawedUs  int64

	// What follows is on disk.
	knownVersion int64
	known        messages.LeaseBody // the register as last learned
	usedFence    int64

	// What follows is gone with each life of the process.
	role    *lease.Role
	shard   *rollout.Shard
	targets targets.Table
	startUs int64
	contact lease.Contact
	reached map[string]int64
	busy    bool
	cordons int64
	polling map[string]bool
}

func (c *coordinator) addr() string      { return c.registrar.addr }
func (c *coordinator) process() *Process { return c.registrar.process }
func (c *coordinator) member() string    { return c.addr() + "/0" }
func (c *coordinator) nowUs() int64      { return c.process().NowUs() }

func (c *coordinator) boot() {
	h := c.history
	c.registrar.boot()
	c.role, c.shard = lease.NewRole(h.times()), rollout.NewShard(h.bound())
	c.targets, c.startUs = targets.Table{}, c.nowUs()
	c.contact = lease.Contact{Self: c.member()}
	c.reached, c.polling, c.busy = map[string]int64{}, map[string]bool{}, false
	if c.knownVersion > 0 {
		c.note(c.known.Targets)
	}
	h.fleet.every(c.process(), shardEveryUs, c.soon(c.step))
	h.fleet.every(c.process(), askEveryUs, c.ping)
}

// soon is a step that may be late.
func (c *coordinator) soon(run func()) func() {
	return func() { c.process().After(c.history.lateBy(), run) }
}

// ping asks every other for an answer, and tells it what is known of the register.
func (c *coordinator) ping() {
	h := c.history
	for _, other := range h.coordinators {
		if other == c {
			continue
		}
		if _, ever := c.reached[other.addr()]; !ever {
			c.reached[other.addr()] = c.nowUs()
		}
		version, body, sentUs := c.knownVersion, c.known, c.nowUs()
		ages := c.targets.Ages(sentUs)
		c.ask(other, func() {
			other.learn(version, body)
			other.targets.Observe(ages, other.nowUs())
		}, func() {
			c.reached[other.addr()] = c.nowUs()
			c.contact.Answered(other.member(), sentUs)
		})
	}
}

// ask has something happen at another, and here when its answer is back.
func (c *coordinator) ask(other *coordinator, there, answered func()) {
	net, back := c.history.network, c.process().InLife(answered)
	net.Send(c.addr(), other.addr(), func() {
		other.process().Deliver(func() {
			there()
			net.Send(other.addr(), c.addr(), back)
		})
	})
}

func (c *coordinator) learn(version int64, body messages.LeaseBody) {
	if version > c.knownVersion {
		c.knownVersion, c.known = version, body
		c.note(body.Targets)
	}
}

// note takes the versions that a register names. What a process finds as it starts
// was named before it began.
func (c *coordinator) note(named []messages.Target) {
	for _, t := range named {
		switch {
		case t.Version <= c.targets.Newest(t.Model).Version:
		case c.nowUs()-c.startUs < contactUs:
			c.targets.Recall(t.Model, t.Version, c.nowUs())
		default:
			c.targets.Named(t.Model, t.Version, c.nowUs())
		}
	}
}

// round asks a majority twice. The register is read or changed when it has answered
// the first time; the outcome is known when it has answered the second time.
func (c *coordinator) round(edit func(body *messages.LeaseBody) bool, done func(ok bool, now messages.LeaseBody)) {
	h := c.history
	ended := false
	end := func(ok bool, now messages.LeaseBody) {
		if !ended {
			ended = true
			done(ok, now)
		}
	}
	c.process().After(registerWaitUs, func() { end(false, messages.LeaseBody{}) })
	c.majority(c.soon(func() {
		h.register.change(edit)
		version, body := h.register.version, h.register.copy()
		c.majority(c.soon(func() {
			c.learn(version, body)
			c.spread(version, body)
			end(true, body)
		}))
	}))
}

// spread tells the others what was committed; who misses it hears it with a ping.
func (c *coordinator) spread(version int64, body messages.LeaseBody) {
	for _, other := range c.history.coordinators {
		if other != c {
			c.ask(other, func() { other.learn(version, body) }, func() {})
		}
	}
}

// majority runs something once more than half of the controllers have answered.
func (c *coordinator) majority(run func()) {
	h := c.history
	votes, needed := 1, len(h.coordinators)/2+1
	for _, other := range h.coordinators {
		if other == c {
			continue
		}
		c.ask(other, func() {}, func() {
			if votes++; votes == needed {
				run()
			}
		})
	}
}

// name records a version, as a call of the operator does.
func (c *coordinator) name(version int64, acknowledge func()) {
	target := messages.Target{Model: rolloutModel, Version: version}
	first := false
	edit := func(body *messages.LeaseBody) bool {
		first = body.Lease.Holder == ""
		return rollout.Name(body, target, c.member())
	}
	c.round(edit, func(ok bool, now messages.LeaseBody) {
		if !ok {
			return
		}
		if first && now.Lease.Holder == c.member() && now.Lease.Fence == lease.InitialFence {
			c.role.RecordInitialHolder(lease.InitialFence)
		}
		acknowledge()
	})
}

// step is one step of the role, and of the shard where the lease is held.
func (c *coordinator) step() {
	if c.knownVersion == 0 {
		return
	}
	models := c.models()
	view := c.view(rollout.Unfinished(models))
	step := c.role.Step(view)
	if (step.Acquire || step.Confirm) && !c.busy {
		c.busy = true
		if step.Acquire {
			c.acquire(view)
		} else {
			c.confirm()
		}
	}
	c.carryOut(c.shard.Step(c.nowUs(), step.Grant, models))
}

func (c *coordinator) models() []rollout.Model {
	return []rollout.Model{{
		Name: rolloutModel, Namings: rollout.NamingsOf(&c.targets, rolloutModel, c.history.bound(), c.nowUs()),
		Runners: rollout.RunnersOf(c.registrar.runners.Snapshot().ByID, rolloutModel, rolloutService),
	}}
}

func (c *coordinator) view(needed bool) lease.RoleView {
	h := c.history
	var group, candidates []string
	for _, other := range h.coordinators {
		group = append(group, other.member())
		if other.member() != c.known.Lease.Holder && !c.isGone(other.member()) {
			candidates = append(candidates, other.addr())
		}
	}
	rank, _ := lease.Rank(candidates, c.addr(), c.known.Lease)
	return lease.RoleView{
		NowUs: c.nowUs(), Self: c.member(), Lease: c.known.Lease, Needed: needed,
		HolderGone: c.isGone(c.known.Lease.Holder), InContact: c.contact.Holds(group, c.nowUs()), Rank: rank,
	}
}

// isGone tells whether a controller has not answered for long.
func (c *coordinator) isGone(member string) bool {
	for _, other := range c.history.coordinators {
		if other != c && other.member() == member {
			lastUs, ever := c.reached[other.addr()]
			return ever && c.nowUs()-lastUs > holderGoneUs
		}
	}
	return false
}

func (c *coordinator) acquire(view lease.RoleView) {
	was := view.Lease
	next := c.role.NextLease(was, view.FenceFloor)
	edit := func(body *messages.LeaseBody) bool {
		if body.Lease != was {
			return false
		}
		body.Lease = next
		return true
	}
	c.round(edit, func(ok bool, now messages.LeaseBody) {
		c.busy = false
		if ok && now.Lease == next {
			c.history.kernel.Note("%s acquires the lease under fence %d", c.addr(), next.Fence)
			c.role.Acquired(was, next, c.usedFence == was.Fence, c.nowUs())
		}
	})
}

func (c *coordinator) confirm() {
	askedUs := c.nowUs()
	unchanged := func(*messages.LeaseBody) bool { return false }
	c.round(unchanged, func(ok bool, now messages.LeaseBody) {
		c.busy = false
		if ok {
			c.role.Confirmed(now.Lease, askedUs, c.nowUs())
			c.step()
		}
	})
}

func (c *coordinator) carryOut(step rollout.Step) {
	if fence := step.Fence; step.Orders() && c.usedFence != fence {
		c.process().After(c.history.lateBy(), func() { c.usedFence = fence })
	}
	for _, a := range step.Models {
		for _, cordon := range a.Cordons {
			c.setCordon(cordon, step.Fence)
		}
		for _, o := range a.Orders {
			c.process().After(c.history.lateBy(), func() { c.order(o, step) })
		}
		for _, id := range a.Poll {
			c.poll(id)
		}
	}
}

func (c *coordinator) setCordon(to rollout.Cordon, fence int64) {
	c.cordons++
	if n, changed := c.registrar.runners.SetCordon(to.ID, to.Draining, to.Cordoned, fence<<cordonShift|c.cordons); changed {
		c.registrar.tell(n.ID)
	}
}

// order sends an order, unless the confirmation behind it has run out.
func (c *coordinator) order(o rollout.Order, step rollout.Step) {
	answered := false
	answer := func(a rollout.Answer) {
		if !answered {
			answered = true
			if a == rollout.FenceRefused {
				c.role.Refuse(step.Fence)
			}
			c.shard.Answered(rolloutModel, o, a, c.nowUs())
		}
	}
	if c.nowUs() >= step.UntilUs || c.role.Refused(step.Fence) {
		answer(rollout.NoAnswer)
		return
	}
	c.process().After(orderWaitUs, func() { answer(rollout.NoAnswer) })
	c.call(o.ID, func(e *engine) func() {
		a := e.order(o, step.Fence, c)
		return func() {
			if a == rollout.AlreadyHolds {
				c.recordWeights(o.ID, o.Version)
			}
			answer(a)
		}
	})
}

// call has something happen at a runner, and here when its answer is back.
func (c *coordinator) call(id string, at func(e *engine) func()) {
	h := c.history
	i := slices.IndexFunc(h.engines, func(e *engine) bool { return e.id() == id && e.up })
	if i < 0 {
		return
	}
	e := h.engines[i]
	h.network.Send(c.addr(), e.address, func() {
		if e.id() != id || !e.up {
			return
		}
		back := at(e)
		h.kernel.After(e.answersAfter(), func() { h.network.Send(e.address, c.addr(), c.process().InLife(back)) })
	})
}

func (c *coordinator) poll(id string) {
	if c.polling[id] {
		return
	}
	c.polling[id] = true
	askedUs, answered := c.nowUs(), false
	c.process().After(reportWaitUs, func() {
		delete(c.polling, id)
		if !answered {
			c.shard.NotReported(rolloutModel, id)
		}
	})
	c.call(id, func(e *engine) func() {
		said := e.report()
		return func() {
			answered = true
			delete(c.polling, id)
			if !said.Busy {
				c.recordWeights(id, said.Version)
			}
			c.shard.Reported(rolloutModel, id, said, askedUs, c.nowUs())
		}
	})
}

func (c *coordinator) recordWeights(id string, version int64) {
	if n, changed := c.registrar.runners.SetWeights(id, rolloutModel, version); changed {
		c.registrar.tell(n.ID)
	}
}
