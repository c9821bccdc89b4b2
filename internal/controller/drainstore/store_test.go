package drainstore

import (
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

var errFull = errors.New("disk full")

// memoryFiles holds files in memory and counts the writes.
type memoryFiles struct {
	content map[string][]byte
	writes  int
	failing bool
}

func (f *memoryFiles) ReadFile(name string) ([]byte, bool) {
	content, ok := f.content[name]
	return content, ok
}

func (f *memoryFiles) WriteFile(name string, content []byte) error {
	if f.failing {
		return errFull
	}
	f.writes++
	f.content[name] = content
	return nil
}

func newFiles() *memoryFiles { return &memoryFiles{content: map[string][]byte{}} }

func clockAt(nowUs *int64) func() int64 { return func() int64 { return *nowUs } }

func TestRecordsAreReadAfterRestart(t *testing.T) {
	files, nowUs := newFiles(), int64(1)
	s := Open(files, clockAt(&nowUs))
	must.SliceEmpty(t, s.Records())
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-1", Draining: true, Models: []messages.Target{}}))
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-2", Gone: true, Models: []messages.Target{}}))
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-2", Draining: true, Models: []messages.Target{}}))
	must.Eq(t, 2, files.writes, must.Sprint("draining after leaving changes nothing"))
	states := map[string]bool{}
	for _, record := range Open(files, clockAt(&nowUs)).Records() {
		states[record.ID] = record.Gone
	}
	must.Eq(t, map[string]bool{"i-1": false, "i-2": true}, states)
}

func TestRecordIsWrittenAgainAfterFailure(t *testing.T) {
	files, nowUs := newFiles(), int64(1)
	s := Open(files, clockAt(&nowUs))
	gone := messages.RunnerRecord{ID: "i-1", Gone: true}
	files.failing = true
	must.ErrorIs(t, s.Record(gone), errFull)
	must.ErrorIs(t, s.Record(gone), errFull, must.Sprint("a repeated call does not count as written"))
	files.failing = false
	must.NoError(t, s.Record(gone))
	must.Len(t, 1, Open(files, clockAt(&nowUs)).Records())
}

func TestOldRecordsAreDropped(t *testing.T) {
	files, nowUs := newFiles(), int64(1)
	s := Open(files, clockAt(&nowUs))
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-1", Gone: true}))
	nowUs += Retention.Microseconds() + 1
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-2", Gone: true}))
	records := Open(files, clockAt(&nowUs)).Records()
	must.Len(t, 1, records)
	must.Eq(t, "i-2", records[0].ID)
}

func TestDamagedFileCountsAsEmpty(t *testing.T) {
	files, nowUs := newFiles(), int64(1)
	files.content[fileName] = []byte("no records")
	must.SliceEmpty(t, Open(files, clockAt(&nowUs)).Records())
}

// blockingFiles holds up the first write until it is released.
type blockingFiles struct {
	memoryFiles
	begun, release chan struct{}
	once           sync.Once
}

func (f *blockingFiles) WriteFile(name string, content []byte) error {
	f.once.Do(func() {
		close(f.begun)
		<-f.release
	})
	return f.memoryFiles.WriteFile(name, content)
}

func TestRecordsDuringWriteShareTheNextOne(t *testing.T) {
	files := &blockingFiles{memoryFiles: *newFiles(), begun: make(chan struct{}), release: make(chan struct{})}
	nowUs := int64(1)
	s := Open(files, clockAt(&nowUs))
	var calls sync.WaitGroup
	calls.Go(func() { must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-0", Gone: true})) })
	<-files.begun
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.add(messages.RunnerRecord{ID: id, Gone: true})
		calls.Go(func() { must.NoError(t, s.Record(messages.RunnerRecord{ID: id, Gone: true})) })
	}
	close(files.release)
	calls.Wait()
	must.Eq(t, 2, files.writes)
	must.Len(t, 4, Open(files, clockAt(&nowUs)).Records())
}

func TestStoreWithoutDiskKeepsNothing(t *testing.T) {
	var s *Store
	must.NoError(t, s.Record(messages.RunnerRecord{ID: "i-1", Gone: true}))
	must.SliceEmpty(t, s.Records())
}
