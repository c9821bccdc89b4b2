package singleton

import (
	"fmt"
	"strconv"

	"beechtide.org/beechtide/internal/invariant"
)

// Runners reject orders under a lower fencing token than the highest they have received.
var fenceNeverDecreases = invariant.New("order_fence_goes_forward",
	"the fencing token of the orders that a controller sends for a register never decreases")

// usedFenceFile returns the name of the file with the newest fencing token used in a register.
// The name is that of earlier versions of the program.
func usedFenceFile(register int) string { return fmt.Sprintf("acted-%d", register) }

// RecordFenceUsed records a fencing token. It must be called before the first order to a runner,
// or call to the platform, under the token. It does not wait for the disk: the stored token only
// lets a later process of this holder skip the wait for the previous holder.
func (l *Leases) RecordFenceUsed(register int, fence int64) {
	l.mu.Lock()
	checkFence(register, l.usedFences[register], fence)
	alreadyRecorded := l.usedFences[register] == fence
	l.usedFences[register] = fence
	l.mu.Unlock()
	if l.config.Files != nil && !alreadyRecorded {
		go l.saveUsedFence(register, fence)
	}
}

// saveUsedFence writes the fencing token to disk. If the write fails, a later process waits.
func (l *Leases) saveUsedFence(register int, fence int64) {
	if err := l.config.Files.WriteFile(usedFenceFile(register), strconv.AppendInt(nil, fence, 10)); err != nil {
		l.config.Log.V(1).Info("used fencing token not saved", "part", register, "fence", fence, "err", err)
	}
}

// usedFence reports whether this holder, in this process or an earlier one, has acted under a
// fencing token.
func (l *Leases) usedFence(register int, fence int64) bool {
	l.mu.Lock()
	used := l.usedFences[register] == fence
	l.mu.Unlock()
	if used || l.config.Files == nil {
		return used
	}
	content, ok := l.config.Files.ReadFile(usedFenceFile(register))
	return ok && string(content) == strconv.FormatInt(fence, 10)
}

// checkFence checks that the fencing token of orders is not lower than the one used before.
func checkFence(register int, before, next int64) {
	if next < before {
		fenceNeverDecreases.Violated("part", register, "before", before, "next", next)
	}
}
