// DiskStore keeps records as files: one a version and part, written aside,
// synced, renamed, the folder synced, and only then the older ones removed. A
// file under its final name was whole and synced before it got that name. So a
// write that was torn is a file aside, which never counted, and a file under a
// final name that fails its checksum was damaged after it was durable.
package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io/fs"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
	"beechtide.org/beechtide/internal/messages"
)

const (
	identityFile    = "identity"
	temporarySuffix = ".new"
	recordSuffix    = ".rec"
	checksumSize    = 4 // bytes
)

// DiskStore is a Store in a folder.
type DiskStore struct {
	files           filesystem.FileSystem
	mu              sync.Mutex
	lastSequence    map[int]int64
	fileLocks       map[string]*sync.Mutex // by name of a small file
	directorySynced atomic.Bool

	closeLock sync.RWMutex
	closed    bool
}

// NewDiskStore uses the folder dir, which is made if it is missing.
func NewDiskStore(dir string) (*DiskStore, error) {
	files, err := filesystem.Open(dir)
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return OpenDiskStore(files)
}

// OpenDiskStore removes what earlier writes left aside, and uses the files.
func OpenDiskStore(files filesystem.FileSystem) (*DiskStore, error) {
	names, err := files.List()
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = files.Remove(name)
		}
	}
	return &DiskStore{files: files, lastSequence: map[int]int64{}, fileLocks: map[string]*sync.Mutex{}}, nil
}

// Close waits for the writes under way; later ones are refused.
func (s *DiskStore) Close() {
	s.closeLock.Lock()
	s.closed = true
	s.closeLock.Unlock()
}

// Identity reads the identity; one that is damaged or void counts as none.
func (s *DiskStore) Identity() (string, bool, error) {
	b, err := s.read(identityFile)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, ErrDamaged):
		return "", false, nil
	case err != nil:
		return "", false, err
	}
	return string(b), true, nil
}

// Empty tells whether there is no file but those that were left aside.
func (s *DiskStore) Empty() (bool, error) {
	names, err := s.files.List()
	if err != nil {
		return false, errors.Wrap(ErrStore, err.Error())
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			return false, nil
		}
	}
	return true, nil
}

// Renew voids the identity, then drops the votes, then keeps the new identity. Ended
// in between it begins again at the next start, as there is no identity by then.
func (s *DiskStore) Renew(id string) error {
	empty, err := s.Empty()
	if err != nil {
		return err
	}
	if !empty {
		err = s.Keep(identityFile, nil)
	}
	if err != nil {
		return err
	}
	for part := range Parts {
		if err := s.eraseVotes(part); err != nil {
			return err
		}
	}
	if err := s.syncDirectory(); err != nil {
		return err
	}
	return s.Keep(identityFile, []byte(id))
}

func (s *DiskStore) eraseVotes(part int) error {
	rec, ok, err := s.Load(part)
	switch {
	case errors.Is(err, ErrDamaged):
		return s.removeRecords(part)
	case err != nil || !ok || rec.Promised == messages.Ballot{} && !rec.HasAccepted:
		return err
	}
	return s.Save(part, withoutVotes(rec))
}

// discard removes all files of a part.
func (s *DiskStore) removeRecords(part int) error {
	list, err := s.recordFiles(part)
	if err != nil {
		return err
	}
	for _, v := range list {
		if err := s.files.Remove(v.name); err != nil {
			return errors.Wrap(ErrStore, err.Error())
		}
	}
	return nil
}

// Settle syncs the folder once: a process that was killed may have left a name
// that is there and would be gone after a loss of power.
func (s *DiskStore) Settle() error {
	if s.directorySynced.Load() {
		return nil
	}
	return s.syncDirectory()
}

func (s *DiskStore) syncDirectory() error {
	if err := s.files.Sync(); err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	s.directorySynced.Store(true)
	return nil
}

// Note reads a file that Keep wrote; a damaged one counts as none.
func (s *DiskStore) Note(name string) ([]byte, bool) {
	b, err := s.read(name)
	return b, err == nil
}

// Keep makes a small file durable under a name, in place of what it held. Those
// who keep under one name go one after the other, as they write aside under one
// name too.
func (s *DiskStore) Keep(name string, body []byte) error {
	s.mu.Lock()
	if s.fileLocks[name] == nil {
		s.fileLocks[name] = &sync.Mutex{}
	}
	turn := s.fileLocks[name]
	s.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	return s.write(name, withChecksum(body))
}

