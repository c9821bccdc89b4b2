package invariant

import "sync/atomic"

// Newest tracks the highest version seen, for invariants that require versions to be
// monotonic. It is safe for concurrent use, and the zero value is ready for use.
type Newest struct{ version atomic.Int64 }

// Load returns the highest version so far, 0 for none.
func (n *Newest) Load() int64 { return n.version.Load() }

// Advance records a version and returns the highest one recorded before.
func (n *Newest) Advance(version int64) (previous int64) {
	for {
		previous = n.version.Load()
		if version <= previous || n.version.CompareAndSwap(previous, version) {
			return previous
		}
	}
}
