package invariant

import "sync/atomic"

// Newest is the highest of a series of versions, for rules by which a version never
// goes back. It is safe for concurrent use, and the zero value is ready for use.
type Newest struct{ version atomic.Int64 }

// Load returns the highest version so far, 0 for none.
func (n *Newest) Load() int64 { return n.version.Load() }

// Advance records a version. It returns the highest one before.
func (n *Newest) Advance(version int64) (before int64) {
	for {
		before = n.version.Load()
		if version <= before || n.version.CompareAndSwap(before, version) {
			return before
		}
	}
}
