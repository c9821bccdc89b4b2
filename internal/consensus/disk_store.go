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
	identityFile = "identity"
	asideSuffix  = ".new"
	recordSuffix = ".rec"
	checksumSize = 4 // bytes
)

// DiskStore is a Store in a folder.
type DiskStore struct {
	files   filesystem.FileSystem
	mu      sync.Mutex
	seq     map[int]int64
	keeping map[string]*sync.Mutex // by name of a small file
	settled atomic.Bool

	writing sync.RWMutex
	closed  bool
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
		if strings.HasSuffix(name, asideSuffix) {
			_ = files.Remove(name)
		}
	}
	return &DiskStore{files: files, seq: map[int]int64{}, keeping: map[string]*sync.Mutex{}}, nil
}

// Close waits for the writes under way; later ones are refused.
func (d *DiskStore) Close() {
	d.writing.Lock()
	d.closed = true
	d.writing.Unlock()
}

// Identity reads the identity; one that is damaged or void counts as none.
func (d *DiskStore) Identity() (string, bool, error) {
	b, err := d.read(identityFile)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, ErrDamaged):
		return "", false, nil
	case err != nil:
		return "", false, err
	}
	return string(b), true, nil
}

// Empty tells whether there is no file but those that were left aside.
func (d *DiskStore) Empty() (bool, error) {
	names, err := d.files.List()
	if err != nil {
		return false, errors.Wrap(ErrStore, err.Error())
	}
	for _, name := range names {
		if !strings.HasSuffix(name, asideSuffix) {
			return false, nil
		}
	}
	return true, nil
}

// Renew voids the identity, then drops the votes, then keeps the new identity. Ended
// in between it begins again at the next start, as there is no identity by then.
func (d *DiskStore) Renew(id string) error {
	empty, err := d.Empty()
	if err != nil {
		return err
	}
	if !empty {
		err = d.Keep(identityFile, nil)
	}
	if err != nil {
		return err
	}
	for part := range Parts {
		if err := d.dropVotes(part); err != nil {
			return err
		}
	}
	if err := d.syncNames(); err != nil {
		return err
	}
	return d.Keep(identityFile, []byte(id))
}

func (d *DiskStore) dropVotes(part int) error {
	rec, ok, err := d.Load(part)
	switch {
	case errors.Is(err, ErrDamaged):
		return d.discard(part)
	case err != nil || !ok || rec.Promised == messages.Ballot{} && !rec.HasAccepted:
		return err
	}
	return d.Save(part, withoutVotes(rec))
}

// discard removes all files of a part.
func (d *DiskStore) discard(part int) error {
	list, err := d.versions(part)
	if err != nil {
		return err
	}
	for _, v := range list {
		if err := d.files.Remove(v.name); err != nil {
			return errors.Wrap(ErrStore, err.Error())
		}
	}
	return nil
}

// Settle syncs the folder once: a process that was killed may have left a name
// that is there and would be gone after a loss of power.
func (d *DiskStore) Settle() error {
	if d.settled.Load() {
		return nil
	}
	return d.syncNames()
}

func (d *DiskStore) syncNames() error {
	if err := d.files.Sync(); err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	d.settled.Store(true)
	return nil
}

// Note reads a file that Keep wrote; a damaged one counts as none.
func (d *DiskStore) Note(name string) ([]byte, bool) {
	b, err := d.read(name)
	return b, err == nil
}

// Keep makes a small file durable under a name, in place of what it held. Those
// who keep under one name go one after the other, as they write aside under one
// name too.
func (d *DiskStore) Keep(name string, body []byte) error {
	d.mu.Lock()
	if d.keeping[name] == nil {
		d.keeping[name] = &sync.Mutex{}
	}
	turn := d.keeping[name]
	d.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	return d.write(name, sealed(body))
}

func sealed(body []byte) []byte {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+checksumSize), crc32.ChecksumIEEE(body))
	return append(out, body...)
}

// read gives the body of a file. The error wraps ErrDamaged where the file is not
// what was written, fs.ErrNotExist where there is none, and else ErrStore.
func (d *DiskStore) read(name string) ([]byte, error) {
	b, err := d.files.Read(name)
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

func (d *DiskStore) write(name string, body []byte) error {
	d.writing.RLock()
	defer d.writing.RUnlock()
	if d.closed {
		return errors.Wrap(ErrStore, "closed")
	}
	aside := name + asideSuffix
	if err := d.writeAside(aside, body); err != nil {
		_ = d.files.Remove(aside)
		return errors.Wrap(ErrStore, err.Error())
	}
	if err := d.files.Rename(aside, name); err != nil {
		_ = d.files.Remove(aside)
		return errors.Wrap(ErrStore, err.Error())
	}
	return d.syncNames()
}

func (d *DiskStore) writeAside(aside string, body []byte) error {
	f, err := d.files.Create(aside)
	if errors.Is(err, fs.ErrExist) {
		if err := d.files.Remove(aside); err != nil {
			return err
		}
		f, err = d.files.Create(aside)
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

type version struct {
	seq  int64
	name string
}

// versions lists the files of a part, the newest first.
func (d *DiskStore) versions(part int) ([]version, error) {
	names, err := d.files.List()
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	prefix := fmt.Sprintf("part-%d-", part)
	var out []version
	for _, name := range names {
		rest, isPart := strings.CutPrefix(name, prefix)
		number, isRecord := strings.CutSuffix(rest, recordSuffix)
		if !isPart || !isRecord {
			continue
		}
		if seq, err := strconv.ParseInt(number, 10, 64); err == nil {
			out = append(out, version{seq, name})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq > out[j].seq })
	return out, nil
}

// Load gives the newest record of a part. Its file is the only one that counts:
// where it is damaged, the one before it would be a member that has forgotten.
func (d *DiskStore) Load(part int) (messages.Record, bool, error) {
	var rec messages.Record
	d.mu.Lock()
	defer d.mu.Unlock()
	list, err := d.versions(part)
	if err != nil || len(list) == 0 {
		return rec, false, err
	}
	d.seq[part] = max(d.seq[part], list[0].seq)
	b, err := d.read(list[0].name)
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
func (d *DiskStore) Save(part int, rec messages.Record) error {
	b, err := rec.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	d.mu.Lock()
	d.seq[part]++
	seq := d.seq[part]
	d.mu.Unlock()
	name := fmt.Sprintf("part-%d-%d%s", part, seq, recordSuffix)
	if err := d.write(name, sealed(b)); err != nil {
		_ = d.files.Remove(name) // it may have got its name and not outlast a loss of power
		return err
	}
	old, err := d.versions(part)
	if err != nil {
		return nil
	}
	for _, v := range old {
		if v.seq < seq {
			_ = d.files.Remove(v.name)
		}
	}
	return nil
}
