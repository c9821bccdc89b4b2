package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"io/fs"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
)

const (
	temporarySuffix = ".new"
	checksumSize    = 4 // bytes of the CRC-32 in front of a file's content
)

// atomicFiles replaces files of one directory atomically: it writes and syncs a temporary
// file, renames it and syncs the directory. A file is complete and synced before it is
// renamed to its final name. So a torn write leaves only a temporary file, which is
// ignored, and a file under a final name that fails its checksum was damaged after it was
// durable. It is safe for concurrent use.
type atomicFiles struct {
	files           filesystem.FileSystem
	directorySynced atomic.Bool // file names found at startup are durable

	closeLock sync.RWMutex // held for reading by each write; guards closed
	closed    bool

	mu    sync.Mutex             // guards locks
	locks map[string]*sync.Mutex // by file name: held by replace
}

// openAtomicFiles removes the temporary files of interrupted writes.
func openAtomicFiles(files filesystem.FileSystem) (*atomicFiles, error) {
	names, err := files.List()
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = files.Remove(name)
		}
	}
	return &atomicFiles{files: files, locks: map[string]*sync.Mutex{}}, nil
}

// close waits for the writes in progress; later ones fail.
func (a *atomicFiles) close() {
	a.closeLock.Lock()
	a.closed = true
	a.closeLock.Unlock()
}

// list returns the names of all files, temporary ones included.
func (a *atomicFiles) list() ([]string, error) {
	names, err := a.files.List()
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return names, nil
}

// read returns the content of a file. The error wraps ErrDamaged if the file can't be read
// or fails its checksum, fs.ErrNotExist if it does not exist, and ErrStore otherwise.
func (a *atomicFiles) read(name string) ([]byte, error) {
	b, err := a.files.Read(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, err
	case errors.Is(err, syscall.EIO):
		return nil, errors.Wrapf(ErrDamaged, "%s: %s", name, err)
	case err != nil:
		return nil, errors.Wrap(ErrStore, err.Error())
	case len(b) <= checksumSize || crc32.ChecksumIEEE(b[checksumSize:]) != binary.BigEndian.Uint32(b):
		return nil, errors.Wrapf(ErrDamaged, "%s: checksum mismatch", name)
	}
	return b[checksumSize:], nil
}

// replace writes a file that several goroutines may write concurrently. It serializes
// them, because they use the same temporary file.
func (a *atomicFiles) replace(name string, content []byte) error {
	lock := a.fileLock(name)
	lock.Lock()
	defer lock.Unlock()
	return a.write(name, content)
}

func (a *atomicFiles) fileLock(name string) *sync.Mutex {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.locks[name] == nil {
		a.locks[name] = &sync.Mutex{}
	}
	return a.locks[name]
}

// write returns once the content is durable under the name. If it fails, the file may
// have the old or the new content, and the temporary file is removed if possible.
func (a *atomicFiles) write(name string, content []byte) error {
	a.closeLock.RLock()
	defer a.closeLock.RUnlock()
	if a.closed {
		return errors.Wrap(ErrStore, "closed")
	}
	temporary := name + temporarySuffix
	if err := a.writeTemporary(temporary, withChecksum(content)); err != nil {
		_ = a.files.Remove(temporary)
		return errors.Wrap(ErrStore, err.Error())
	}
	if err := a.files.Rename(temporary, name); err != nil {
		_ = a.files.Remove(temporary)
		return errors.Wrap(ErrStore, err.Error())
	}
	return a.syncDirectory()
}

// writeTemporary writes and syncs a temporary file, and replaces one left by an earlier
// write.
func (a *atomicFiles) writeTemporary(name string, encoded []byte) error {
	f, err := a.files.Create(name)
	if errors.Is(err, fs.ErrExist) {
		if err := a.files.Remove(name); err != nil {
			return err
		}
		f, err = a.files.Create(name)
	}
	if err != nil {
		return err
	}
	_, err = f.Write(encoded)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func withChecksum(content []byte) []byte {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(content)+checksumSize), crc32.ChecksumIEEE(content))
	return append(out, content...)
}

func (a *atomicFiles) remove(name string) error {
	if err := a.files.Remove(name); err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	return nil
}

// syncDirectoryOnce syncs the directory unless this process has done so: an earlier
// process may have been killed between a rename and the sync of the directory, and a loss
// of power would undo that rename.
func (a *atomicFiles) syncDirectoryOnce() error {
	if a.directorySynced.Load() {
		return nil
	}
	return a.syncDirectory()
}

func (a *atomicFiles) syncDirectory() error {
	if err := a.files.Sync(); err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	a.directorySynced.Store(true)
	return nil
}
