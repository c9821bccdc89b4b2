// What this controller remembers of the claims that it has acted under.
package controller

import (
	"fmt"
	"strconv"
)

// actedFile names the note of the newest fence acted under in a part.
func actedFile(part int) string { return fmt.Sprintf("acted-%d", part) }

// noteActed notes a fence before the first order under it. It does not wait for
// the disk: the note only spares a later life of this holder the wait for the
// holder before.
func (d *Controller) noteActed(part int, fence int64) {
	r := &d.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acted[part] == fence {
		return
	}
	r.acted[part] = fence
	if d.disk != nil {
		go func() { _ = d.disk.Keep(actedFile(part), strconv.AppendInt(nil, fence, 10)) }()
	}
}

// actedUnder tells whether this holder, in this life or an earlier one, has
// acted under a fence.
func (d *Controller) actedUnder(part int, fence int64) bool {
	r := &d.rollouts
	r.mu.Lock()
	acted := r.acted[part] == fence
	r.mu.Unlock()
	if acted || d.disk == nil {
		return acted
	}
	note, ok := d.disk.Note(actedFile(part))
	return ok && string(note) == strconv.FormatInt(fence, 10)
}
