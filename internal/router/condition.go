// What a router reports of itself to the doctor.

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

func (r *Router) condition() messages.Condition {
	x := messages.Condition{Node: r.set.Node, Role: messages.Router, Zone: r.set.Zone, Addr: r.transport.Addr(), TimeUs: time.Now().UnixMicro()}
	r.stateMu.Lock()
	x.Versions = r.versions()
	r.stateMu.Unlock()
	r.admissionMu.Lock()
	x.Blind = r.admission.UnmeasuredRunners(r.clock())
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

// OnRing tells how the doctor gets the log ring.
func (r *Router) OnRing(show func() ([]byte, error)) {
	r.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
