// Package filesystem is the interface between the stores and the disk: a directory of
// files that are written once, synced, renamed and removed, and the sync of the directory
// itself. OS implements it by the operating system; internal/simulation/disk is an
// implementation in memory that loses power and fails writes.
//
// What File.Sync has written and FileSystem.Sync has named survives a loss of power;
// anything else may be lost or not.
package filesystem

import (
	"io"
	"os"
	"path/filepath"
)

// FileSystem is one directory of files. Names are names of files in it, without a path.
type FileSystem interface {
	// List gives the names of all files.
	List() ([]string, error)
	// Read gives the content of a file; the error wraps fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create makes a new, empty file; the error wraps fs.ErrExist if there is one.
	Create(name string) (File, error)
	// Rename gives a file another name, and replaces a file of that name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// OS is a directory of the operating system.
type OS struct{ dir string }

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Open uses dir, which is made if it is missing.
func Open(dir string) (OS, error) {
	return OS{dir: dir}, os.MkdirAll(dir, directoryMode)
}

// List gives the names of all files.
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

// Read gives the content of a file.
func (o OS) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(o.dir, name)) }

// Create makes a new, empty file.
func (o OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(o.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Rename gives a file another name.
func (o OS) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.dir, from), filepath.Join(o.dir, to))
}

// Remove removes a file.
func (o OS) Remove(name string) error { return os.Remove(filepath.Join(o.dir, name)) }

// Sync syncs the directory.
func (o OS) Sync() error {
	directory, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
