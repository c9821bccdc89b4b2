package consensus

import (
	"time"

	"beechtide.org/beechtide/internal/messages"
)

// persistRetryInterval is the wait before a failed write is retried.
const persistRetryInterval = 300 * time.Millisecond

// persistInBackground writes the committed value to disk in a goroutine, at most one per
// register. Safety does not depend on that, but after a membership change the old group
// may no longer exist: after a loss of power the members of the new group must then find
// it on their own disks.
func (r *Registers) persistInBackground(index int) {
	register := r.registers[index]
	if !register.persisting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for {
			v := register.committed.Load()
			register.recordLock <- struct{}{}
			err := r.persistLocked(index, *v)
			register.unlock()
			if err != nil {
				time.Sleep(persistRetryInterval)
				continue
			}
			register.persisting.Store(false)
			// No goroutine was started for a value that was learned before the flag was cleared.
			if register.committed.Load() == v || !register.persisting.CompareAndSwap(false, true) {
				return
			}
		}
	}()
}

// persistLocked merges a committed value into the record and saves the record, unless the
// value is on disk already. The caller holds the register's recordLock.
func (r *Registers) persistLocked(index int, v messages.Value) error {
	register := r.registers[index]
	before := register.acceptor.Record
	if !register.acceptor.Learn(v) && register.durableVersion >= register.acceptor.Record.Committed.Version {
		return r.store.Sync()
	}
	if err := r.saveRecord(index, register.acceptor.Record); err != nil {
		register.acceptor.Record = before
		return err
	}
	return nil
}

// saveRecord writes a record to the store and records the result for LastSave. The caller
// holds the register's recordLock.
func (r *Registers) saveRecord(index int, record messages.Record) error {
	start := time.Now()
	err := r.store.Save(index, record)
	r.recordSaveResult(time.Since(start), err)
	if err == nil && len(record.Committed.Group) > 0 {
		r.registers[index].durableVersion = record.Committed.Version
	}
	return err
}

// recordSaveResult stores the result of a write for LastSave, and logs the first of
// several consecutive failures.
func (r *Registers) recordSaveResult(duration time.Duration, err error) {
	r.lastSaveUs.Store(duration.Microseconds())
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if previous := r.lastSaveFault.Swap(&fault); err != nil && (previous == nil || *previous == "") {
		r.log.Error(err, "store write failed: this member does not vote until a write succeeds")
	}
}

// LastSave returns the duration of the last write to the store in microseconds, and its
// error, which is empty if it succeeded.
func (r *Registers) LastSave() (us int64, fault string) {
	if f := r.lastSaveFault.Load(); f != nil {
		fault = *f
	}
	return r.lastSaveUs.Load(), fault
}
