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
	x := messages.Condition{Node: r.set.Node, Role: messages.Router, Zone: r.set.Zone, Addr: r.transport.Addr(), TimeUs: time.Now().UnixMicro()}
	r.stateMu.Lock()
	x.Versions = r.versions()
	r.stateMu.Unlock()
	r.admissionMu.Lock()
	x.Blind = r.admission.Blind(r.clock())
	x.Partition.Evacuated = r.admission.EvacuatedZones()
	x.Partition.Rollouts = r.admission.Rollouts()
	x.Partition.WarmingUp = r.admission.WarmingUp(r.clock())
	r.admissionMu.Unlock()
	x.Partition.UnreachableZones = r.zones.Conditions()
	x.Retired = r.retiredConditions()
	x.Wholes, x.Changes = r.feedStats.wholes.Load(), r.feedStats.changes.Load()
	x.Malformed = r.feedStats.malformed.Load() + r.up.Malformed.Load()
	x.Violations = invariant.Violations()
	x.Runners = len(r.registry.Snapshot().ByID)
	return x
}

// OnRing sets the function that returns the log ring to the diagnostic command.
func (r *Router) OnRing(show func() ([]byte, error)) {
	r.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
