// Disks: what is durable, what is only visible, stalls, full disks, loss of
// power and loss of the whole disk.

package simulation

import "github.com/pkg/errors"

// ErrDisk is why a write failed.
var ErrDisk = errors.New("simulation: the disk refuses")

// file is one name on a disk. Each write replaces the whole content; those that
// were not synced are lost one by one when the power goes.
type file struct {
	durable  []byte
	unsynced [][]byte
}

func (f *file) visible() []byte {
	if len(f.unsynced) > 0 {
		return f.unsynced[len(f.unsynced)-1]
	}
	return f.durable
}

// write is one that waits for the disk.
type write struct {
	name    string
	content []byte
	done    func(error)
}

// Storage is the disk of one machine.
type Storage struct {
	kernel  *Kernel
	files   map[string]*file
	waiting []write
	busy    bool
	era     int64 // rises when writes under way are cut off
	Stalled bool
	Full    bool
	SlowUs  int64
}

// NewStorage is an empty disk.
func NewStorage(k *Kernel) *Storage { return &Storage{kernel: k, files: map[string]*file{}} }

// Read gives what a reader sees, synced or not.
func (s *Storage) Read(name string) ([]byte, bool) {
	f := s.files[name]
	if f == nil || f.visible() == nil {
		return nil, false
	}
	return f.visible(), true
}

// Durable gives what a loss of power leaves for certain.
func (s *Storage) Durable(name string) ([]byte, bool) {
	f := s.files[name]
	if f == nil || f.durable == nil {
		return nil, false
	}
	return f.durable, true
}

// Write replaces a file and calls done when that is durable, or refused.
func (s *Storage) Write(name string, content []byte, done func(error)) {
	s.waiting = append(s.waiting, write{name, content, done})
	s.work()
}

// Sync makes durable what readers see, and calls done when it is, or refused.
func (s *Storage) Sync(done func(error)) {
	s.waiting = append(s.waiting, write{name: everyFile, done: done})
	s.work()
}

// everyFile is the name under which a write stands that syncs what is there.
const everyFile = ""

// syncFiles makes durable what readers see.
func (s *Storage) syncFiles() {
	for _, f := range s.files {
		f.durable, f.unsynced = f.visible(), nil
	}
}

// Resume goes on after a stall.
func (s *Storage) Resume() {
	s.Stalled = false
	s.work()
}

func (s *Storage) work() {
	if s.busy || s.Stalled || len(s.waiting) == 0 {
		return
	}
	s.busy = true
	era := s.era
	s.kernel.After(s.kernel.Between(100, 3*Millisecond)+s.SlowUs, func() { s.sync(era) })
}

// sync ends the write at the head of the queue.
func (s *Storage) sync(era int64) {
	if era != s.era {
		return
	}
	s.busy = false
	if s.Stalled {
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	switch {
	case s.Full:
		w.done(ErrDisk)
	case w.name == everyFile:
		s.syncFiles()
		w.done(nil)
	default:
		s.files[w.name] = &file{durable: w.content}
		w.done(nil)
	}
	s.work()
}

// Kill cuts off the writes under way, as the end of their process does. Each of
// them may have got as far as the rename, and then readers see it.
func (s *Storage) Kill() {
	for _, w := range s.waiting {
		if s.Full || w.name == everyFile || !s.kernel.Chance(500) {
			continue
		}
		f := s.files[w.name]
		if f == nil {
			f = &file{}
			s.files[w.name] = f
		}
		f.unsynced = append(f.unsynced, w.content)
	}
	s.waiting, s.busy = nil, false
	s.era++
}

// LosePower cuts off the writes under way and loses some of what was not synced.
func (s *Storage) LosePower() {
	s.Kill()
	for _, name := range sortedKeys(s.files) {
		f := s.files[name]
		for _, content := range f.unsynced {
			if s.kernel.Chance(500) {
				f.durable = content
			}
		}
		f.unsynced = nil
		if f.durable == nil {
			delete(s.files, name)
		}
	}
}

// Wipe loses the disk; an empty one takes its place.
func (s *Storage) Wipe() {
	s.Kill()
	s.files = map[string]*file{}
	s.Stalled, s.Full, s.SlowUs = false, false, 0
}
