// Store keeps what a member must not forget: its identity and a record a part.
// Votes belong to an identity. A member that cannot show all its votes takes a
// new one (Restore) and so votes no more as who it was. MemoryStore serves
// machines without a disk.
package consensus

import (
	"sync"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// ErrStore is the cause of every error of a store.
var ErrStore = errors.New("consensus: store")

// ErrDamaged means that a record was durable once and can't be read now: its
// votes are lost.
var ErrDamaged = errors.New("consensus: damaged record")

// Store is where a member keeps its identity and its records.
type Store interface {
	// Identity gives the identity that was kept, if one was and is readable.
	Identity() (id string, known bool, err error)
	// Empty tells whether nothing was ever kept here.
	Empty() (bool, error)
	// Renew takes another identity and forgets every vote of the earlier one: of
	// whole records the committed value stays, damaged ones go. Whenever it is
	// cut short, the votes of one identity are never found under another.
	Renew(id string) error
	// Load gives the record of a part, if one was saved. The error wraps
	// ErrDamaged where the newest one is damaged; an older one never counts.
	Load(part int) (messages.Record, bool, error)
	// Save makes a record durable.
	Save(part int, rec messages.Record) error
	// Settle makes sure that what Identity and Load gave outlasts a loss of
	// power. A member gives no vote before.
	Settle() error
}

// Restored is what a member begins with.
type Restored struct {
	ID      string
	Records [Parts]messages.Record
	Damaged []int // parts whose records were damaged
}

// Restore reads a store. first is the identity of a member that takes part in
// founding the group, or empty; it is taken only where the store is empty, so
// that a member that has lost anything never founds a group again.
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
	if err := store.Renew(out.ID); err != nil {
		return out, err
	}
	again, err := out.loadRecords(store)
	if err == nil && len(again) > 0 {
		err = errors.Wrap(ErrDamaged, "still there under a new identity")
	}
	return out, err
}

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
	return Restored{ID: id}, store.Renew(id)
}

// load reads all parts and names those that are damaged.
func (r *Restored) loadRecords(store Store) (damaged []int, err error) {
	for part := range r.Records {
		rec, _, err := store.Load(part)
		if errors.Is(err, ErrDamaged) {
			damaged = append(damaged, part)
			continue
		}
		if err != nil {
			return nil, err
		}
		r.Records[part] = rec
	}
	return damaged, nil
}

// withoutVotes is what stays of a record under another identity.
func withoutVotes(rec messages.Record) messages.Record {
	return messages.Record{Committed: rec.Committed}
}

// MemoryStore is a Store that ends with the process.
type MemoryStore struct {
	mu      sync.Mutex
	records map[int]messages.Record
	id      string
}

// Identity gives the one of this process.
func (s *MemoryStore) Identity() (string, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.id != "", nil
}

// Empty tells whether nothing was kept.
func (s *MemoryStore) Empty() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == "" && len(s.records) == 0, nil
}

// Renew takes another identity.
func (s *MemoryStore) Renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
	for part, rec := range s.records {
		s.records[part] = withoutVotes(rec)
	}
	return nil
}

// Load gives what was saved.
func (s *MemoryStore) Load(part int) (messages.Record, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[part]
	return r, ok, nil
}

// Save keeps the record.
func (s *MemoryStore) Save(part int, rec messages.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[int]messages.Record{}
	}
	s.records[part] = rec
	return nil
}

// Settle has nothing to do: a loss of power takes the process along.
func (s *MemoryStore) Settle() error { return nil }
