// Store keeps the records of a member on disk: one file a version and part,
// written aside, synced, renamed, the folder synced, and only then the older
// ones removed. A file that is torn fails its checksum and the one before it
// counts. MemoryStore serves machines without a disk.
package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// ErrStore is the cause of every error of a store.
var ErrStore = errors.New("consensus: store")

// Store is where a member keeps its identity and its records.
type Store interface {
	Identity(fresh func() string) (string, error)
	Load(part int) (messages.Record, bool, error)
	Save(part int, rec messages.Record) error
}

// DiskStore is a Store in a folder.
type DiskStore struct {
	dir string
	mu  sync.Mutex
	seq map[int]int64

	writing sync.RWMutex
	closed  bool
}

// Close waits for the writes under way; later ones are refused.
func (d *DiskStore) Close() {
	d.writing.Lock()
	d.closed = true
	d.writing.Unlock()
}

// NewDiskStore uses dir, which is made if it is missing.
func NewDiskStore(dir string) (*DiskStore, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return &DiskStore{dir: dir, seq: map[int]int64{}}, nil
}

// Identity reads the identity, or makes and keeps a fresh one.
func (d *DiskStore) Identity(fresh func() string) (string, error) {
	if b, ok := d.Note("identity"); ok {
		return string(b), nil
	}
	id := fresh()
	if err := d.Keep("identity", []byte(id)); err != nil {
		return "", err
	}
	return id, nil
}

// Note reads a file that Keep wrote; a torn one counts as none.
func (d *DiskStore) Note(name string) ([]byte, bool) {
	b, err := os.ReadFile(filepath.Join(d.dir, name))
	if err != nil || len(b) <= 4 || crc32.ChecksumIEEE(b[4:]) != binary.BigEndian.Uint32(b) {
		return nil, false
	}
	return b[4:], true
}

// Keep makes a small file durable under a name, in place of what it held.
func (d *DiskStore) Keep(name string, body []byte) error { return d.write(name, sealed(body)) }

func sealed(body []byte) []byte {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+4), crc32.ChecksumIEEE(body))
	return append(out, body...)
}

func (d *DiskStore) write(name string, body []byte) (err error) {
	d.writing.RLock()
	defer d.writing.RUnlock()
	if d.closed {
		return errors.Wrap(ErrStore, "closed")
	}
	aside := filepath.Join(d.dir, name+".new")
	f, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	_, err = f.Write(body)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(aside, filepath.Join(d.dir, name))
	}
	if err == nil {
		err = syncDir(d.dir)
	}
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	return nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type version struct {
	seq  int64
	name string
}

func (d *DiskStore) versions(part int) ([]version, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	prefix := fmt.Sprintf("part-%d-", part)
	var out []version
	for _, e := range entries {
		rest, ok := strings.CutPrefix(e.Name(), prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSuffix(rest, ".rec"), 10, 64); err == nil && strings.HasSuffix(rest, ".rec") {
			out = append(out, version{n, e.Name()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq > out[j].seq })
	return out, nil
}

// Load gives the newest whole record of a part.
func (d *DiskStore) Load(part int) (messages.Record, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, err := d.versions(part)
	if err != nil {
		return messages.Record{}, false, err
	}
	if len(list) > 0 {
		d.seq[part] = list[0].seq
	}
	for _, v := range list {
		b, err := os.ReadFile(filepath.Join(d.dir, v.name))
		if err != nil || len(b) < 4 || crc32.ChecksumIEEE(b[4:]) != binary.BigEndian.Uint32(b) {
			continue
		}
		var rec messages.Record
		if _, err := rec.UnmarshalMsg(b[4:]); err != nil {
			continue
		}
		return rec, true, nil
	}
	return messages.Record{}, false, nil
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
	if err := d.write(fmt.Sprintf("part-%d-%d.rec", part, seq), sealed(b)); err != nil {
		return err
	}
	old, err := d.versions(part)
	if err != nil {
		return nil
	}
	for _, v := range old {
		if v.seq < seq-1 {
			_ = os.Remove(filepath.Join(d.dir, v.name))
		}
	}
	return nil
}

// MemoryStore is a Store that ends with the process.
type MemoryStore struct {
	mu  sync.Mutex
	rec map[int]messages.Record
	id  string
}

// Identity is fresh with every process.
func (m *MemoryStore) Identity(fresh func() string) (string, error) {
	if m.id == "" {
		m.id = fresh()
	}
	return m.id, nil
}

// Load gives what was saved.
func (m *MemoryStore) Load(part int) (messages.Record, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rec[part]
	return r, ok, nil
}

// Save keeps the record.
func (m *MemoryStore) Save(part int, rec messages.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rec == nil {
		m.rec = map[int]messages.Record{}
	}
	m.rec[part] = rec
	return nil
}
