package consensus

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
)

// MemoryStore is a Store in the memory of the process, for machines without a disk. The
// zero value is empty and ready for use.
type MemoryStore struct {
	mu      sync.Mutex // guards all below
	records map[int]messages.Record
	id      string
}

// Identity returns the identity of this process, if it has one yet.
func (m *MemoryStore) Identity() (string, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id, m.id != "", nil
}

// Empty reports whether nothing was stored.
func (m *MemoryStore) Empty() (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id == "" && len(m.records) == 0, nil
}

// ResetIdentity stores another identity and erases the votes.
func (m *MemoryStore) ResetIdentity(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id = id
	for index, record := range m.records {
		m.records[index] = withoutVotes(record)
	}
	return nil
}

// Load returns the most recently saved record.
func (m *MemoryStore) Load(index int) (messages.Record, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[index]
	return r, ok, nil
}

// Save stores the record in memory.
func (m *MemoryStore) Save(index int, record messages.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = map[int]messages.Record{}
	}
	m.records[index] = record
	return nil
}

// Sync does nothing: a loss of power loses all of the store in any case.
func (m *MemoryStore) Sync() error { return nil }
