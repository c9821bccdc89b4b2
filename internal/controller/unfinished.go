// Completion of unfinished consensus rounds. A controller that acknowledges a change and then
// stops may not have notified any other member of the commit; the others have accepted the value
// and would otherwise learn of the commit only with the next change.

package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
)

// Timing of the search for unfinished rounds. Several members may find the same round, so each
// waits for a random time before it reads the register.
const (
	unfinishedCheckPeriod = 100 * time.Millisecond
	minUnfinishedWait     = 300 * time.Millisecond
	maxUnfinishedWait     = 800 * time.Millisecond
	unfinishedReadTimeout = time.Second
)

// unfinishedRounds records the unfinished round of each register and when to complete it.
type unfinishedRounds [consensus.RegisterCount]struct {
	slot  int64
	dueUs int64
}

// due reports whether a round has been unfinished for the wait time, which starts with the first
// call for that round.
func (u *unfinishedRounds) due(register int, slot, nowUs, waitUs int64) bool {
	round := &u[register]
	if round.slot != slot {
		round.slot, round.dueUs = slot, nowUs+waitUs
		return false
	}
	return nowUs >= round.dueUs
}

// finishRounds checks for unfinished rounds until ctx ends, and reads the registers that have
// one.
func (c *Controller) finishRounds(ctx context.Context) {
	var rounds unfinishedRounds
	loop.Every(ctx, unfinishedCheckPeriod, func() {
		for register := range consensus.RegisterCount {
			slot, unfinished := c.registers.UnfinishedVersion(register)
			if !unfinished {
				rounds[register].slot = 0
				continue
			}
			wait := minUnfinishedWait + rand.N(maxUnfinishedWait-minUnfinishedWait)
			if !rounds.due(register, slot, c.clock(), wait.Microseconds()) {
				continue
			}
			rounds[register].slot = 0
			go c.finishRound(ctx, register, slot)
		}
	})
}

// finishRound reads a register from a majority, which completes its unfinished round.
func (c *Controller) finishRound(ctx context.Context, register int, slot int64) {
	ctx, cancel := context.WithTimeout(ctx, unfinishedReadTimeout)
	defer cancel()
	_, err := c.contactRegisters().Read(ctx, register)
	c.log.Info("unfinished consensus round read", "part", register, "slot", slot, "err", err)
}
