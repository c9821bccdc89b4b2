// Package filesystem is the little that the stores ask of a disk: files that are
// written once, synced, renamed and removed, and folders that are synced. OS is
// the machine's own; internal/simulation/disk is one in memory that loses power.
package filesystem

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem is one folder of files and what may be done to it. Names are plain
// names inside that folder.
type FileSystem interface {
	// List gives the names of all files.
	List() ([]string, error)
	// Read gives the whole of a file; the error wraps fs.ErrNotExist where there is none.
	Read(name string) ([]byte, error)
	// Create makes a new, empty file; the error wraps fs.ErrExist where there is one.
	Create(name string) (File, error)
	// Rename gives a file another name, in place of what that name meant.
	Rename(from, to string) error
	// Remove takes a name away.
	Remove(name string) error
	// Sync makes durable which names there are and what they mean.
	Sync() error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync makes durable what has been written.
	Sync() error
}

// OS is a folder of the machine's own file system.
type OS struct{ dir string }

// Open uses dir, which is made if it is missing.
func Open(dir string) (OS, error) {
	return OS{dir: dir}, os.MkdirAll(dir, 0o755)
}

// List gives the names of all files.
func (o OS) List() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read gives the whole of a file.
func (o OS) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(o.dir, name)) }

// Create makes a new, empty file.
func (o OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(o.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

// Rename gives a file another name.
func (o OS) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.dir, from), filepath.Join(o.dir, to))
}

// Remove takes a name away.
func (o OS) Remove(name string) error { return os.Remove(filepath.Join(o.dir, name)) }

// Sync syncs the folder.
func (o OS) Sync() error {
	f, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
