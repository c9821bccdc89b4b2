package consensus

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Store is the durable state of a member: its identity and one record per register. Votes
// belong to an identity: a member that has lost any of its votes adopts a new identity
// (Restore) and never votes under the earlier one again. A Store is safe for concurrent
// use.
type Store interface {
	// Identity returns the stored identity, if there is one and it is readable.
	Identity() (id string, found bool, err error)
	// Empty reports whether nothing was ever stored here.
	Empty() (bool, error)
	// ResetIdentity stores another identity and erases every vote of the earlier one:
	// readable records retain their committed value, damaged ones are removed. Votes of
	// one identity are never found under another, even if it is interrupted at any point.
	ResetIdentity(id string) error
	// Load returns the record of a register, if one was saved. The error wraps ErrDamaged
	// if the newest one is damaged; it never falls back to an older one.
	Load(index int) (messages.Record, bool, error)
	// Save returns once a record is durable.
	Save(index int, record messages.Record) error
	// Sync makes the results of Identity and Load durable. A member gives no vote that
	// depends on them before.
	Sync() error
}

// Restored is the state of a member as read from its store at startup.
type Restored struct {
	ID      string
	Records [RegisterCount]messages.Record
	Damaged []int // registers whose records were damaged
}

// Restore reads a store. bootstrapID is the identity of a founder of the group, or empty.
// It is used only if the store is empty, so that a member that has lost part of its state
// is never a founder again. newID returns a fresh identity, which replaces the stored one
// if any record is damaged.
func Restore(store Store, bootstrapID string, newID func() string) (Restored, error) {
	out, err := loadIdentity(store, bootstrapID, newID)
	if err != nil {
		return out, err
	}
	if out.Damaged, err = out.loadRecords(store); err != nil {
		return out, err
	}
	if len(out.Damaged) == 0 {
		return out, nil
	}
	out.ID = newID()
	if err := store.ResetIdentity(out.ID); err != nil {
		return out, err
	}
	stillDamaged, err := out.loadRecords(store)
	if err == nil && len(stillDamaged) > 0 {
		err = errors.Wrap(ErrDamaged, "reset identity: a damaged record was not removed")
	}
	return out, err
}

// loadIdentity returns the stored identity, else the bootstrap identity if the store
// is empty, else a fresh one.
func loadIdentity(store Store, bootstrapID string, newID func() string) (Restored, error) {
	id, found, err := store.Identity()
	if err != nil || found {
		return Restored{ID: id}, err
	}
	empty, err := store.Empty()
	if err != nil {
		return Restored{}, err
	}
	id = bootstrapID
	if id == "" || !empty {
		id = newID()
	}
	return Restored{ID: id}, store.ResetIdentity(id)
}

// loadRecords reads the records of all registers and returns the registers whose records
// are damaged.
func (r *Restored) loadRecords(store Store) (damaged []int, err error) {
	for index := range r.Records {
		record, _, err := store.Load(index)
		if errors.Is(err, ErrDamaged) {
			damaged = append(damaged, index)
			continue
		}
		if err != nil {
			return nil, err
		}
		r.Records[index] = record
	}
	return damaged, nil
}

// withoutVotes returns the part of a record that is valid under another identity.
func withoutVotes(record messages.Record) messages.Record {
	return messages.Record{Committed: record.Committed}
}
