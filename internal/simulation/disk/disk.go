// Package disk is a filesystem.FileSystem in memory that loses power as a real disk
// does.
//
// Of a file's bytes only those before its last sync are sure; what was written later
// is there, missing or torn. Each name that was created, renamed or removed since the
// directory was last synced is kept or lost by itself. A disk can be full, and it can
// stop after any number of further operations, as a process that is killed, or a
// machine that loses power, in the middle of a write. What is kept and what is lost is
// drawn from the seed given to New.
//
// It has no clock: a slow or stalled disk is one whose operations the caller delays by
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

// content is a file apart from its names.
type content struct {
	bytes  []byte
	synced int // how many of them are sure to outlast a loss of power
}

// Disk is the simulated folder. It is safe for concurrent use.
type Disk struct {
	// OnOperation, where set, is called before each operation, without any lock.
	OnOperation func(operation string)

	mu      sync.Mutex
	rnd     *rand.Rand
	names   map[string]*content // as a running process sees them
	durable map[string]*content // as of the last sync of the folder
	full    bool
	steps   int // operations until the process ends; negative: it goes on
	life    int // files opened in an earlier life write nothing
	writes  int64
}

var _ filesystem.FileSystem = (*Disk)(nil)

// New makes an empty disk whose losses are drawn from the seed.
func New(seed uint64) *Disk {
	return &Disk{rnd: rand.New(rand.NewPCG(seed, 0xd15c)), names: map[string]*content{}, durable: map[string]*content{}, steps: -1}
}

// SetFull makes the disk refuse every write, or take them again. Names cost
// nothing: a new file is made and stays empty.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// StopAfter ends the process after so many further operations: from then on each
// one fails with ErrStopped, until Restart or LosePower.
func (d *Disk) StopAfter(operations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps = operations
}

// Restart is a new process on the same disk, with all files as they were.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps = -1
	d.life++
}

// LosePower takes away what was not synced, by lot, and starts anew. What is
// found after it is durable.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.unsettled() {
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
	d.durable = copied(d.names)
	d.steps = -1
	d.life++
}

// unsettled gives, in order, the names that are or were in the folder.
func (d *Disk) unsettled() []string {
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

// loseBytes tears files: each keeps what was synced and a part of the rest. A
// file that two names were left for becomes two files.
func (d *Disk) loseBytes() {
	for _, name := range d.sorted() {
		old := d.names[name]
		kept := old.synced + d.rnd.IntN(len(old.bytes)-old.synced+1)
		d.names[name] = &content{bytes: append([]byte{}, old.bytes[:kept]...), synced: kept}
	}
}

// Lose takes the whole disk away: an empty one stands in its place.
func (d *Disk) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = map[string]*content{}, map[string]*content{}
	d.steps = -1
	d.life++
}

// Damage changes one byte of a file, durable or not, and tells whether it could.
func (d *Disk) Damage(name string) bool {
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

// Bytes is what all files hold.
func (d *Disk) Bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.names {
		n += len(c.bytes)
	}
	return n
}

// Written is how many bytes have been written in all.
func (d *Disk) Written() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

// operate starts an operation; the lock is held where it gives no error.
func (d *Disk) operate(name string) error {
	if d.OnOperation != nil {
		d.OnOperation(name)
	}
	d.mu.Lock()
	if d.steps == 0 {
		d.mu.Unlock()
		return ErrStopped
	}
	if d.steps > 0 {
		d.steps--
	}
	return nil
}

func (d *Disk) sorted() []string {
	list := make([]string, 0, len(d.names))
	for name := range d.names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// List gives the names of all files.
func (d *Disk) List() ([]string, error) {
	if err := d.operate("list"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	return d.sorted(), nil
}

// Read gives the whole of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.operate("read"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	c := d.names[name]
	if c == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return append([]byte{}, c.bytes...), nil
}

// Create makes a new, empty file.
func (d *Disk) Create(name string) (filesystem.File, error) {
	if err := d.operate("create"); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	if d.names[name] != nil {
		return nil, errors.Wrap(fs.ErrExist, name)
	}
	c := &content{}
	d.names[name] = c
	return &file{disk: d, content: c, life: d.life}, nil
}

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	if err := d.operate("rename"); err != nil {
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

// Remove takes a name away.
func (d *Disk) Remove(name string) error {
	if err := d.operate("remove"); err != nil {
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
	if err := d.operate("sync folder"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	d.durable = copied(d.names)
	return nil
}

func copied(m map[string]*content) map[string]*content {
	out := make(map[string]*content, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// file is a file that one process has open.
type file struct {
	disk    *Disk
	content *content
	life    int
}

// Write appends. On a full disk, or where the process ends, a part may be taken.
func (f *file) Write(b []byte) (int, error) {
	d := f.disk
	if err := d.operate("write"); err != nil {
		return f.part(b), err
	}
	defer d.mu.Unlock()
	if f.life != d.life {
		return 0, ErrStopped
	}
	if d.full {
		return 0, ErrFull
	}
	f.content.bytes = append(f.content.bytes, b...)
	d.writes += int64(len(b))
	return len(b), nil
}

// part is a write that the end of the process cuts short.
func (f *file) part(b []byte) int {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.life != d.life {
		return 0
	}
	n := d.rnd.IntN(len(b) + 1)
	f.content.bytes = append(f.content.bytes, b[:n]...)
	return n
}

// Sync makes the bytes durable.
func (f *file) Sync() error {
	d := f.disk
	if err := d.operate("sync"); err != nil {
		return err
	}
	defer d.mu.Unlock()
	if f.life != d.life {
		return ErrStopped
	}
	f.content.synced = len(f.content.bytes)
	return nil
}

// Close ends the writing.
func (f *file) Close() error { return nil }
