package singleton

import (
	"fmt"
	"strconv"

	"beechtide.org/beechtide/internal/invariant"
)

// Runners reject orders under a lower fencing token than one they have seen.
var fenceGoesForward = invariant.New("order_fence_goes_forward",
	"the fencing token of the orders that a controller sends for a register never decreases")

// usedFenceFile names the note of the newest fence acted under in a register. The
// name is that of earlier versions of the program.
func usedFenceFile(part int) string { return fmt.Sprintf("acted-%d", part) }

// RecordFenceUsed notes a fence before the first order to a runner, or call to the platform,
// under it. It does not wait for the disk: the note only spares a later process of this holder
// the wait for the holder before.
func (l *Leases) RecordFenceUsed(part int, fence int64) {
	l.mu.Lock()
	checkFence(part, l.used[part], fence)
	known := l.used[part] == fence
	l.used[part] = fence
	l.mu.Unlock()
	if l.config.Notes != nil && !known {
		go l.keepFence(part, fence)
	}
}

// keepFence writes the note. A note that is missing costs a later process a wait.
func (l *Leases) keepFence(part int, fence int64) {
	if err := l.config.Notes.WriteFile(usedFenceFile(part), strconv.AppendInt(nil, fence, 10)); err != nil {
		l.config.Log.V(1).Info("fence not noted on disk", "part", part, "fence", fence, "err", err)
	}
}

// usedFence reports whether this holder, in this process or an earlier one, has acted
// under a fence.
func (l *Leases) usedFence(part int, fence int64) bool {
	l.mu.Lock()
	used := l.used[part] == fence
	l.mu.Unlock()
	if used || l.config.Notes == nil {
		return used
	}
	note, ok := l.config.Notes.ReadFile(usedFenceFile(part))
	return ok && string(note) == strconv.FormatInt(fence, 10)
}

// checkFence checks the fencing token of orders against the one used before.
func checkFence(part int, before, next int64) {
	if next < before {
		fenceGoesForward.Violated("part", part, "before", before, "next", next)
	}
}
