package consensus

import (
	"cmp"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/filesystem"
	"beechtide.org/beechtide/internal/messages"
)

const (
	identityFile = "identity"
	recordSuffix = ".rec"
)

// DiskStore is a Store in a directory. The identity is in one file, and each saved record
// in a file of its own, named by register and sequence number. Older files of a register
// are removed once the new one is durable.
type DiskStore struct {
	files *atomicFiles

	mu           sync.Mutex    // guards lastSequence
	lastSequence map[int]int64 // by register: sequence number of the newest record file
}

// NewDiskStore opens a store in the directory dir, which is created if it is missing.
func NewDiskStore(dir string) (*DiskStore, error) {
	files, err := filesystem.Open(dir)
	if err != nil {
		return nil, errors.Wrap(ErrStore, err.Error())
	}
	return OpenDiskStore(files)
}

// OpenDiskStore opens a store in a directory, and removes the temporary files of
// interrupted writes.
func OpenDiskStore(files filesystem.FileSystem) (*DiskStore, error) {
	opened, err := openAtomicFiles(files)
	if err != nil {
		return nil, err
	}
	return &DiskStore{files: opened, lastSequence: map[int]int64{}}, nil
}

// Close waits for the writes in progress; later ones fail.
func (d *DiskStore) Close() { d.files.close() }

// Identity reads the identity; a damaged or empty file counts as missing.
func (d *DiskStore) Identity() (string, bool, error) {
	content, err := d.files.read(identityFile)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, ErrDamaged):
		return "", false, nil
	case err != nil:
		return "", false, err
	}
	return string(content), true, nil
}

// Empty reports whether the directory has no files other than temporary ones.
func (d *DiskStore) Empty() (bool, error) {
	names, err := d.files.list()
	if err != nil {
		return false, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			return false, nil
		}
	}
	return true, nil
}

// ResetIdentity empties the identity file, erases the votes, and then writes the new
// identity. If it is interrupted, no identity is stored, and the next start runs it again.
func (d *DiskStore) ResetIdentity(id string) error {
	empty, err := d.Empty()
	if err != nil {
		return err
	}
	if !empty {
		if err := d.WriteFile(identityFile, nil); err != nil {
			return err
		}
	}
	for index := range RegisterCount {
		if err := d.eraseVotes(index); err != nil {
			return err
		}
	}
	if err := d.files.syncDirectory(); err != nil {
		return err
	}
	return d.WriteFile(identityFile, []byte(id))
}

// eraseVotes saves a register's record without its votes, or removes it if it is damaged.
func (d *DiskStore) eraseVotes(index int) error {
	record, ok, err := d.Load(index)
	switch {
	case errors.Is(err, ErrDamaged):
		return d.removeRecords(index)
	case err != nil || !ok || record.Promised == messages.Ballot{} && !record.HasAccepted:
		return err
	}
	return d.Save(index, withoutVotes(record))
}

func (d *DiskStore) removeRecords(index int) error {
	files, err := d.recordFiles(index)
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := d.files.remove(file.name); err != nil {
			return err
		}
	}
	return nil
}

// Sync syncs the directory once per process: an earlier process may have been killed
// after a rename that would not survive a loss of power yet.
func (d *DiskStore) Sync() error { return d.files.syncDirectoryOnce() }

// ReadFile reads a file that Keep has written. It returns false if that is missing or damaged.
func (d *DiskStore) ReadFile(name string) ([]byte, bool) {
	content, err := d.files.read(name)
	return content, err == nil
}

// WriteFile atomically replaces the content of a small file, and returns once it is durable.
func (d *DiskStore) WriteFile(name string, content []byte) error {
	return d.files.replace(name, content)
}

// recordFile is a file with a record of a register.
type recordFile struct {
	sequence int64
	name     string
}

func recordPrefix(index int) string { return fmt.Sprintf("part-%d-", index) }

// recordFiles lists the record files of a register, the newest first.
func (d *DiskStore) recordFiles(index int) ([]recordFile, error) {
	names, err := d.files.list()
	if err != nil {
		return nil, err
	}
	var out []recordFile
	for _, name := range names {
		rest, isPart := strings.CutPrefix(name, recordPrefix(index))
		number, isRecord := strings.CutSuffix(rest, recordSuffix)
		if !isPart || !isRecord {
			continue
		}
		if sequence, err := strconv.ParseInt(number, 10, 64); err == nil {
			out = append(out, recordFile{sequence, name})
		}
	}
	slices.SortFunc(out, func(a, b recordFile) int { return cmp.Compare(b.sequence, a.sequence) })
	return out, nil
}

// Load returns the newest record of a register. If its file is damaged, it does not fall
// back to an older file, which lacks votes that the member has given since.
func (d *DiskStore) Load(index int) (messages.Record, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	files, err := d.recordFiles(index)
	if err != nil || len(files) == 0 {
		return messages.Record{}, false, err
	}
	newest := files[0]
	d.lastSequence[index] = max(d.lastSequence[index], newest.sequence)
	content, err := d.files.read(newest.name)
	if errors.Is(err, fs.ErrNotExist) {
		err = errors.Wrap(ErrStore, err.Error())
	}
	if err != nil {
		return messages.Record{}, false, err
	}
	var record messages.Record
	if _, err := record.UnmarshalMsg(content); err != nil {
		return messages.Record{}, false, errors.Wrapf(ErrStore, "%s: checksum matches, but this version can't decode the record: %s", newest.name, err)
	}
	return record, true, nil
}

// Save writes a record to a new file, and removes the older files of the register
// once that is durable.
func (d *DiskStore) Save(index int, record messages.Record) error {
	encoded, err := record.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	sequence := d.nextSequence(index)
	name := fmt.Sprintf("%s%d%s", recordPrefix(index), sequence, recordSuffix)
	if err := d.files.write(name, encoded); err != nil {
		_ = d.files.remove(name) // it may have been renamed without being durable
		return err
	}
	files, err := d.recordFiles(index)
	if err != nil {
		return nil // the record is durable; the next Save removes the older files
	}
	for _, file := range files {
		if file.sequence < sequence {
			_ = d.files.remove(file.name)
		}
	}
	return nil
}

func (d *DiskStore) nextSequence(index int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSequence[index]++
	return d.lastSequence[index]
}
