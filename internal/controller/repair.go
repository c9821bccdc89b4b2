// The driver of the repair coordinators (consensus.RepairCoordinator): it gives them
// what this controller sees, asks members to confirm what they have on disk, and
// carries proposals through a round. It also hands over this member's place in the
// groups when the process is told to end.

package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
)

// Waits of the driver.
const (
	repairPeriod  = 300 * time.Millisecond
	goneUs        = 1_000_000               // a member that is dead for so long is replaced
	confirmWait   = time.Second             // for one member's word
	proposeWait   = 2 * time.Second         // for a round
	handOverWait  = 2500 * time.Millisecond // for all registers; graceS is 8 s
	handOverPause = 50 * time.Millisecond
	heirWait      = 800 * time.Millisecond // for a newcomer's word before a handing over
	lastWordWait  = 300 * time.Millisecond // for the others' disks
	// maxHeirs bounds how many newcomers a member that ends asks.
	maxHeirs = 3
	// stepsAtOnce bounds the steps of one repair that follow without a pause.
	stepsAtOnce = 8
)

// repairs holds a coordinator for each register.
type repairs struct {
	parts [consensus.Parts]partRepair
	heirs atomic.Pointer[[]messages.Peer] // set once this process is about to end
}

type partRepair struct {
	mu          sync.Mutex // guards coordinator
	coordinator consensus.RepairCoordinator
	busy        atomic.Bool // a step is being carried out
}

// settled tells whether no change is under way, and the one that led to this
// group is complete.
func (r *partRepair) settled(group []messages.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.busy.Load() && r.coordinator.Complete(group)
}

// repairGroups lets the coordinator of each register take its next steps, each
// register apart from the others.
func (d *Controller) repairGroups(ctx context.Context) {
	status := d.repairStatus()
	for part := range consensus.Parts {
		at := &d.repairs.parts[part]
		if !at.busy.CompareAndSwap(false, true) {
			continue
		}
		step, due := d.nextRepair(part, status)
		if !due {
			at.busy.Store(false)
			continue
		}
		go func() {
			defer at.busy.Store(false)
			d.repair(ctx, part, step)
		}()
	}
}

func (d *Controller) repairStatus() consensus.Status {
	alive := d.monitor.Alive(messages.Controller)
	if heirs := d.repairs.heirs.Load(); heirs != nil {
		alive = *heirs
	}
	return consensus.Stand(alive, d.monitor.DeadForUs, goneUs)
}

// repair carries out a step and those that follow from it.
func (d *Controller) repair(ctx context.Context, part int, step consensus.RepairStep) {
	for range stepsAtOnce {
		went := false
		if len(step.Confirm) > 0 {
			went = d.confirm(ctx, part, step)
		} else {
			went = d.propose(ctx, part, step)
		}
		if !went || ctx.Err() != nil {
			return
		}
		due := false
		if step, due = d.nextRepair(part, d.repairStatus()); !due {
			return
		}
	}
}

func (d *Controller) nextRepair(part int, status consensus.Status) (consensus.RepairStep, bool) {
	base, ok := d.registers.Committed(part)
	if !ok {
		return consensus.RepairStep{}, false
	}
	_, fault := d.registers.LastSave()
	view := consensus.RepairView{
		Self: d.transport.Addr(), Base: base, Status: status, Contact: d.hasContact(base.Group),
		DiskFault: fault != "", Leaving: d.repairs.heirs.Load() != nil,
	}
	at := &d.repairs.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.coordinator.Step(d.clock(), view)
}

// hasContact tells whether this controller holds the lease of contact with a
// majority of a group.
func (d *Controller) hasContact(group []messages.Member) bool {
	return d.contact.holds(identities(group), d.clock())
}

func identities(group []messages.Member) []string {
	var ids []string
	for _, m := range group {
		ids = append(ids, m.ID)
	}
	return ids
}

