// Shutdown of a member, driven as in controller/hand_over.go: it finds successors, hands its
// memberships over to them, makes the other members write the committed values to disk, and stops.

package simulation

import (
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Timeouts and limits of a shutdown, as in package controller.
const (
	handOverTotalUs   = 2_500 * Millisecond
	handOverConfirmUs = 800 * Millisecond
	handOverFlushUs   = 300 * Millisecond
	handOverPauseUs   = 50 * Millisecond
	maxSuccessors     = 3
)

// shutdown is the state of the orderly shutdown of a process.
type shutdown struct {
	begun           bool
	successorsFound bool            // the successors are known
	successors      []messages.Peer // members, and spares that may become members
	deadlineUs      int64
}

// beginShutdown shuts a process down in order, and calls ended when it may stop.
func (c *Controller) beginShutdown(ended func()) {
	c.shutdown = shutdown{begun: true, deadlineUs: c.process.NowUs() + handOverTotalUs}
	if c.cluster.defects.ShutDownWithoutHandOver || !c.isMember() {
		ended()
		return
	}
	c.findSuccessors(func(successors []messages.Peer) {
		c.shutdown.successorsFound, c.shutdown.successors = true, successors
		c.handOver(ended)
	})
}

func (c *Controller) isMember() bool {
	for part := range parts {
		if v, ok := c.committed(part); ok && containsMember(v.Group, c.id) {
			return true
		}
	}
	return false
}

func containsMember(group []messages.Member, id string) bool {
	for _, m := range group {
		if m.ID == id {
			return true
		}
	}
	return false
}

// findSuccessors asks a few spares to confirm that they have the configuration on disk.
func (c *Controller) findSuccessors(found func([]messages.Peer)) {
	base, _ := c.committed(configPart)
	alive := c.alive()
	newcomers := consensus.Candidates(base.Group, consensus.NewStatus(alive, c.hasSeenCounted(alive), c.silentForUs, goneAfterUs))
	newcomers = newcomers[:min(len(newcomers), maxSuccessors)]
	confirmed, answers, finished := map[string]bool{}, 0, false
	end := func() {
		if finished {
			return
		}
		finished = true
		var out []messages.Peer
		for _, p := range alive {
			if confirmed[p.MemberID] || c.isMemberOfAny(p.MemberID) {
				out = append(out, p)
			}
		}
		found(out)
	}
	for _, m := range newcomers {
		c.confirm(configPart, m, base, func(durable bool) {
			confirmed[m.ID] = durable
			if answers++; answers == len(newcomers) {
				end()
			}
		})
	}
	if len(newcomers) == 0 {
		end()
		return
	}
	c.process.After(handOverConfirmUs, end)
}

func (c *Controller) isMemberOfAny(id string) bool {
	for part := range parts {
		if v, ok := c.committed(part); ok && containsMember(v.Group, id) {
			return true
		}
	}
	return false
}

// status covers the live controllers or, during a shutdown, the successors.
func (c *Controller) status() consensus.Status {
	alive := c.alive()
	if c.shutdown.successorsFound {
		alive = c.shutdown.successors
	}
	return consensus.NewStatus(alive, c.hasSeenCounted(alive), c.silentForUs, goneAfterUs)
}

// handOver repairs the groups until no membership is left to hand over, or the time is over.
func (c *Controller) handOver(ended func()) {
	if c.process.NowUs() >= c.shutdown.deadlineUs || !c.mayHandOver() {
		c.flushOthers(ended)
		return
	}
	c.repairGroups()
	c.process.After(handOverPauseUs, func() { c.handOver(ended) })
}

func (c *Controller) mayHandOver() bool {
	status := c.status()
	for part, r := range c.registers {
		v, ok := c.committed(part)
		if !ok {
			continue
		}
		if r.repair.busy || !r.repair.coordinator.Complete(v.Group) {
			return true
		}
		if _, may := consensus.HandOver(v.Group, c.addr, status); may {
			return true
		}
	}
	return false
}

// flushOthers makes the other members write the committed values to their disks.
func (c *Controller) flushOthers(ended func()) {
	for part := range parts {
		v, ok := c.committed(part)
		if !ok {
			continue
		}
		for _, m := range v.Group {
			if m.Addr != c.addr {
				c.confirm(part, m, v, func(bool) {})
			}
		}
	}
	c.process.After(handOverFlushUs, ended)
}

// faultFreeBeforeUs is how long no other fault may have been active for the hand-over to be checked.
const faultFreeBeforeUs = 3 * Second

// recordFault records a fault and its duration.
func (c *Cluster) recordFault(forUs int64) {
	c.faultCount++
	c.faultsUntilUs = max(c.faultsUntilUs, c.kernel.NowUs()+forUs)
}

// shutDownFor shuts a process down in order, and restarts it after a time.
func (c *Cluster) shutDownFor(victim *Controller, forUs int64) {
	if !victim.process.Up() || victim.process.frozen || victim.id == "" || victim.shutdown.begun {
		return
	}
	undisturbed := c.kernel.NowUs() > c.faultsUntilUs+faultFreeBeforeUs
	count := c.faultCount
	spare := [parts]bool{}
	for part := range spare {
		spare[part] = c.hasSpare(part, victim)
	}
	c.kernel.Log("%s is told to end", victim.addr)
	c.recordFault(handOverTotalUs + handOverConfirmUs + handOverFlushUs + forUs)
	victim.beginShutdown(func() {
		if undisturbed && count == c.faultCount-1 && !c.healed {
			c.checks.checkHandOver(victim, spare)
		}
		c.crash(victim)
		c.endFaultAfter(forUs, func() { c.restart(victim) })
	})
}

// hasSpare reports whether a running controller exists that is not a member of a register's group.
func (c *Cluster) hasSpare(part int, victim *Controller) bool {
	for _, node := range c.controllers {
		if node != victim && !node.memory && node.process.Up() && !node.process.frozen && node.id != "" && !containsMember(c.checks.newest[part].Group, node.id) {
			return true
		}
	}
	return false
}

// checkHandOver checks that a member that has shut down has left each group for which a spare
// controller was running.
func (c *checks) checkHandOver(node *Controller, spare [parts]bool) {
	for part := range spare {
		if !spare[part] {
			continue
		}
		c.counts.HandOvers++
		if containsMember(c.newest[part].Group, node.id) {
			c.cluster.kernel.Fail("%s ends as a member of part %d, where another controller stood ready", node.addr, part)
		}
	}
}
