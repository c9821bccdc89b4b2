// Repairs of the register groups: each controller has a consensus.RepairCoordinator for
// each register and drives it as package controller does.

package simulation

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Periods and limits of the repair driver, as in package controller.
const (
	repairEveryUs = 300 * Millisecond
	confirmWaitUs = Second
	proposeUs     = 2 * Second
	goneUs        = Second
	stepsAtOnce   = 8
)

// partRepair is the state of the repair of one register's group.
type partRepair struct {
	coordinator consensus.RepairCoordinator
	busy        bool // a step is being carried out
}

// repairGroups starts the next steps of the repair of each register, where some are due.
func (c *Controller) repairGroups() {
	for part, r := range c.registers {
		if r.repair.busy {
			continue
		}
		if step, due := c.nextRepair(part); due {
			r.repair.busy = true
			c.repair(part, step, stepsAtOnce)
		}
	}
}

func (c *Controller) nextRepair(part int) (consensus.RepairStep, bool) {
	base, ok := c.committed(part)
	if !ok {
		return consensus.RepairStep{}, false
	}
	return c.registers[part].repair.coordinator.Step(c.process.NowUs(), consensus.RepairView{
		Self: c.addr, Base: base, Status: c.status(),
		QuorumReachable: c.hasContact(base.Group), DiskFault: c.diskFault, Leaving: c.shutdown.found,
	})
}

// hasContact reports whether this controller reaches a majority of a group directly.
func (c *Controller) hasContact(group []messages.Member) bool {
	near := 0
	for _, p := range c.alive() {
		for _, m := range group {
			if m.ID == p.MemberID && c.reaches(p.Addr) {
				near++
			}
		}
	}
	return near > len(group)/2
}

// repair executes a step and the steps that become due after it, up to left steps.
func (c *Controller) repair(part int, step consensus.RepairStep, left int) {
	again := func(went bool) {
		if went && left > 1 {
			if next, due := c.nextRepair(part); due {
				c.repair(part, next, left-1)
				return
			}
		}
		c.registers[part].repair.busy = false
	}
	if len(step.Confirm) > 0 {
		c.confirmAll(part, step, again)
		return
	}
	c.propose(part, step, again)
}

// confirmAll asks members in parallel to confirm that they have the base on disk, until
// the coordinator has another step.
func (c *Controller) confirmAll(part int, step consensus.RepairStep, done func(went bool)) {
	base, ok := c.committed(part)
	if !ok || base.Version != step.Version {
		done(ok)
		return
	}
	over, words := false, 0
	end := func(went bool) {
		if !over {
			over = true
			done(went)
		}
	}
	c.process.After(confirmWaitUs, func() { end(false) })
	for _, m := range step.Confirm {
		c.confirm(part, m, base, func(kept bool) {
			if words++; kept {
				c.registers[part].repair.coordinator.RecordConfirmation(m.ID, base.Version)
			}
			if over {
				return
			}
			if next, due := c.nextRepair(part); kept && (!due || len(next.Propose) > 0) {
				end(true)
			} else if words == len(step.Confirm) {
				end(false)
			}
		})
	}
}

// confirm asks one member for the confirmation, and sends the value only if it is missing there.
func (c *Controller) confirm(part int, m messages.Member, v messages.Value, done func(kept bool)) {
	if c.cluster.defects.JoinUnconfirmed {
		done(true)
		return
	}
	request := messages.ConsensusRequest{Part: part, To: m.ID, Step: messages.Commit, Slot: v.Version, Flush: true}
	c.call(m.Addr, request, func(r messages.ConsensusResponse) {
		if r.Durable || r.Verdict != messages.Granted {
			done(r.Durable)
			return
		}
		request.Value = v
		c.call(m.Addr, request, func(r messages.ConsensusResponse) { done(r.Durable) })
	})
}

// flush replies to a commit once the value is on disk.
func (c *Controller) flush(request messages.ConsensusRequest, reply func(messages.ConsensusResponse)) {
	if request.To != c.id {
		reply(messages.ConsensusResponse{Verdict: messages.Stranger})
		return
	}
	r := c.registers[request.Part]
	r.acquire(func(release func()) {
		if r.learned == nil {
			release()
			reply(messages.ConsensusResponse{Verdict: messages.Granted})
			return
		}
		c.makeDurable(request.Part, *r.learned, func(err error) {
			release()
			if err == nil {
				joins := !isIn(r.acceptor.Record.Committed.Group, c.id)
				kept := r.durable >= request.Slot && !(joins && c.shutdown.begun)
				reply(messages.ConsensusResponse{Verdict: messages.Granted, Version: r.durable, Durable: kept})
			}
		})
	})
}

// propose changes the group of a register. It changes nothing if the register has a newer
// version, since no member has confirmed that one.
func (c *Controller) propose(part int, step consensus.RepairStep, done func(went bool)) {
	regroup := func(cur messages.Value) ([]messages.Member, []byte, error) {
		if cur.Version != step.Version {
			return nil, nil, errNoChange
		}
		return step.Propose, cur.Body, nil
	}
	c.change(part, proposeUs, regroup, func(v messages.Value, err error) {
		c.cluster.kernel.Note("%s regroups part %d: version %d, %v", c.addr, part, v.Version, err)
		done(err == nil || errors.Is(err, errNoChange))
	})
}
