// The state that a router reports to the diagnostic command (doctor).

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// condition returns the state of this router for the diagnostic report.
func (r *Router) condition() messages.Condition {
	condition := messages.Condition{Node: r.set.Node, Role: messages.Router, Zone: r.set.Zone, Addr: r.transport.Addr(), TimeUs: time.Now().UnixMicro()}
	r.stateMu.Lock()
	condition.Versions = r.versionsLocked()
	r.stateMu.Unlock()
	r.admissionMu.Lock()
	condition.Blind = r.admission.Blind(r.clock())
	condition.Partition.Evacuated = r.admission.EvacuatedZones()
	condition.Partition.Rollouts = r.admission.Rollouts()
	condition.Partition.WarmingUp = r.admission.WarmingUp(r.clock())
	r.admissionMu.Unlock()
	condition.Partition.UnreachableZones = r.zones.Conditions()
	condition.Retired = r.retiredConditions()
	condition.Wholes, condition.Changes = r.feedCounters.snapshots.Load(), r.feedCounters.changes.Load()
	condition.Malformed = r.feedCounters.malformed.Load() + r.subscriber.Malformed.Load()
	condition.Violations = invariant.Violations()
	condition.Runners = len(r.registry.Snapshot().ByID)
	return condition
}

// OnRing sets the function that returns the log ring to the diagnostic command.
func (r *Router) OnRing(show func() ([]byte, error)) {
	r.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
