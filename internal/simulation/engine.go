// Model of a runner for rollouts: queued requests, long streams, and load orders as
// in the protocol.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// freshRunnerUs is how long routers enforce the age bound on weights for a runner that has just
// started, even in histories without a bound: a runner cannot receive an order before it
// is listed.
const freshRunnerUs = Second

// reportLagUs is the age of the state that a report contains.
const reportLagUs = 200 * Millisecond

// engine models one runner address. Instances follow one another at the same address.
type engine struct {
	history        *rolloutHistory
	address        string
	instance       int
	up             bool
	registrarIndex int // index of the registrar that receives its heartbeats
	heartbeats     int64
	slowFactor     int64
	startedUs      int64

	version       int64
	targetVersion int64 // version of the order in progress; 0 if there is none
	loadStarted   bool
	sequence      int64
	fence         int64
	accepted      int // orders accepted by all instances
	streams       int
	queued        int64 // incremented by each order, which rejects the requests queued before it
	pastReports   []pastReport
}

// pastReport is the report for the state at a point in time.
type pastReport struct {
	atUs   int64
	report rollout.Report
}

func (e *engine) id() string { return fmt.Sprintf("%s#%d", e.address, e.instance) }

// start starts a new instance, which has the weights of the previous one.
func (e *engine) start() {
	e.instance++
	e.up, e.heartbeats, e.sequence, e.fence, e.targetVersion, e.streams, e.pastReports = true, 0, 0, 0, 0, 0, nil
	e.loadStarted, e.startedUs = false, e.history.kernel.NowUs()
	e.slowFactor = max(e.slowFactor, 1)
	e.registrarIndex = e.history.kernel.Below(len(e.history.fleet.registrars))
	e.history.kernel.Log("%s begins on version %d", e.id(), e.version)
	e.recordReport()
	e.sendHeartbeat(e.instance)
	e.generateRequests(e.instance)
}

func (e *engine) stop() {
	e.history.kernel.Log("%s ends", e.id())
	if e.loadStarted {
		e.history.activeLoads--
	}
	e.up, e.loadStarted = false, false
}

// isCurrent reports whether an instance is still running.
func (e *engine) isCurrent(instance int) bool { return e.up && e.instance == instance }

func (e *engine) sendHeartbeat(instance int) {
	h := e.history
	if !e.isCurrent(instance) {
		return
	}
	e.heartbeats++
	to, answered := h.fleet.registrars[e.registrarIndex], false
	record := messages.RunnerRecord{
		ID: e.id(), Service: rolloutService, Addr: e.address, Capacity: 1, Seq: e.heartbeats,
		Models: []messages.Target{{Model: rolloutModel, Version: e.version}},
	}
	h.network.Send(e.address, to.addr, func() {
		to.process.Deliver(func() {
			to.receiveHeartbeat(record)
			h.network.Send(to.addr, e.address, func() { answered = true })
		})
	})
	h.kernel.After(responseTimeoutUs, func() {
		if !answered {
			e.registrarIndex = (e.registrarIndex + 1) % len(h.fleet.registrars)
		}
	})
	h.kernel.After(heartbeatUs, func() { e.sendHeartbeat(instance) })
}

// generateRequests generates the requests of routers. A router acts on a registrar's state of a
// while ago. If it enforces the bound, it sends no request to a runner whose weights are
// over the bound in that state.
func (e *engine) generateRequests(instance int) {
	h := e.history
	if !e.isCurrent(instance) {
		return
	}
	h.kernel.After(h.kernel.Between(20*Millisecond, 600*Millisecond), func() { e.generateRequests(instance) })
	from := h.fleet.registrars[h.kernel.Below(len(h.fleet.registrars))]
	if !from.process.Up() {
		return
	}
	record, ok := from.runners.Snapshot().ByID[e.id()]
	fresh := h.kernel.NowUs()-e.startedUs < freshRunnerUs
	if !ok || record.Cordoned || (h.enforceVersionBound || fresh) && h.checks.boundPassed(e.version, routerBoundUs) {
		return
	}
	h.kernel.After(h.kernel.Between(0, 300*Millisecond), func() {
		if e.isCurrent(instance) && e.targetVersion == 0 {
			e.enqueue(instance)
		}
	})
}

// enqueue models one request: it waits in the queue and for its prefill, then streams.
func (e *engine) enqueue(instance int) {
	h, order := e.history, e.queued
	waitUs := min(h.kernel.Between(0, 300*Millisecond)*e.slowFactor, maxQueuedUs)
	h.kernel.After(waitUs, func() {
		if !e.isCurrent(instance) || e.queued != order {
			return // rejected by an order
		}
		h.checks.checkRequestStart(e)
		e.streams++
		runsUs := h.kernel.Between(50*Millisecond, 2*Second)
		if h.kernel.Chance(60) {
			runsUs = h.kernel.Between(2*Second, maxStreamUs)
		}
		h.kernel.After(runsUs, func() {
			if e.isCurrent(instance) {
				e.streams--
				e.startLoadIfIdle()
			}
		})
	})
}

// handleOrder handles a load order. After an order is accepted, no request starts until the load is done.
func (e *engine) handleOrder(o rollout.Order, fence int64, from *coordinator) rollout.Answer {
	e.history.checks.checkOrder(e, from, fence)
	switch {
	case fence < e.fence:
		return rollout.FenceRefused
	case e.targetVersion > 0, o.Expected != nil && *o.Expected != e.sequence:
		e.fence = fence
		return rollout.Conflict
	}
	e.fence = fence
	if e.version >= o.Version {
		return rollout.AlreadyLoaded
	}
	e.history.kernel.Log("%s is ordered to version %d under fence %d by %s", e.id(), o.Version, fence, from.addr)
	e.targetVersion = o.Version
	e.accepted++
	e.sequence++
	e.queued++
	e.recordReport()
	e.startLoadIfIdle()
	return rollout.Accepted
}

// startLoadIfIdle starts the load of the ordered version once all streams have ended.
func (e *engine) startLoadIfIdle() {
	h, instance := e.history, e.instance
	if e.targetVersion == 0 || e.streams > 0 || e.loadStarted {
		return
	}
	e.loadStarted = true
	h.activeLoads++
	takesUs := weightLoadUs * e.slowFactor * max(1, int64(h.activeLoads-parallelWeightLoads+1))
	e.recordReport()
	h.kernel.After(takesUs, func() {
		if !e.isCurrent(instance) {
			return
		}
		h.activeLoads--
		h.kernel.Log("%s holds version %d", e.id(), e.targetVersion)
		e.loadStarted, e.version, e.targetVersion = false, e.targetVersion, 0
		e.recordReport()
	})
}

// recordReport records the current report, since reports are delivered with a lag.
func (e *engine) recordReport() {
	said := rollout.Report{Version: e.version, Busy: e.targetVersion > 0, Idle: e.streams == 0, Sequence: e.sequence}
	e.pastReports = append(e.pastReports, pastReport{e.history.kernel.NowUs(), said})
}

func (e *engine) report() rollout.Report {
	said := e.pastReports[0].report
	for _, p := range e.pastReports {
		if p.atUs <= e.history.kernel.NowUs()-reportLagUs {
			said = p.report
		}
	}
	return said
}

// answerDelayUs draws the time in microseconds that a runner takes to answer a call.
func (e *engine) answerDelayUs() int64 {
	return e.history.kernel.Between(Millisecond, 40*Millisecond) * e.slowFactor
}