func withChecksum(body []byte) []byte {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+checksumSize), crc32.ChecksumIEEE(body))
	return append(out, body...)
}

// read gives the body of a file. The error wraps ErrDamaged where the file is not
// what was written, fs.ErrNotExist where there is none, and else ErrStore.
func (s *DiskStore) read(name string) ([]byte, error) {
	b, err := s.files.Read(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, err
	case errors.Is(err, syscall.EIO):
		return nil, errors.Wrapf(ErrDamaged, "%s: %s", name, err)
	case err != nil:
		return nil, errors.Wrap(ErrStore, err.Error())
	case len(b) <= checksumSize || crc32.ChecksumIEEE(b[checksumSize:]) != binary.BigEndian.Uint32(b):
		return nil, errors.Wrapf(ErrDamaged, "%s: checksum", name)
	}
	return b[checksumSize:], nil
}

func (s *DiskStore) write(name string, body []byte) error {
	s.closeLock.RLock()
	defer s.closeLock.RUnlock()
	if s.closed {
		return errors.Wrap(ErrStore, "closed")
	}
	temporary := name + temporarySuffix
	if err := s.writeTemporary(temporary, body); err != nil {
		_ = s.files.Remove(temporary)
		return errors.Wrap(ErrStore, err.Error())
	}
	if err := s.files.Rename(temporary, name); err != nil {
		_ = s.files.Remove(temporary)
		return errors.Wrap(ErrStore, err.Error())
	}
	return s.syncDirectory()
}

func (s *DiskStore) writeTemporary(temporary string, body []byte) error {
	f, err := s.files.Create(temporary)
	if errors.Is(err, fs.ErrExist) {
		if err := s.files.Remove(temporary); err != nil {
			return err
		}
		f, err = s.files.Create(temporary)
	}
	if err != nil {
		return err
	}
	_, err = f.Write(body)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

type recordFile struct {
	sequence int64
	name     string
}

// versions lists the files of a part, the newest first.
func (s *DiskStore) recordFiles(part int) ([]recordFile, error) {
	names, err := s.files.List()
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	prefix := fmt.Sprintf("part-%d-", part)
	var out []recordFile
	for _, name := range names {
		rest, isPart := strings.CutPrefix(name, prefix)
		number, isRecord := strings.CutSuffix(rest, recordSuffix)
		if !isPart || !isRecord {
			continue
		}
		if seq, err := strconv.ParseInt(number, 10, 64); err == nil {
			out = append(out, recordFile{seq, name})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sequence > out[j].sequence })
	return out, nil
}

// Load gives the newest record of a part. Its file is the only one that counts:
// where it is damaged, the one before it would be a member that has forgotten.
func (s *DiskStore) Load(part int) (messages.Record, bool, error) {
	var rec messages.Record
	s.mu.Lock()
	defer s.mu.Unlock()
	list, err := s.recordFiles(part)
	if err != nil || len(list) == 0 {
		return rec, false, err
	}
	s.lastSequence[part] = max(s.lastSequence[part], list[0].sequence)
	b, err := s.read(list[0].name)
	if errors.Is(err, fs.ErrNotExist) {
		err = errors.Wrap(ErrStore, err.Error())
	}
	if err != nil {
		return rec, false, err
	}
	if _, err := rec.UnmarshalMsg(b); err != nil {
		return messages.Record{}, false, errors.Wrapf(ErrStore, "%s: whole, but not a record that this version reads: %s", list[0].name, err)
	}
	return rec, true, nil
}

// Save makes a record durable.
func (s *DiskStore) Save(part int, rec messages.Record) error {
	b, err := rec.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	s.mu.Lock()
	s.lastSequence[part]++
	seq := s.lastSequence[part]
	s.mu.Unlock()
	name := fmt.Sprintf("part-%d-%d%s", part, seq, recordSuffix)
	if err := s.write(name, withChecksum(b)); err != nil {
		_ = s.files.Remove(name) // it may have got its name and not outlast a loss of power
		return err
	}
	old, err := s.recordFiles(part)
	if err != nil {
		return nil
	}
	for _, v := range old {
		if v.sequence < seq {
			_ = s.files.Remove(v.name)
		}
	}
	return nil
}
