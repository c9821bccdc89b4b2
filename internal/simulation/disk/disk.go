// Package disk implements filesystem.FileSystem in memory and simulates the losses of a
// real disk on a power failure.
//
// Only the bytes of a file before its last sync are guaranteed to survive; later writes
// may survive, be lost or be torn. Each name that was created, renamed or removed since the
// last sync of the directory is kept or lost independently. A disk can be full, and it can
// fail after any number of further operations, like a process that is killed, or a
// machine that loses power, in the middle of a write. The seed given to New determines
// which data are lost.
//
// It has no clock: to simulate a slow or stalled disk, the caller delays operations in
// OnOperation. The package starts no goroutine.
package disk

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
)

// Errors of the simulated disk.
var (
	ErrFull    = errors.New("disk: no space left")
	ErrStopped = errors.New("disk: the process has ended")
)

// content is the data of a file, independent of its names.
type content struct {
	bytes  []byte
	synced int // number of bytes guaranteed to survive a power loss
}

// Disk is the simulated folder. It is safe for concurrent use.
type Disk struct {
	// OnOperation, if set, is called before each operation, without any lock held.
	OnOperation func(operation string)

	mu             sync.Mutex
	rnd            *rand.Rand
	names          map[string]*content // visible to the running process
	durable        map[string]*content // as of the last sync of the folder
	full           bool
	operationsLeft int // operations until the process ends; negative: no limit
	incarnation    int // process incarnation; files opened in an earlier one cannot be written
	bytesWritten   int64
}

var _ filesystem.FileSystem = (*Disk)(nil)

// New returns an empty disk whose losses are drawn from the seed.
func New(seed uint64) *Disk {
	return &Disk{rnd: rand.New(rand.NewPCG(seed, 0xd15c)), names: map[string]*content{}, durable: map[string]*content{}, operationsLeft: -1}
}

// SetFull makes the disk refuse every write, or accept writes again. Names need no space:
// files can be created on a full disk, but stay empty.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// StopAfter ends the process after the given number of further operations. From then on
// each one fails with ErrStopped, until Restart, LosePower or Lose.
func (d *Disk) StopAfter(operations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operationsLeft = operations
}

// Restart starts a new process on the same disk, with all files unchanged.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operationsLeft = -1
	d.incarnation++
}

// LosePower drops a random selection of the data that were not synced, and starts a new
// process. The remaining data are durable.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.allNames() {
		now, was := d.names[name], d.durable[name]
		if now != was && d.rnd.IntN(2) == 0 {
			now = was
		}
		if now == nil {
			delete(d.names, name)
			continue
		}
		d.names[name] = now
	}
	d.loseBytes()
	d.durable = cloneNames(d.names)
	d.operationsLeft = -1
	d.incarnation++
}

// allNames returns, sorted, the current names and those of the last sync of the folder.
func (d *Disk) allNames() []string {
	seen := map[string]bool{}
	for name := range d.names {
		seen[name] = true
	}
	for name := range d.durable {
		seen[name] = true
	}
	list := make([]string, 0, len(seen))
	for name := range seen {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// loseBytes truncates each file at random, not before its synced bytes. A file for which
// two names remain becomes two files.
func (d *Disk) loseBytes() {
	for _, name := range d.sortedNames() {
		old := d.names[name]
		kept := old.synced + d.rnd.IntN(len(old.bytes)-old.synced+1)
		d.names[name] = &content{bytes: append([]byte{}, old.bytes[:kept]...), synced: kept}
	}
}

// Erase replaces the disk by an empty one and starts a new process.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = map[string]*content{}, map[string]*content{}
	d.operationsLeft = -1
	d.incarnation++
}

// CorruptByte changes one random byte of a file, durable or not. It returns false if the file
// is missing or empty.
func (d *Disk) CorruptByte(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.names[name]
	if c == nil || len(c.bytes) == 0 {
		return false
	}
	c.bytes = append([]byte{}, c.bytes...)
	c.bytes[d.rnd.IntN(len(c.bytes))] ^= byte(1 + d.rnd.IntN(255))
	return true
}

// TotalBytes returns the total size of all files.
func (d *Disk) TotalBytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.names {
		n += len(c.bytes)
	}
	return n
}

// BytesWritten returns the number of bytes written since New.
func (d *Disk) BytesWritten() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytesWritten
}

// beginOperation counts an operation. Unless it returns an error, it returns with d.mu
// locked.
func (d *Disk) beginOperation(name string) error {
	if d.OnOperation != nil {
		d.OnOperation(name)
	}
	d.mu.Lock()
	if d.operationsLeft == 0 {
		d.mu.Unlock()
		return ErrStopped
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	return nil
}

func (d *Disk) sortedNames() []string {
	list := make([]string, 0, len(d.names))
	for name := range d.names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// List returns the sorted names of all files.
func (d *Disk) List() ([]string, error) {
	if err := d.beginOperation("list"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	return d.sortedNames(), nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.beginOperation("read"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	c := d.names[name]
	if c == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return append([]byte{}, c.bytes...), nil
}

// Create creates an empty file and opens it for writing.
func (d *Disk) Create(name string) (filesystem.File, error) {
	if err := d.beginOperation("create"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	if d.names[name] != nil {
		return nil, errors.Wrap(fs.ErrExist, name)
	}
	c := &content{}
	d.names[name] = c
	return &file{disk: d, content: c, incarnation: d.incarnation}, nil
}

// Rename renames a file and replaces an existing one of the new name.
func (d *Disk) Rename(from, to string) error {
	if err := d.beginOperation("rename"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	c := d.names[from]
	if c == nil {
		return errors.Wrap(fs.ErrNotExist, from)
	}
	delete(d.names, from)
	d.names[to] = c
	return nil
}

// Remove removes the name of a file.
func (d *Disk) Remove(name string) error {
	if err := d.beginOperation("remove"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	if d.names[name] == nil {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	delete(d.names, name)
	return nil
}

// Sync makes the names durable.
func (d *Disk) Sync() error {
	if err := d.beginOperation("sync folder"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	d.durable = cloneNames(d.names)
	return nil
}

func cloneNames(m map[string]*content) map[string]*content {
	out := make(map[string]*content, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// file is a file opened by one process incarnation.
type file struct {
	disk        *Disk
	content     *content
	incarnation int
}

// Write appends to the file. If the process has ended, a random prefix of b may be
// written.
func (f *file) Write(b []byte) (int, error) {
	d := f.disk
	if err := d.beginOperation("write"); err != nil {
		return f.writePrefix(b), err
	}
	defer d.mu.Unlock()
	if f.incarnation != d.incarnation {
		return 0, ErrStopped
	}
	if d.full {
		return 0, ErrFull
	}
	f.content.bytes = append(f.content.bytes, b...)
	d.bytesWritten += int64(len(b))
	return len(b), nil
}

// writePrefix writes a random prefix of b, like a write interrupted by the end of the
// process.
func (f *file) writePrefix(b []byte) int {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.incarnation != d.incarnation {
		return 0
	}
	n := d.rnd.IntN(len(b) + 1)
	f.content.bytes = append(f.content.bytes, b[:n]...)
	return n
}

// Sync makes the bytes durable.
func (f *file) Sync() error {
	d := f.disk
	if err := d.beginOperation("sync"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	if f.incarnation != d.incarnation {
		return ErrStopped
	}
	f.content.synced = len(f.content.bytes)
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
