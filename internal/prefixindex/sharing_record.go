package prefixindex

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// sharedRecordVersion is the first byte of a record of SharedKeys; the keys follow, 8 bytes each.
const sharedRecordVersion = 1

const keyBytes = 8

// ErrSharedRecord means that a record of SharedKeys cannot be read: its version is unknown, or it
// was cut short.
var ErrSharedRecord = errors.New("prefixindex: not a record of shared keys")

// Changed reports whether keys have been added since the last Record, or generations have changed.
func (s *SharedKeys) Changed() bool { return s.changed }

// Record returns the keys for a file. At most 2 * maxSharedKeys keys are recorded, the newer ones
// last, so that they stay longest where the record is read.
func (s *SharedKeys) Record() []byte {
	s.changed = false
	record := make([]byte, 1, 1+keyBytes*(len(s.newer)+len(s.older)))
	record[0] = sharedRecordVersion
	for _, generation := range []map[uint64]struct{}{s.older, s.newer} {
		for key := range generation {
			record = binary.LittleEndian.AppendUint64(record, key)
		}
	}
	return record
}

// Restore adds the keys of a record.
func (s *SharedKeys) Restore(record []byte) error {
	if len(record) == 0 || record[0] != sharedRecordVersion || (len(record)-1)%keyBytes != 0 {
		return ErrSharedRecord
	}
	for keys := record[1:]; len(keys) > 0; keys = keys[keyBytes:] {
		s.add(binary.LittleEndian.Uint64(keys))
	}
	s.changed = false
	return nil
}
