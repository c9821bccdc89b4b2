package prefixindex

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// sharedRecordVersion is the first byte of a record of SharedKeys; the keys follow, 8 bytes each.
const sharedRecordVersion = 1

const keyBytes = 8

// ErrInvalidSharedRecord means that a record of SharedKeys cannot be decoded: its version is
// unknown or it is truncated.
var ErrInvalidSharedRecord = errors.New("prefixindex: decode record of shared keys: unknown version or truncated")

// Changed reports whether keys have been added to the newer generation since the last Record.
func (s *SharedKeys) Changed() bool { return s.changed }

// Record encodes the keys for a file: at most 2 * maxSharedKeys, the newer generation last, so
// that Restore adds it last and its keys are retained longest.
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

// Restore adds the keys of a record that Record has encoded.
func (s *SharedKeys) Restore(record []byte) error {
	if len(record) == 0 || record[0] != sharedRecordVersion || (len(record)-1)%keyBytes != 0 {
		return ErrInvalidSharedRecord
	}
	for keys := record[1:]; len(keys) > 0; keys = keys[keyBytes:] {
		s.add(binary.LittleEndian.Uint64(keys))
	}
	s.changed = false
	return nil
}
