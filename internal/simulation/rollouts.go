// Model "rollouts": an operator sets new target weights while lease holders fail, runners are
// slow and replaced, and any step of a process may be delayed. rollout.Shard, lease.Contact and
// registry.Registry are the production code; the lease register (covered by the model
// "registers") and the routers are modelled.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Durations and bounds of a rollout history.
const (
	rolloutModel        = "model"
	rolloutService      = "service"
	oldWeightsBoundUs   = 8 * Second          // after an acknowledgement, no request starts on older weights
	orderBoundUs        = 5_500 * Millisecond // all orders have been sent
	routerBoundUs       = 5_700 * Millisecond // routers send no requests to older weights
	rolloutFaultsUs     = 30 * Second         // faults are injected and versions are set
	orderedUs           = 12 * Second         // after the last fault every runner has been ordered
	completedUs         = 45 * Second         // and has the newest weights
	thawSlackUs         = Second              // orders from a sender that was thawed more recently are not checked
	maxStepDelayUs      = 400 * Millisecond   // longest delay of a process step
	stepDelayPerMille   = 60                  // per mille
	maxStreamUs         = 20 * Second         // longest execution of a request at a runner
	maxQueuedUs         = 1_800 * Millisecond // longest wait in a runner's queue
	parallelWeightLoads = 3                   // concurrent weight loads that do not slow each other down
	weightLoadUs        = 400 * Millisecond   // duration of one weight load
	rolloutWarmupUs     = 2_500 * Millisecond // before the first version is set: processes discover each other
)

// rolloutHistory is the state of one simulated history.
type rolloutHistory struct {
	kernel               *Kernel
	network              *Network
	fleet                *fleet // the registrars that the coordinators read runners from
	coordinators         []*coordinator
	engines              []*engine
	group                *leaseGroup
	checks               rolloutChecks
	defects              Defects
	enforceVersionBound  bool // routers enforce the bound on old weights
	withControllerFaults bool // controller faults are injected
	healed               bool
	activeLoads          int
}

// PlayRollouts simulates the rollout history of a seed. In half of the histories there are no
// controller faults and routers do not enforce the bound, so that only the rollout itself keeps
// requests from starting on old weights too late.
func PlayRollouts(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	disturbed := k.Chance(500)
	h := newRolloutHistory(k, options.Defects, 3+2*k.Below(2), 4+k.Below(8))
	h.withControllerFaults, h.enforceVersionBound = disturbed, disturbed
	h.scheduleFaults()
	k.RunUntil(rolloutWarmupUs + rolloutFaultsUs)
	h.heal()
	k.RunUntil(k.NowUs() + orderedUs)
	h.checks.checkOrdered()
	k.RunUntil(k.NowUs() + completedUs - orderedUs)
	h.checks.checkCompleted()
	counts := Counts{RolloutHistories: 1, Orders: h.checks.orders, RolloutRequestsStarted: h.checks.started, LeaseTakeovers: h.group.register.holderChanges}
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: counts}
}

// newRolloutHistory starts controllers and runners.
func newRolloutHistory(k *Kernel, defects Defects, controllers, engines int) *rolloutHistory {
	h := &rolloutHistory{kernel: k, network: NewNetwork(k), defects: defects}
	h.checks = newRolloutChecks(h)
	h.fleet = &fleet{kernel: k, network: h.network}
	h.group = &leaseGroup{kernel: k, network: h.network, times: h.times()}
	for i := range controllers {
		r := &registrar{fleet: h.fleet, addr: registrarName(i), process: NewProcess(k)}
		h.fleet.registrars = append(h.fleet.registrars, r)
		h.coordinators = append(h.coordinators, newCoordinator(h, r))
	}
	for _, c := range h.coordinators {
		c.boot()
	}
	for i := range engines {
		e := &engine{history: h, address: fmt.Sprintf("engine-%d:1", i+1), version: 1}
		h.engines = append(h.engines, e)
		e.start()
	}
	return h
}

// scheduleFaults schedules the versions and the faults at random times.
func (h *rolloutHistory) scheduleFaults() {
	k := h.kernel
	for i := range 1 + k.Below(3) {
		version := int64(2 + i)
		atUs := rolloutWarmupUs + int64(i)*k.Between(300*Millisecond, 7*Second)
		k.After(atUs, func() { h.setVersion(version) })
	}
	for range k.Below(4) {
		k.After(k.Between(Second, rolloutFaultsUs), func() { h.replaceEngines() })
	}
	for range k.Below(3) {
		e := h.engines[k.Below(len(h.engines))]
		k.After(k.Between(0, rolloutFaultsUs), func() { h.slowDown(e, k.Between(Second, 8*Second)) })
	}
	if !h.withControllerFaults {
		return
	}
	for range 1 + k.Below(4) {
		atUs := rolloutWarmupUs + k.Between(0, 20*Second)
		forUs := k.Between(minFaultUs, maxFaultUs)
		k.After(atUs, func() { h.injectFault(forUs) })
	}
}

