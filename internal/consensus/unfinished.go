// Unfinished rounds: a member has accepted a value and received no commit for it. The
// value may have been committed, and the change acknowledged, before the proposer
// crashed, was suspended or was partitioned.

package consensus

// UnfinishedVersion returns the version for which this member has accepted a value without
// having learned that it is committed. It returns false if there is none, or while the
// record is locked. A Read finishes such a round.
func (r *Registers) UnfinishedVersion(index int) (version int64, unfinished bool) {
	register := r.registers[index]
	if !register.tryLock() {
		return 0, false
	}
	record := register.acceptor.Record
	register.unlock()
	version = record.Committed.Version + 1
	if committed := register.committed.Load(); committed != nil && committed.Version >= version {
		return 0, false
	}
	return version, record.HasAccepted
}

// MaybeAcceptedVersion returns the version for which this member has accepted a value without
// having learned that it is committed, or for which it may be accepting one now; 0 for
// none. A later call of Committed returns a value at least as new as the one that this
// result is based on.
func (r *Registers) MaybeAcceptedVersion(index int) int64 {
	register := r.registers[index]
	if !register.tryLock() {
		return r.nextVersion(index) // the record is locked, possibly by an accept
	}
	record := register.acceptor.Record
	register.unlock()
	if !record.HasAccepted {
		return 0
	}
	return record.Committed.Version + 1
}

// nextVersion returns the version after the newest committed one that was learned.
func (r *Registers) nextVersion(index int) int64 {
	v, _ := r.Committed(index)
	return v.Version + 1
}
