// Rollouts: weights are named while holders are lost, runners are slow and
// replaced, and any step of a process may be late. The real rollout.Shard,
// lease.Contact and registry.Registry run; the register of the lease is a model of
// one (the model "registers" plays the real ones), as are the routers.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Bounds of a history of rollouts.
const (
	rolloutModel    = "model"
	rolloutService  = "service"
	versionUs       = 8 * Second          // nothing begins on older weights later after an acknowledgement
	orderBoundUs    = 5_500 * Millisecond // all orders have gone out
	routerBoundUs   = 5_700 * Millisecond // routers send nothing to older weights
	rolloutFaultsUs = 30 * Second         // faults come and versions are named
	orderedUs       = 12 * Second         // after the last fault every runner has been ordered
	completedUs     = 45 * Second         // and holds the newest weights
	thawSlackUs     = Second              // orders of a sender that has just thawed are not counted
	lateStepUs      = 400 * Millisecond   // what any step of a process may take
	lateStepChance  = 60                  // in a thousand
	maxStreamUs     = 20 * Second         // the longest run at a runner
	maxQueuedUs     = 1_800 * Millisecond // the longest wait in a runner's queue
	siteLoads       = 3                   // loads that run at once without slowing one another down
	loadTakesUs     = 400 * Millisecond   // of one load
	noVersionsUs    = 2_500 * Millisecond // before the first naming: processes know of one another
)

// rolloutHistory is everything in one history.
type rolloutHistory struct {
	kernel       *Kernel
	network      *Network
	fleet        *fleet // the registrars, which the coordinators go by
	coordinators []*coordinator
	engines      []*engine
	group        *leaseGroup
	checks       rolloutChecks
	defects      Defects
	bounded      bool // routers keep the bound on old weights
	disturbed    bool // faults of controllers are part of the history
	healed       bool
	loading      int
}

// PlayRollouts plays the rollouts' history of a seed. In every second history no
// controller has trouble and the routers know no bound, so that the rollout alone
// keeps old weights from being used too late.
func PlayRollouts(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	disturbed := k.Chance(500)
	h := newRolloutHistory(k, options.Defects, 3+2*k.Below(2), 4+k.Below(8))
	h.disturbed, h.bounded = disturbed, disturbed
	h.plan()
	k.RunUntil(noVersionsUs + rolloutFaultsUs)
	h.heal()
	k.RunUntil(k.NowUs() + orderedUs)
	h.checks.ordered()
	k.RunUntil(k.NowUs() + completedUs - orderedUs)
	h.checks.completed()
	counts := Counts{RolloutHistories: 1, Orders: h.checks.orders, RolloutRequestsStarted: h.checks.begun, LeaseTakeovers: h.group.register.holderChanges}
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

// plan draws what happens.
func (h *rolloutHistory) plan() {
	k := h.kernel
	for i := range 1 + k.Below(3) {
		version := int64(2 + i)
		atUs := noVersionsUs + int64(i)*k.Between(300*Millisecond, 7*Second)
		k.After(atUs, func() { h.name(version) })
	}
	for range k.Below(4) {
		k.After(k.Between(Second, rolloutFaultsUs), func() { h.replaceEngines() })
	}
	for range k.Below(3) {
		e := h.engines[k.Below(len(h.engines))]
		k.After(k.Between(0, rolloutFaultsUs), func() { h.slowDown(e, k.Between(Second, 8*Second)) })
	}
	if !h.disturbed {
		return
	}
	for range 1 + k.Below(4) {
		atUs := noVersionsUs + k.Between(0, 20*Second)
		forUs := k.Between(minFaultUs, maxFaultUs)
		k.After(atUs, func() { h.strike(forUs) })
	}
}

// name has an operator name a version, again until it is acknowledged.
func (h *rolloutHistory) name(version int64) {
	c := h.coordinators[h.kernel.Below(len(h.coordinators))]
	acknowledged := func() { h.checks.named(version) }
	h.network.Send("operator", c.addr, func() {
		c.process.Deliver(func() { c.nameVersion(version, func() { h.network.Send(c.addr, "operator", acknowledged) }) })
	})
	h.kernel.After(Second, func() {
		if !h.checks.isNamed(version) {
			h.name(version)
		}
	})
}

// replaceEngines ends some runners; others come in their place, with the weights
// that these had. They register under new identities.
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

// holder is the controller that the register names.
func (h *rolloutHistory) holder() *coordinator {
	if holder := h.group.holder(); holder != nil {
		return h.coordinators[holder.index]
	}
	return nil
}

// strike disturbs one controller, mostly the holder of the lease.
func (h *rolloutHistory) strike(forUs int64) {
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

// controllerFaults are what strikes a controller for a while.
var controllerFaults = []func(h *rolloutHistory, victim *coordinator, forUs int64){
	(*rolloutHistory).kill, (*rolloutHistory).freeze, (*rolloutHistory).cutOff, (*rolloutHistory).cutApart,
}

func (h *rolloutHistory) kill(victim *coordinator, forUs int64) {
	h.kernel.Log("%s is killed for %d us", victim.addr, forUs)
	victim.process.Stop()
	h.later(forUs, func() { h.restart(victim) })
}

func (h *rolloutHistory) freeze(victim *coordinator, forUs int64) {
	h.kernel.Log("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	h.later(forUs, func() { h.thaw(victim) })
}

// cutOff parts a controller from all others; runners still reach it.
func (h *rolloutHistory) cutOff(victim *coordinator, forUs int64) {
	h.kernel.Log("%s is cut off for %d us", victim.addr, forUs)
	for _, other := range h.coordinators {
		h.cut(victim, other, forUs)
	}
}

// cutApart parts two controllers that both reach the others.
func (h *rolloutHistory) cutApart(victim *coordinator, forUs int64) {
	other := h.coordinators[h.kernel.Below(len(h.coordinators))]
	h.kernel.Log("%s and %s are cut apart for %d us", victim.addr, other.addr, forUs)
	h.cut(victim, other, forUs)
}

func (h *rolloutHistory) later(forUs int64, end func()) {
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
	h.fleet.cutLinks(a.addr, b.addr, forUs)
	h.fleet.cutLinks(b.addr, a.addr, forUs)
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

// times are those of the lease, unless a test takes the waits out.
func (h *rolloutHistory) times() lease.Times {
	if h.defects.ActWithoutWaiting {
		return lease.Times{ActUs: controllerLeaseTimes.ActUs}
	}
	return controllerLeaseTimes
}

// bound is by when the plan has all orders sent.
func (h *rolloutHistory) bound() int64 {
	if h.defects.OrderWithoutBound {
		return 100 * Second
	}
	return orderBoundUs
}

// targetOf is the version that a body names.
func targetOf(body messages.LeaseBody) int64 {
	for _, t := range body.Targets {
		if t.Model == rolloutModel {
			return t.Version
		}
	}
	return 0
}