// setVersion makes an operator set the target version, and retry until it is acknowledged.
func (h *rolloutHistory) setVersion(version int64) {
	c := h.coordinators[h.kernel.Below(len(h.coordinators))]
	acknowledged := func() { h.checks.recordAcknowledged(version) }
	h.network.Send("operator", c.addr, func() {
		c.process.Deliver(func() { c.nameVersion(version, func() { h.network.Send(c.addr, "operator", acknowledged) }) })
	})
	h.kernel.After(Second, func() {
		if !h.checks.isAcknowledged(version) {
			h.setVersion(version)
		}
	})
}

// replaceEngines stops some runners. Replacements start at the same addresses with the same
// weights and register under new ids.
func (h *rolloutHistory) replaceEngines() {
	if h.healed {
		return
	}
	for _, e := range h.engines {
		if h.kernel.Chance(300) {
			e.stop()
			h.kernel.After(h.kernel.Between(100*Millisecond, 2*Second), e.start)
		}
	}
}

func (h *rolloutHistory) slowDown(e *engine, forUs int64) {
	h.kernel.Log("%s is slow for %d us", e.address, forUs)
	e.slowFactor = 5
	h.kernel.After(forUs, func() { e.slowFactor = 1 })
}

// holder returns the lease holder according to the register, or nil.
func (h *rolloutHistory) holder() *coordinator {
	if holder := h.group.holder(); holder != nil {
		return h.coordinators[holder.index]
	}
	return nil
}

// injectFault injects a fault into one controller, most often the lease holder.
func (h *rolloutHistory) injectFault(forUs int64) {
	if h.healed {
		return
	}
	k := h.kernel
	victim := h.coordinators[k.Below(len(h.coordinators))]
	if holder := h.holder(); holder != nil && k.Chance(700) {
		victim = holder
	}
	controllerFaults[k.Below(len(controllerFaults))](h, victim, forUs)
}

// controllerFaults are the faults that strike chooses from; each lasts for forUs.
var controllerFaults = []func(h *rolloutHistory, victim *coordinator, forUs int64){
	(*rolloutHistory).kill, (*rolloutHistory).freeze, (*rolloutHistory).cutOff, (*rolloutHistory).cutPair,
}

func (h *rolloutHistory) kill(victim *coordinator, forUs int64) {
	h.kernel.Log("%s is killed for %d us", victim.addr, forUs)
	victim.process.Stop()
	h.endFaultAfter(forUs, func() { h.restart(victim) })
}

func (h *rolloutHistory) freeze(victim *coordinator, forUs int64) {
	h.kernel.Log("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	h.endFaultAfter(forUs, func() { h.thaw(victim) })
}

// cutOff partitions a controller from all others; runners still reach it.
func (h *rolloutHistory) cutOff(victim *coordinator, forUs int64) {
	h.kernel.Log("%s is cut off for %d us", victim.addr, forUs)
	for _, other := range h.coordinators {
		h.cut(victim, other, forUs)
	}
}

// cutPair cuts the links between two controllers that both still reach the others.
func (h *rolloutHistory) cutPair(victim *coordinator, forUs int64) {
	other := h.coordinators[h.kernel.Below(len(h.coordinators))]
	h.kernel.Log("%s and %s are cut apart for %d us", victim.addr, other.addr, forUs)
	h.cut(victim, other, forUs)
}

func (h *rolloutHistory) endFaultAfter(forUs int64, end func()) {
	h.kernel.After(forUs, func() {
		if !h.healed {
			end()
		}
	})
}

func (h *rolloutHistory) cut(a, b *coordinator, forUs int64) {
	if a == b {
		return
	}
	h.fleet.healed = h.healed
	h.fleet.cutLink(a.addr, b.addr, forUs)
	h.fleet.cutLink(b.addr, a.addr, forUs)
}

func (h *rolloutHistory) restart(c *coordinator) {
	if !c.process.Up() {
		c.boot()
	}
}

func (h *rolloutHistory) thaw(c *coordinator) {
	c.thawedUs = h.kernel.NowUs()
	c.process.Thaw()
}

func (h *rolloutHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed, h.fleet.healed = true, true
	h.network.Heal()
	for _, c := range h.coordinators {
		h.thaw(c)
		h.restart(c)
	}
	for _, e := range h.engines {
		e.slowFactor = 1
	}
}

// times returns the lease durations, without the waits if that defect is injected.
func (h *rolloutHistory) times() lease.Times {
	if h.defects.ActWithoutWaiting {
		return lease.Times{ActUs: controllerLeaseTimes.ActUs}
	}
	return controllerLeaseTimes
}

// orderBound returns the time within which the plan must send all orders.
func (h *rolloutHistory) orderBound() int64 {
	if h.defects.OrderWithoutBound {
		return 100 * Second
	}
	return orderBoundUs
}

// targetOf returns the target version in a lease body, or 0.
func targetOf(body messages.LeaseBody) int64 {
	for _, t := range body.Targets {
		if t.Model == rolloutModel {
			return t.Version
		}
	}
	return 0
}
