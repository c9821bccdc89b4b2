// Model of a disk: durable and merely visible content, stalls, full disks, loss of
// power and loss of the whole disk.

package simulation

import "github.com/pkg/errors"

// ErrDisk is the error of a write to a full disk.
var ErrDisk = errors.New("simulation: write failed: the disk is full")

// file is the content under one name. Each write replaces the whole content. A loss of
// power loses or keeps each unsynced write at random.
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

// write is a queued write or sync.
type write struct {
	name    string
	content []byte
	done    func(error)
}

// Storage is the disk of one machine.
type Storage struct {
	kernel       *Kernel
	files        map[string]*file
	queue        []write
	busy         bool
	generation   int64 // incremented when the writes in progress are aborted
	Stalled      bool
	Full         bool
	ExtraDelayUs int64
}

// NewStorage returns an empty disk.
func NewStorage(k *Kernel) *Storage { return &Storage{kernel: k, files: map[string]*file{}} }

// Read returns the content that a reader sees, synced or not.
func (s *Storage) Read(name string) ([]byte, bool) {
	f := s.files[name]
	if f == nil || f.visible() == nil {
		return nil, false
	}
	return f.visible(), true
}

// Durable returns the content that is certain to survive a loss of power.
func (s *Storage) Durable(name string) ([]byte, bool) {
	f := s.files[name]
	if f == nil || f.durable == nil {
		return nil, false
	}
	return f.durable, true
}

// Write replaces a file and calls done once that is durable or has failed.
func (s *Storage) Write(name string, content []byte, done func(error)) {
	s.queue = append(s.queue, write{name, content, done})
	s.startNext()
}

// Sync makes the visible content of all files durable and calls done once it is, or once that has failed.
func (s *Storage) Sync(done func(error)) {
	s.queue = append(s.queue, write{name: allFiles, done: done})
	s.startNext()
}

// allFiles is the name of a queued sync, which applies to all files.
const allFiles = ""

// syncFiles makes the visible content of all files durable.
func (s *Storage) syncFiles() {
	for _, f := range s.files {
		f.durable, f.unsynced = f.visible(), nil
	}
}

// Resume ends a stall and continues with the queued writes.
func (s *Storage) Resume() {
	s.Stalled = false
	s.startNext()
}

func (s *Storage) startNext() {
	if s.busy || s.Stalled || len(s.queue) == 0 {
		return
	}
	s.busy = true
	generation := s.generation
	s.kernel.After(s.kernel.Between(100, 3*Millisecond)+s.ExtraDelayUs, func() { s.completeWrite(generation) })
}

// completeWrite completes the write at the head of the queue.
func (s *Storage) completeWrite(generation int64) {
	if generation != s.generation {
		return
	}
	s.busy = false
	if s.Stalled {
		return
	}
	w := s.queue[0]
	s.queue = s.queue[1:]
	switch {
	case s.Full:
		w.done(ErrDisk)
	case w.name == allFiles:
		s.syncFiles()
		w.done(nil)
	default:
		s.files[w.name] = &file{durable: w.content}
		w.done(nil)
	}
	s.startNext()
}

// Kill aborts the queued writes, as the end of their process does. Each of them may
// have reached its rename; then its content is visible but not synced.
func (s *Storage) Kill() {
	for _, w := range s.queue {
		if s.Full || w.name == allFiles || !s.kernel.Chance(500) {
			continue
		}
		f := s.files[w.name]
		if f == nil {
			f = &file{}
			s.files[w.name] = f
		}
		f.unsynced = append(f.unsynced, w.content)
	}
	s.queue, s.busy = nil, false
	s.generation++
}

// LosePower aborts the queued writes and loses some of the unsynced content.
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

// Wipe replaces the disk by an empty one.
func (s *Storage) Wipe() {
	s.Kill()
	s.files = map[string]*file{}
	s.Stalled, s.Full, s.ExtraDelayUs = false, false, 0
}
