// What a router reports of itself to the doctor.

package router

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

func (c *Router) condition() messages.Condition {
	x := messages.Condition{Node: c.set.Node, Role: messages.Router, Zone: c.set.Zone, Addr: c.transport.Addr(), TimeUs: time.Now().UnixMicro()}
	c.stateMu.Lock()
	x.Versions = c.versions()
	c.stateMu.Unlock()
	c.admissionMu.Lock()
	x.Blind = c.admission.Blind(c.clock())
	x.Partition.Evacuated = c.admission.EvacuatedZones()
	x.Partition.Rollouts = c.admission.Rollouts()
	x.Partition.WarmingUp = c.admission.WarmingUp(c.clock())
	c.admissionMu.Unlock()
	x.Partition.UnreachableZones = c.zones.Conditions()
	x.Retired = c.retiredConditions()
	x.Wholes, x.Changes = c.feedStats.wholes.Load(), c.feedStats.changes.Load()
	x.Malformed = c.feedStats.malformed.Load() + c.up.Malformed.Load()
	x.Violations = invariant.Violations()
	x.Runners = len(c.registry.Snapshot().ByID)
	return x
}

// OnRing tells how the doctor gets the log ring.
func (c *Router) OnRing(show func() ([]byte, error)) {
	c.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
