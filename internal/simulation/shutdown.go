// Shutdown of a member, as controller/hand_over.go drives it: it looks for successors, hands
// its places over, has the other members write what is committed, and ends.

package simulation

import (
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// Waits of a shutdown, as in the controllers.
const (
	handOverTotalUs   = 2_500 * Millisecond
	handOverConfirmUs = 800 * Millisecond
	handOverFlushUs   = 300 * Millisecond
	handOverPauseUs   = 50 * Millisecond
	maxSuccessors     = 3
)

// shutdown is a process that has been told to end.
type shutdown struct {
	begun      bool
	found      bool            // the successors are known
	successors []messages.Peer // members, and those who may take a place over
	untilUs    int64
}

// leave ends a process in order, and calls ended when it is to stop.
func (c *Controller) leave(ended func()) {
	c.shutdown = shutdown{begun: true, untilUs: c.process.NowUs() + handOverTotalUs}
	if c.cluster.defects.EndWithoutHandOver || !c.isMember() {
		ended()
		return
	}
	c.findSuccessors(func(successors []messages.Peer) {
		c.shutdown.found, c.shutdown.successors = true, successors
		c.handOver(ended)
	})
}

func (c *Controller) isMember() bool {
	for part := range parts {
		if v, ok := c.committed(part); ok && isIn(v.Group, c.id) {
			return true
		}
	}
	return false
}

func isIn(group []messages.Member, id string) bool {
	for _, m := range group {
		if m.ID == id {
			return true
		}
	}
	return false
}

// findSuccessors asks a few of the others whether they hold the configuration on disk.
func (c *Controller) findSuccessors(found func([]messages.Peer)) {
	base, _ := c.committed(configPart)
	alive := c.alive()
	newcomers := consensus.Candidates(base.Group, consensus.NewStatus(alive, c.silentForUs, goneUs))
	newcomers = newcomers[:min(len(newcomers), maxSuccessors)]
	confirmed, answers, over := map[string]bool{}, 0, false
	end := func() {
		if over {
			return
		}
		over = true
		var out []messages.Peer
		for _, p := range alive {
			if confirmed[p.MemberID] || c.isMemberOfAny(p.MemberID) {
				out = append(out, p)
			}
		}
		found(out)
	}
	for _, m := range newcomers {
		c.confirm(configPart, m, base, func(kept bool) {
			confirmed[m.ID] = kept
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
		if v, ok := c.committed(part); ok && isIn(v.Group, id) {
			return true
		}
	}
	return false
}

// status is who is alive, or where this process ends, who may take its places.
func (c *Controller) status() consensus.Status {
	alive := c.alive()
	if c.shutdown.found {
		alive = c.shutdown.successors
	}
	return consensus.NewStatus(alive, c.silentForUs, goneUs)
}

// handOver repairs the groups until nothing is left to be handed over.
func (c *Controller) handOver(ended func()) {
	if c.process.NowUs() >= c.shutdown.untilUs || !c.mayHandOver() {
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

// flushOthers has the other members write what is committed to their disks.
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

// undisturbedUs is for how long nothing else may have gone wrong for a hand-over to be due.
const undisturbedUs = 3 * Second

// disturb notes a fault that lasts so long.
func (c *Cluster) disturb(forUs int64) {
	c.disturbances++
	c.disturbedUntilUs = max(c.disturbedUntilUs, c.kernel.NowUs()+forUs)
}

// shutDownFor ends a process in order, and starts it again.
func (c *Cluster) shutDownFor(victim *Controller, forUs int64) {
	if !victim.process.Up() || victim.process.frozen || victim.id == "" || victim.shutdown.begun {
		return
	}
	undisturbed := c.kernel.NowUs() > c.disturbedUntilUs+undisturbedUs
	count := c.disturbances
	spare := [parts]bool{}
	for part := range spare {
		spare[part] = c.hasSpare(part, victim)
	}
	c.kernel.Note("%s is told to end", victim.addr)
	c.disturb(handOverTotalUs + handOverConfirmUs + handOverFlushUs + forUs)
	victim.leave(func() {
		if undisturbed && count == c.disturbances-1 && !c.healed {
			c.checks.handedOver(victim, spare)
		}
		c.crash(victim)
		c.later(forUs, func() { c.restart(victim) })
	})
}

// hasSpare reports whether a controller stands ready that is no member of a register's group.
func (c *Cluster) hasSpare(part int, victim *Controller) bool {
	for _, node := range c.controllers {
		if node != victim && node.process.Up() && !node.process.frozen && node.id != "" && !isIn(c.checks.newest[part].Group, node.id) {
			return true
		}
	}
	return false
}

// handedOver checks that a member that ends has left each group for which another controller
// stood ready.
func (c *checks) handedOver(node *Controller, spare [parts]bool) {
	for part := range spare {
		if !spare[part] {
			continue
		}
		c.counts.HandOvers++
		if isIn(c.newest[part].Group, node.id) {
			c.cluster.kernel.Fail("%s ends as a member of part %d, where another controller stood ready", node.addr, part)
		}
	}
}
