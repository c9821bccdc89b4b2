// Unfinished rounds: a member has accepted a value and receives nothing more about it.
// The value may have been committed, and its proposer have acknowledged the change,
// before the proposer ended, froze or was cut off.

package consensus

// Unfinished returns the slot for which this member has accepted a value that it
// does not know to be committed; false where there is none, or while the record is
// in use. A Read brings such a round to its end.
func (r *Registers) Unfinished(part int) (slot int64, unfinished bool) {
	register := r.registers[part]
	if !register.tryLock() {
		return 0, false
	}
	record := register.acceptor.Rec
	register.unlock()
	slot = record.Committed.Version + 1
	if known := register.committed.Load(); known != nil && known.Version >= slot {
		return 0, false
	}
	return slot, record.HasAccepted
}

// MayHaveAccepted returns the version for which this member has accepted a value that it
// does not know to be committed, or for which it may be accepting one now; 0 for none.
// Committed, when it is called afterwards, is not older than what this rests on.
func (r *Registers) MayHaveAccepted(part int) int64 {
	register := r.registers[part]
	if !register.tryLock() {
		return r.nextVersion(part) // the record is in use, perhaps by an accept
	}
	record := register.acceptor.Rec
	register.unlock()
	if !record.HasAccepted {
		return 0
	}
	return record.Committed.Version + 1
}

// nextVersion is the version after the newest one known to be committed.
func (r *Registers) nextVersion(part int) int64 {
	v, _ := r.Committed(part)
	return v.Version + 1
}
