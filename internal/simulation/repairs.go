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
	repairEveryUs    = 300 * Millisecond
	confirmTimeoutUs = Second
	proposeTimeoutUs = 2 * Second
	goneAfterUs      = Second
	maxStepsPerRun   = 8
)

// groupRepair is the state of the repair of one register's group.
type groupRepair struct {
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
			c.repair(part, step, maxStepsPerRun)
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
		QuorumReachable: c.reachesMajority(base.Group), DiskFault: c.diskFault, Leaving: c.shutdown.successorsFound,
	})
}

// reachesMajority reports whether this controller reaches a majority of a group directly.
func (c *Controller) reachesMajority(group []messages.Member) bool {
	reachable := 0
	for _, p := range c.alive() {
		for _, m := range group {
			if m.ID == p.MemberID && c.reaches(p.Addr) {
				reachable++
			}
		}
	}
	return reachable > len(group)/2
}

// repair executes a step and the steps that become due after it, up to stepsLeft steps.
func (c *Controller) repair(part int, step consensus.RepairStep, stepsLeft int) {
	again := func(progressed bool) {
		if progressed && stepsLeft > 1 {
			if next, due := c.nextRepair(part); due {
				c.repair(part, next, stepsLeft-1)
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
func (c *Controller) confirmAll(part int, step consensus.RepairStep, done func(progressed bool)) {
	base, ok := c.committed(part)
	if !ok || base.Version != step.Version {
		done(ok)
		return
	}
	finished, answers := false, 0
	end := func(progressed bool) {
		if !finished {
			finished = true
			done(progressed)
		}
	}
	c.process.After(confirmTimeoutUs, func() { end(false) })
	for _, m := range step.Confirm {
		c.confirm(part, m, base, func(durable bool) {
			if answers++; durable {
				c.registers[part].repair.coordinator.RecordConfirmation(m.ID, base.Version)
			}
			if finished {
				return
			}
			if next, due := c.nextRepair(part); durable && (!due || len(next.Propose) > 0) {
				end(true)
			} else if answers == len(step.Confirm) {
				end(false)
			}
		})
	}
}

// confirm asks one member for the confirmation, and sends the value only if it is missing there.
func (c *Controller) confirm(part int, m messages.Member, v messages.Value, done func(kept bool)) {
	if c.cluster.defects.AddMembersUnconfirmed {
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

// handleFlush replies to a commit once the value is on disk.
func (c *Controller) handleFlush(request messages.ConsensusRequest, reply func(messages.ConsensusResponse)) {
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
				joins := !containsMember(r.acceptor.Record.Committed.Group, c.id)
				durable := r.durableVersion >= request.Slot && !(joins && c.shutdown.begun)
				reply(messages.ConsensusResponse{Verdict: messages.Granted, Version: r.durableVersion, Durable: durable})
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
	c.change(part, proposeTimeoutUs, regroup, func(v messages.Value, err error) {
		c.cluster.kernel.Log("%s regroups part %d: version %d, %v", c.addr, part, v.Version, err)
		done(err == nil || errors.Is(err, errNoChange))
	})
}
