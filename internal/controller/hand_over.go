package controller

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

const (
	handOverPause = 50 * time.Millisecond
	// maxSuccessors bounds how many newcomers a member that ends asks.
	maxSuccessors = 3
)

// handOverTimes bounds what a member does before its process ends. The whole has to fit
// into the grace period of a shutdown with a margin.
type handOverTimes struct {
	Total   time.Duration // for the hand-over of all registers
	Confirm time.Duration // for the newcomers' confirmations that they can take over
	Flush   time.Duration // for the other members' disks
}

var defaultHandOverTimes = handOverTimes{
	Total:   2500 * time.Millisecond,
	Confirm: 800 * time.Millisecond,
	Flush:   300 * time.Millisecond,
}

// leaveGroups is called when the process is told to end. It cannot know whether it will
// be started again. If a controller that is no member is ready, the place in each group
// is handed over to it; otherwise the other members get all committed values on their
// disks, and the process ends at once.
func (d *Controller) leaveGroups(ctx context.Context) {
	d.registers.Retire()
	if !d.groupMembers()[d.registers.ID()] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.handOver.Total)
	defer cancel()
	successors := d.findSuccessors(ctx)
	d.repairs.successors.Store(&successors)
	for ctx.Err() == nil && d.mayHandOver() {
		d.repairGroups(ctx)
		loop.Pause(ctx, handOverPause)
	}
	d.flushOtherMembers(ctx)
}

// groupMembers returns the identities in the groups of all registers.
func (d *Controller) groupMembers() map[string]bool {
	out := map[string]bool{}
	for part := range consensus.Parts {
		v, _ := d.registers.Committed(part)
		for _, m := range v.Group {
			out[m.ID] = true
		}
	}
	return out
}

// findSuccessors returns the members, and those who may take a place over: a few of the
// counted controllers that are no members and confirm now what they have on disk. A
// process that has just ended still counts as alive for a while, and one that is about
// to end itself does not confirm.
func (d *Controller) findSuccessors(ctx context.Context) []messages.Peer {
	base, _ := d.registers.Committed(consensus.ConfigPart)
	alive := d.monitor.Alive(messages.Controller)
	newcomers := consensus.Newcomers(base.Group, consensus.Stand(alive, d.monitor.DeadForUs, deadBeforeReplaced.Microseconds()))
	newcomers = newcomers[:min(len(newcomers), maxSuccessors)]
	confirmed := d.confirmAll(ctx, newcomers, base)
	members := d.groupMembers()
	var out []messages.Peer
	for _, p := range alive {
		if confirmed[messages.Member{ID: p.MemberID, Addr: p.Addr}] || members[p.MemberID] {
			out = append(out, p)
		}
	}
	return out
}

// confirmAll returns those of the newcomers that confirm in time that they have the
// configuration's register on disk.
func (d *Controller) confirmAll(ctx context.Context, newcomers []messages.Member, base messages.Value) map[messages.Member]bool {
	ctx, cancel := context.WithTimeout(ctx, d.handOver.Confirm)
	defer cancel()
	confirmed := make([]bool, len(newcomers))
	var asked sync.WaitGroup
	for i, m := range newcomers {
		asked.Go(func() {
			confirmed[i], _ = d.registers.Confirm(ctx, consensus.ConfigPart, m, base)
		})
	}
	asked.Wait()
	out := map[messages.Member]bool{}
	for i, m := range newcomers {
		out[m] = confirmed[i]
	}
	return out
}

// mayHandOver reports whether a register is left in which this controller is a member
// and a successor is ready, or whether a change is under way.
func (d *Controller) mayHandOver() bool {
	status := d.repairStatus()
	for part := range consensus.Parts {
		v, ok := d.registers.Committed(part)
		if !ok {
			continue
		}
		if !d.repairs.parts[part].settled(v.Group) {
			return true
		}
		if _, may := consensus.HandOver(v.Group, d.transport.Addr(), status); may {
			return true
		}
	}
	return false
}

// flushOtherMembers has the other members write the committed values to their disks.
func (d *Controller) flushOtherMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.handOver.Flush)
	defer cancel()
	var asked sync.WaitGroup
	for part := range consensus.Parts {
		v, ok := d.registers.Committed(part)
		if !ok {
			continue
		}
		for _, m := range v.Group {
			if m.Addr == d.transport.Addr() {
				continue
			}
			asked.Go(func() { _, _ = d.registers.Confirm(ctx, part, m, v) })
		}
	}
	asked.Wait()
}
