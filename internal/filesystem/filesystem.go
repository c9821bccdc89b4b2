// Package filesystem defines the interface between the stores and the disk: a directory of
// files that are written once, synced, renamed and removed, and the sync of the directory
// itself. OS implements it with the operating system; internal/simulation/disk implements
// it in memory and simulates power loss and failed writes.
//
// Content survives a power loss once File.Sync has returned, and the names of files once
// FileSystem.Sync has returned; anything else may be lost.
package filesystem

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem is one directory of files. Names are file names in it, without a path.
type FileSystem interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file; the error wraps fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create creates an empty file; the error wraps fs.ErrExist if there is one already.
	Create(name string) (File, error)
	// Rename renames a file and replaces any file that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content written so far durable.
	Sync() error
}

// OS is a FileSystem backed by a directory of the operating system.
type OS struct{ dir string }

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Open returns the file system of the directory dir and creates dir if it is missing.
func Open(dir string) (OS, error) {
	return OS{dir: dir}, os.MkdirAll(dir, directoryMode)
}

// List returns the names of all files.
func (o OS) List() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (o OS) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(o.dir, name)) }

// Create creates an empty file.
func (o OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(o.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Rename renames a file and replaces any file that has the new name.
func (o OS) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.dir, from), filepath.Join(o.dir, to))
}

// Remove removes a file.
func (o OS) Remove(name string) error { return os.Remove(filepath.Join(o.dir, name)) }

// Sync syncs the directory, which makes creations, renames and removals durable.
func (o OS) Sync() error {
	directory, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
