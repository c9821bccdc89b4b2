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
	report := messages.Condition{Node: r.set.Node, Role: messages.Router, Zone: r.set.Zone, Addr: r.transport.Addr(), TimeUs: time.Now().UnixMicro()}
	r.stateMu.Lock()
	report.Versions = r.versionsLocked()
	r.stateMu.Unlock()
	r.admissionMu.Lock()
	report.Blind = r.admission.UnmeasuredRunners(r.clock())
	report.Partition.Evacuated = r.admission.EvacuatedZones()
	report.Partition.Rollouts = r.admission.Rollouts()
	report.Partition.WarmingUp = r.admission.WarmingUp(r.clock())
	r.admissionMu.Unlock()
	report.Partition.UnreachableZones = r.zones.Conditions()
	report.Retired = r.retiredConditions()
	report.Wholes, report.Changes = r.feedCounters.snapshots.Load(), r.feedCounters.changes.Load()
	report.Malformed = r.feedCounters.malformed.Load() + r.subscriber.Malformed.Load()
	report.Violations = invariant.Violations()
	report.Runners = len(r.registry.Snapshot().ByID)
	return report
}

// ServeLogRing sets the function that returns the log ring to the diagnostic command.
func (r *Router) ServeLogRing(show func() ([]byte, error)) {
	r.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
