// What a controller reports of itself to the doctor.

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

// unreadUs is after how long without an answer a runner counts as not read.
const unreadUs = 5_000_000

func (d *Controller) condition() messages.Condition {
	c := messages.Condition{Node: d.set.Node, Role: messages.Controller, Zone: d.set.Zone, Addr: d.transport.Addr(), TimeUs: time.Now().UnixMicro(), MemberID: d.registers.ID(), Versions: d.publishedVersions(), HasDisk: d.disk != nil}
	c.SaveUs, c.SaveFault = d.registers.LastSave()
	c.Unconfirmed = d.repairs.Unconfirmed()
	for p := range consensus.Parts {
		v, _ := d.registers.Committed(p)
		c.Groups = append(c.Groups, append([]messages.Member{}, v.Group...))
	}
	c.Peers = append(d.monitor.Alive(messages.Controller), d.monitor.Alive(messages.Router)...)
	c.Wholes, c.Changes, c.Malformed = d.feed.snapshots.Load(), d.feed.changes.Load(), d.feed.malformed.Load()
	c.Violations = invariant.Violations()
	snap := d.registry.Snapshot()
	c.Runners = len(snap.ByID)
	for id, n := range snap.ByID {
		if n.Stale {
			c.Stale = append(c.Stale, id)
		}
	}
	c.Duties, c.Quotas = d.dutyConditions(), d.quotas.Conditions()
	if d.scaler != nil {
		c.Scaling = d.scaler.Conditions()
	}
	c.Partition.Tally = d.tallies.Condition()
	c.Partition.Evacuated = d.evacuatedZones()
	c.Partition.Rollouts = d.serviceRollouts()
	now := d.clock()
	d.cachedMu.Lock()
	for id := range d.readers {
		if now-d.heardUs[id] > unreadUs && now-d.startUs > unreadUs {
			c.Unread = append(c.Unread, id)
		}
	}
	d.cachedMu.Unlock()
	slices.Sort(c.Stale)
	slices.Sort(c.Unread)
	return c
}

// heard notes that a runner answered a reader.
func (d *Controller) heard(id string) {
	d.cachedMu.Lock()
	d.heardUs[id] = d.clock()
	d.cachedMu.Unlock()
}

// OnRing tells how the doctor gets the log ring.
func (d *Controller) OnRing(show func() ([]byte, error)) {
	d.transport.OnCall(transport.KindRing, func(context.Context, *transport.Conn, []byte) ([]byte, error) { return show() })
}
