// Rounds that were left unfinished are brought to their end. A controller that
// acknowledges a change and then ends may not have notified any other member that it was
// committed; the others have accepted it and would learn of it only with the next
// change.

package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/loop"
)

// Times of the look for unfinished rounds. Several members may find the same one,
// so each waits for a time of its own, drawn anew for each round.
const (
	unfinishedPeriod    = 100 * time.Millisecond
	unfinishedLeastWait = 300 * time.Millisecond
	unfinishedMostWait  = 800 * time.Millisecond
	unfinishedReadWait  = time.Second
)

// unfinishedRounds remembers since when the round of each register is unfinished.
type unfinishedRounds [consensus.RegisterCount]struct {
	slot  int64
	dueUs int64
}

// due tells whether a round has been unfinished for long enough to end it.
func (u *unfinishedRounds) due(part int, slot, nowUs, waitUs int64) bool {
	at := &u[part]
	if at.slot != slot {
		at.slot, at.dueUs = slot, nowUs+waitUs
		return false
	}
	return nowUs >= at.dueUs
}

// finishRounds looks for unfinished rounds until ctx ends, and reads the registers
// that have one.
func (c *Controller) finishRounds(ctx context.Context) {
	var rounds unfinishedRounds
	loop.Every(ctx, unfinishedPeriod, func() {
		for part := range consensus.RegisterCount {
			slot, unfinished := c.registers.UnfinishedVersion(part)
			if !unfinished {
				rounds[part].slot = 0
				continue
			}
			wait := unfinishedLeastWait + rand.N(unfinishedMostWait-unfinishedLeastWait)
			if !rounds.due(part, slot, c.clock(), wait.Microseconds()) {
				continue
			}
			rounds[part].slot = 0
			go c.finishRound(ctx, part, slot)
		}
	})
}

// finishRound reads a register by a majority, which ends its round.
func (c *Controller) finishRound(ctx context.Context, part int, slot int64) {
	ctx, cancel := context.WithTimeout(ctx, unfinishedReadWait)
	defer cancel()
	_, err := c.contactRegisters().Read(ctx, part)
	c.log.Info("an unfinished round was read", "part", part, "slot", slot, "err", err)
}