// confirm asks members whether they hold the base on disk, all at once. It waits
// until the coordinator has another step, since a member that is about to be
// found dead must not hold the others up, and tells whether it has.
func (d *Controller) confirm(ctx context.Context, part int, step consensus.RepairStep) bool {
	base, ok := d.registers.Committed(part)
	if !ok || base.Version != step.Version {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	words := make(chan bool, len(step.Confirm))
	for _, m := range step.Confirm {
		go func() {
			kept, err := d.registers.Confirm(ctx, part, m, base)
			if kept {
				d.noteKept(part, m.ID, base.Version)
			} else {
				d.log.Info("member does not confirm", "part", part, "member", m.ID, "version", base.Version, "err", err)
			}
			words <- kept
		}()
	}
	for range step.Confirm {
		if !<-words {
			continue
		}
		if next, due := d.nextRepair(part, d.repairStatus()); !due || len(next.Propose) > 0 {
			return true
		}
	}
	return false
}

func (d *Controller) noteKept(part int, id string, version int64) {
	at := &d.repairs.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	at.coordinator.Kept(id, version)
}

// unconfirmed names the members that repairs wait for here.
func (d *Controller) unconfirmed() []string {
	var out []string
	for part := range d.repairs.parts {
		at := &d.repairs.parts[part]
		at.mu.Lock()
		out = append(out, at.coordinator.Awaited()...)
		at.mu.Unlock()
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// propose carries a change of the group through a round. It comes to nothing if
// the register has moved on, since then nobody has confirmed its value.
func (d *Controller) propose(ctx context.Context, part int, step consensus.RepairStep) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeWait)
	defer cancel()
	_, err := d.registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		if cur.Version != step.Version {
			return nil, nil, errNoChange
		}
		return step.Propose, cur.Body, nil
	})
	d.log.Info("group change", "part", part, "err", err)
	return err == nil || errors.Is(err, errNoChange)
}

// leaveGroups is what a process does that is told to end. It cannot know whether
// it will come back. Where a controller stands ready that is no member, its place
// is handed over to that one; elsewhere the others are left with all that was
// agreed on on their disks, and the process ends at once.
func (d *Controller) leaveGroups(ctx context.Context) {
	d.registers.Retire()
	if !d.groupMembers()[d.registers.ID()] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	heirs := d.heirs(ctx)
	d.repairs.heirs.Store(&heirs)
	for ctx.Err() == nil && d.mayHandOver() {
		d.repairGroups(ctx)
		loop.Pause(ctx, handOverPause)
	}
	d.lastWord(ctx)
}

// groupMembers are the identities in the groups of all registers.
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

// heirs are those who may take places over: a few of the counted controllers that
// are no members and confirm now what they hold. One that has just ended is alive
// to probes for a while, and one that is about to end itself takes no place.
func (d *Controller) heirs(ctx context.Context) []messages.Peer {
	ctx, cancel := context.WithTimeout(ctx, heirWait)
	defer cancel()
	base, _ := d.registers.Committed(consensus.ConfigPart)
	alive := d.monitor.Alive(messages.Controller)
	candidates := consensus.Newcomers(base.Group, consensus.Stand(alive, d.monitor.DeadForUs, goneUs))
	candidates = candidates[:min(len(candidates), maxHeirs)]
	stands := make([]bool, len(candidates))
	var asked sync.WaitGroup
	for i, m := range candidates {
		asked.Go(func() {
			stands[i], _ = d.registers.Confirm(ctx, consensus.ConfigPart, m, base)
		})
	}
	asked.Wait()
	var out []messages.Peer
	members := d.groupMembers()
	for _, p := range alive {
		i := slices.Index(candidates, messages.Member{ID: p.MemberID, Addr: p.Addr})
		if i >= 0 && stands[i] || members[p.MemberID] {
			out = append(out, p)
		}
	}
	return out
}

// mayHandOver tells whether a register is left in which this controller is a
// member and somebody stands ready to take its place, or a change is under way.
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

// lastWord has the other members take what was agreed on to their disks.
func (d *Controller) lastWord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastWordWait)
	defer cancel()
	var asked sync.WaitGroup
	for part := range consensus.Parts {
		v, ok := d.registers.Committed(part)
		if !ok {
			continue
		}
		for _, m := range v.Group {
			if m.Addr != d.transport.Addr() {
				asked.Go(func() { _, _ = d.registers.Confirm(ctx, part, m, v) })
			}
		}
	}
	asked.Wait()
}
