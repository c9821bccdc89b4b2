// The condition report of a controller for the doctor command.

package controller

import (
	"context"
	"slices"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

func (c *Controller) condition() messages.Condition {
	report := messages.Condition{Node: c.set.Node, Role: messages.Controller, Zone: c.set.Zone, Addr: c.transport.Addr(), TimeUs: time.Now().UnixMicro(), MemberID: c.registers.ID(), Versions: c.publishedVersions(), HasDisk: c.disk != nil}
	report.SaveUs, report.SaveFault = c.registers.LastSave()
	report.Unconfirmed = c.repairs.Unconfirmed()
	for register := range consensus.RegisterCount {
		v, _ := c.registers.Committed(register)
		report.Groups = append(report.Groups, append([]messages.Member{}, v.Group...))
	}
	report.Peers = append(c.monitor.Alive(messages.Controller), c.monitor.Alive(messages.Router)...)
	report.Wholes, report.Changes, report.Malformed = c.feed.snapshots.Load(), c.feed.changes.Load(), c.feed.malformed.Load()
	report.Violations = invariant.Violations()
	snap := c.registry.Snapshot()
	report.Runners = len(snap.ByID)
	for id, n := range snap.ByID {
		if n.Stale {
			report.Stale = append(report.Stale, id)
		}
	}
	report.Duties, report.Quotas = c.dutyConditions(), c.quotas.Conditions()
	if c.scaler != nil {
		report.Scaling = c.scaler.Conditions()
	}
	report.Partition.Tally = c.tallies.Condition()
	report.Partition.Evacuated = c.evacuatedZones()
	report.Partition.Rollouts = c.serviceRollouts()
	report.Unread = c.readers.Unread()
	slices.Sort(report.Stale)
	return report
}

// ServeLogRing registers the function that returns the log ring buffer for the doctor command.
func (c *Controller) ServeLogRing(show func() ([]byte, error)) {
	c.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
