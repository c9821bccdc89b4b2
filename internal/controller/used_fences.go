// The fencing tokens under which this controller has acted: sent orders to runners, or
// calls to the platform.

package controller

import (
	"fmt"
	"strconv"
)

// usedFenceFile names the note of the newest fence acted under in a register. The
// name is that of earlier versions of the program.
func usedFenceFile(part int) string { return fmt.Sprintf("acted-%d", part) }

// recordFenceUsed notes a fence before the first order under it. It does not wait
// for the disk: the note only spares a later process of this holder the wait for
// the holder before.
func (m *roleManager) recordFenceUsed(part int, fence int64) {
	m.mu.Lock()
	checkFence(part, m.used[part], fence)
	known := m.used[part] == fence
	m.used[part] = fence
	m.mu.Unlock()
	if disk := m.controller.disk; disk != nil && !known {
		go func() { _ = disk.Keep(usedFenceFile(part), strconv.AppendInt(nil, fence, 10)) }()
	}
}

// usedFence tells whether this holder, in this process or an earlier one, has acted
// under a fence.
func (m *roleManager) usedFence(part int, fence int64) bool {
	m.mu.Lock()
	used := m.used[part] == fence
	m.mu.Unlock()
	if used || m.controller.disk == nil {
		return used
	}
	note, ok := m.controller.disk.Note(usedFenceFile(part))
	return ok && string(note) == strconv.FormatInt(fence, 10)
}
