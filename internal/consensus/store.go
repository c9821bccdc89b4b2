package consensus

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Store keeps what a member must not forget: its identity and one record a register.
// Votes belong to an identity: a member that can't show all its votes takes a new
// one (Restore) and never votes under the earlier one again. A Store is safe for
// concurrent use.
type Store interface {
	// Identity returns the stored identity, if there is one and it is readable.
	Identity() (id string, known bool, err error)
	// Empty reports whether nothing was ever stored here.
	Empty() (bool, error)
	// ResetIdentity stores another identity and erases every vote of the earlier one: of
	// readable records the committed value stays, damaged ones are removed. Wherever
	// it is interrupted, votes of one identity are never found under another.
	ResetIdentity(id string) error
	// Load returns the record of a register, if one was saved. The error wraps ErrDamaged
	// if the newest one is damaged; it never falls back to an older one.
	Load(part int) (messages.Record, bool, error)
	// Save returns once a record is durable.
	Save(part int, record messages.Record) error
	// Sync makes durable what Identity and Load returned. A member gives no vote
	// that rests on it before.
	Sync() error
}

// Restored is the state that a member starts from.
type Restored struct {
	ID      string
	Records [Parts]messages.Record
	Damaged []int // registers whose records were damaged
}

// Restore reads a store. bootstrapID is the identity of a member that takes part in
// founding the group, or empty. It is used only if the store is empty, so that a
// member that has lost anything never founds a group again. newID makes a fresh
// identity, which replaces the stored one if any record is damaged.
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
	again, err := out.loadRecords(store)
	if err == nil && len(again) > 0 {
		err = errors.Wrap(ErrDamaged, "still there under a new identity")
	}
	return out, err
}

// loadIdentity returns the stored identity, else the bootstrap identity if the store
// is empty, else a fresh one.
func loadIdentity(store Store, bootstrapID string, newID func() string) (Restored, error) {
	id, known, err := store.Identity()
	if err != nil || known {
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

// loadRecords reads the records of all registers and lists the damaged ones.
func (r *Restored) loadRecords(store Store) (damaged []int, err error) {
	for part := range r.Records {
		record, _, err := store.Load(part)
		if errors.Is(err, ErrDamaged) {
			damaged = append(damaged, part)
			continue
		}
		if err != nil {
			return nil, err
		}
		r.Records[part] = record
	}
	return damaged, nil
}

// withoutVotes returns what remains of a record under another identity.
func withoutVotes(record messages.Record) messages.Record {
	return messages.Record{Committed: record.Committed}
}
