// Package drainstore keeps on disk which runners drain or have left. A runner that has left sends
// no heartbeats, so nobody tells a restarted controller that it is gone: its acknowledgement has to
// rest on disks.
//
// # Input and guarantees
//
// Store.Record returns once the record survives a loss of power. Records that arrive while one is
// being written share the next write. Store.Records returns what an earlier process recorded within
// Retention before its end; the time for which the machine was down does not count.
//
// # Concurrency
//
// A Store is safe for concurrent use. It starts no goroutine.
package drainstore

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Retention is how long a record is kept, as long as registry.Registry keeps the entry of a runner
// that has left.
const Retention = 2 * time.Minute

// fileName is the file that holds the records.
const fileName = "drains"

// Files stores files atomically and durably.
type Files interface {
	ReadFile(name string) ([]byte, bool)
	WriteFile(name string, content []byte) error
}

// Store keeps the records of a machine with a disk. A nil Store belongs to a machine without one and
// keeps nothing.
type Store struct {
	files Files
	clock func() int64 // microseconds, monotonic

	writing sync.Mutex // held during a write; guards written
	written int64      // the change up to which all are on disk

	mu      sync.Mutex // guards what follows
	entries map[string]entry
	changes int64 // number of changes
}

// entry is the record of a runner.
type entry struct {
	record  messages.RunnerRecord
	addedUs int64
	change  int64 // the change that added it
}

// Open reads the records that an earlier process has written. A missing or damaged file counts as
// empty.
func Open(files Files, clock func() int64) *Store {
	s := &Store{files: files, clock: clock, entries: map[string]entry{}}
	content, ok := files.ReadFile(fileName)
	if !ok {
		return s
	}
	var stored messages.News
	if _, err := stored.UnmarshalMsg(content); err != nil {
		return s
	}
	for _, record := range stored.Runners {
		s.entries[record.ID] = entry{record: record, addedUs: clock()}
	}
	return s
}

// Records returns all records.
func (s *Store) Records() []messages.RunnerRecord {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]messages.RunnerRecord, 0, len(s.entries))
	for _, e := range s.entries {
		records = append(records, e.record)
	}
	return records
}

// Record stores that a runner drains or, if the record says so, is gone, and returns once that is on
// disk.
func (s *Store) Record(record messages.RunnerRecord) error {
	if s == nil {
		return nil
	}
	change := s.add(record)
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.written >= change {
		return nil
	}
	content, newest, err := s.encode()
	if err != nil {
		return errors.Wrap(err, "drainstore: encode the records")
	}
	if err := s.files.WriteFile(fileName, content); err != nil {
		return errors.Wrap(err, "drainstore: write the records")
	}
	s.written = newest
	return nil
}

// add adds a record and returns the change that has to be on disk for it. A runner that is gone
// stays gone.
func (s *Store) add(record messages.RunnerRecord) (change int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[record.ID]; ok && (e.record.Gone || !record.Gone) {
		return e.change
	}
	s.changes++
	s.entries[record.ID] = entry{record: record, addedUs: s.clock(), change: s.changes}
	return s.changes
}

// encode returns the records to write, without those whose retention has ended, and the newest
// change among them.
func (s *Store) encode() (content []byte, newest int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldestUs := s.clock() - Retention.Microseconds()
	var stored messages.News
	for id, e := range s.entries {
		if e.addedUs < oldestUs {
			delete(s.entries, id)
			continue
		}
		stored.Runners = append(stored.Runners, e.record)
	}
	content, err = stored.MarshalMsg(nil)
	return content, s.changes, err
}
