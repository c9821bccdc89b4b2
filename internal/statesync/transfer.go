// Transfers carry a large value to another node in chunks, so that progress counts and
// not the time that all of it takes. The receiver names version and offset; chunks
// that have arrived stay when a sender stops answering, and another sender of the same
// version resumes from there. The sender keeps the versions that are being fetched, so
// that a transfer that newer versions overtake still ends; the receiver then fetches
// the newest.

package statesync

import "hash/crc32"

// ChunkBytes is the most that one chunk carries; states up to this size take one chunk.
const ChunkBytes = 64 << 10

// Chunk is a part of one version of an encoded state.
type Chunk struct {
	Version, Offset, Total int64
	Sum                    uint32 // CRC-32 (IEEE) of all bytes of the version
	Bytes                  []byte
}

// Transfer is the receiver's end. The zero Transfer has received nothing yet.
type Transfer struct {
	version, total int64
	sum            uint32
	bytes          []byte
}

// Next returns what to request: the version, 0 where nothing has begun, and the offset.
func (t *Transfer) Next() (version, offset int64) { return t.version, int64(len(t.bytes)) }

// AddResult is the outcome of Add.
type AddResult int

// Results of Add.
const (
	Stored    AddResult = iota // ask for the next one
	Restarted                  // the sender has another version: the transfer restarted with it
	Ignored                    // it does not fit what was requested
	Corrupt                    // all is there and the checksum differs: the transfer is empty again
	Complete                   // all is there
)

// Add adds a chunk. With the result Complete it returns the bytes of the state, and the
// transfer is empty.
func (t *Transfer) Add(p Chunk) ([]byte, AddResult) {
	if p.Total <= 0 || len(p.Bytes) == 0 || p.Offset+int64(len(p.Bytes)) > p.Total {
		return nil, Ignored
	}
	result := Stored
	if p.Version != t.version || p.Total != t.total || p.Sum != t.sum {
		if p.Offset != 0 || p.Version < t.version {
			return nil, Ignored
		}
		*t = Transfer{version: p.Version, total: p.Total, sum: p.Sum}
		result = Restarted
	}
	if p.Offset != int64(len(t.bytes)) {
		return nil, Ignored
	}
	t.bytes = append(t.bytes, p.Bytes...)
	if int64(len(t.bytes)) < t.total {
		return nil, result
	}
	value, sum := t.bytes, t.sum
	*t = Transfer{}
	if crc32.ChecksumIEEE(value) != sum {
		return nil, Corrupt
	}
	return value, Complete
}

const (
	maxServed    = 2         // versions of one state that are kept for transfers
	servedIdleUs = 5_000_000 // how long one is kept that nobody requests
)

type served struct {
	version int64
	sum     uint32
	bytes   []byte
	usedUs  int64
	ended   bool // the last chunk was the latest that anybody requested
}

// Server is the sender's end. It is not safe for concurrent use.
type Server struct{ versions []*served }

// ReadChunk returns a chunk of the version requested, if it is still kept, and else the
// first chunk of the newest; or of a newer one kept, where maxServed versions are being
// fetched. A receiver that has begun nothing requests the version after its own, at
// offset 0. encode returns the bytes of the newest version.
func (s *Server) ReadChunk(version, offset, nowUs, newest int64, encode func() ([]byte, error)) (Chunk, error) {
	s.Forget(nowUs)
	from := s.find(version)
	if from == nil {
		if version != newest {
			offset = 0
		}
		from = s.find(newest)
	}
	if from == nil && len(s.versions) >= maxServed {
		from, offset = s.evictOne(version), 0
	}
	if from == nil {
		b, err := encode()
		if err != nil {
			return Chunk{}, err
		}
		from = &served{version: newest, sum: crc32.ChecksumIEEE(b), bytes: b}
		s.versions = append(s.versions, from)
	}
	from.usedUs = nowUs
	total := int64(len(from.bytes))
	offset = min(max(offset, 0), total)
	end := min(offset+ChunkBytes, total)
	from.ended = end == total
	return Chunk{Version: from.version, Offset: offset, Total: total, Sum: from.sum, Bytes: from.bytes[offset:end]}, nil
}

// evictOne drops a version whose transfer has ended. Where none has, it returns a kept
// version that is not older than the one requested, and where there is none of that
// either, it drops the one requested longest ago.
func (s *Server) evictOne(version int64) *served {
	oldest := 0
	for i, h := range s.versions {
		if h.ended {
			s.versions = append(s.versions[:i], s.versions[i+1:]...)
			return nil
		}
		if h.usedUs < s.versions[oldest].usedUs {
			oldest = i
		}
	}
	for _, h := range s.versions {
		if h.version >= version {
			return h
		}
	}
	s.versions = append(s.versions[:oldest], s.versions[oldest+1:]...)
	return nil
}

func (s *Server) find(version int64) *served {
	for _, h := range s.versions {
		if h.version == version {
			return h
		}
	}
	return nil
}

// Forget drops versions that nobody has requested for servedIdleUs.
func (s *Server) Forget(nowUs int64) {
	kept := s.versions[:0]
	for _, h := range s.versions {
		if nowUs-h.usedUs < servedIdleUs {
			kept = append(kept, h)
		}
	}
	clear(s.versions[len(kept):])
	s.versions = kept
}

// Versions returns the number of versions kept.
func (s *Server) Versions() int { return len(s.versions) }
