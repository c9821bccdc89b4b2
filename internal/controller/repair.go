// The driver of the repair coordinators (consensus.RepairCoordinator): it gives them
// what this controller sees, asks members to confirm what they have on disk, and
// carries proposals through a round. hand_over.go has what a member does before its
// process ends.

package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Times and bounds of the driver.
const (
	repairPeriod       = 300 * time.Millisecond
	deadBeforeReplaced = time.Second     // a member that is dead for so long is replaced
	confirmTimeout     = time.Second     // for the confirmations of one step
	proposeTimeout     = 2 * time.Second // for one round
	// maxConsecutiveSteps bounds the steps of one repair that follow without a pause.
	maxConsecutiveSteps = 8
)

// repairs holds a coordinator for each register.
type repairs struct {
	parts      [consensus.Parts]partRepair
	successors atomic.Pointer[[]messages.Peer] // set once this process is about to end
}

type partRepair struct {
	mu          sync.Mutex // guards coordinator
	coordinator consensus.RepairCoordinator
	busy        atomic.Bool // a step is being carried out
}

// settled reports whether no change is under way, and the one that led to this
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
	if successors := d.repairs.successors.Load(); successors != nil {
		alive = *successors
	}
	return consensus.Stand(alive, d.monitor.DeadForUs, deadBeforeReplaced.Microseconds())
}

// repair carries out a step and those that follow from it.
func (d *Controller) repair(ctx context.Context, part int, step consensus.RepairStep) {
	for range maxConsecutiveSteps {
		if !d.carryOut(ctx, part, step) || ctx.Err() != nil {
			return
		}
		due := false
		if step, due = d.nextRepair(part, d.repairStatus()); !due {
			return
		}
	}
}

// carryOut carries out one step. It reports whether another may follow at once.
func (d *Controller) carryOut(ctx context.Context, part int, step consensus.RepairStep) bool {
	if len(step.Confirm) > 0 {
		return d.confirm(ctx, part, step)
	}
	return d.propose(ctx, part, step)
}

// nextRepair returns the next step of a register's repair, if one is due.
func (d *Controller) nextRepair(part int, status consensus.Status) (consensus.RepairStep, bool) {
	base, ok := d.registers.Committed(part)
	if !ok {
		return consensus.RepairStep{}, false
	}
	_, fault := d.registers.LastSave()
	view := consensus.RepairView{
		Self: d.transport.Addr(), Base: base, Status: status, Contact: d.hasContact(base.Group),
		DiskFault: fault != "", Leaving: d.repairs.successors.Load() != nil,
	}
	at := &d.repairs.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.coordinator.Step(d.clock(), view)
}

// hasContact reports whether this controller holds the lease of contact with a
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

// confirm asks members, all at once, whether they have the base on disk. It returns
// true as soon as the coordinator has another step: a member that is about to be found
// dead must not delay the others.
func (d *Controller) confirm(ctx context.Context, part int, step consensus.RepairStep) bool {
	base, ok := d.registers.Committed(part)
	if !ok || base.Version != step.Version {
		return ok
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmations := make(chan bool, len(step.Confirm))
	for _, m := range step.Confirm {
		go func() {
			kept, err := d.registers.Confirm(ctx, part, m, base)
			if kept {
				d.recordConfirmed(part, m.ID, base.Version)
			} else {
				d.log.Info("member does not confirm", "part", part, "member", m.ID, "version", base.Version, "err", err)
			}
			confirmations <- kept
		}()
	}
	for range step.Confirm {
		if !<-confirmations {
			continue
		}
		if next, due := d.nextRepair(part, d.repairStatus()); !due || len(next.Propose) > 0 {
			return true
		}
	}
	return false
}

// recordConfirmed records that a member has a version of a register on disk.
func (d *Controller) recordConfirmed(part int, id string, version int64) {
	at := &d.repairs.parts[part]
	at.mu.Lock()
	defer at.mu.Unlock()
	at.coordinator.Kept(id, version)
}

// unconfirmed returns the identities of the members that repairs wait for.
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

// propose carries a change of the group through a round. Nothing is changed if the
// register has a newer version by then, which nobody has confirmed.
func (d *Controller) propose(ctx context.Context, part int, step consensus.RepairStep) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := d.registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		if cur.Version != step.Version {
			return nil, nil, consensus.ErrNoChange
		}
		return step.Propose, cur.Body, nil
	})
	d.log.Info("group change", "part", part, "err", err)
	return err == nil || errors.Is(err, consensus.ErrNoChange)
}
