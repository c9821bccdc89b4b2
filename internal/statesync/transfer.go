// Transfers send a large value to another node in chunks, so that timeouts apply to
// progress and not to the whole transfer. The receiver requests a version and an offset.
// It retains the chunks received when a sender stops responding, and resumes from another
// sender of the same version. The sender retains the versions that are being fetched, so
// that a transfer completes even if newer versions are created meanwhile; the receiver then
// fetches the newest.

package statesync

import "hash/crc32"

// ChunkBytes is the maximum number of bytes in a chunk. A state up to this size takes one
// chunk.
const ChunkBytes = 64 << 10

// Chunk is a byte range of one version of an encoded state.
type Chunk struct {
	Version, Offset, Total int64
	Checksum               uint32 // CRC-32 (IEEE) of all bytes of the version
	Bytes                  []byte
}

// Transfer is the receiver's side. The zero Transfer has received nothing yet.
type Transfer struct {
	version, total int64
	checksum       uint32
	received       []byte
}

// Next returns the version and offset to request. The version is 0 if no transfer has
// begun.
func (t *Transfer) Next() (version, offset int64) { return t.version, int64(len(t.received)) }

// AddResult is the outcome of Add.
type AddResult int

// Results of Add.
const (
	Stored    AddResult = iota // the chunk was appended; request the next one
	Restarted                  // the chunk has another version: the transfer restarted with it
	Ignored                    // the chunk does not match the request
	Corrupt                    // all bytes arrived and the checksum differs: the transfer was reset
	Complete                   // all bytes arrived and the checksum matches
)

// Add adds a chunk. If the result is Complete it returns the bytes of the state and resets
// the transfer.
func (t *Transfer) Add(chunk Chunk) ([]byte, AddResult) {
	if chunk.Total <= 0 || len(chunk.Bytes) == 0 || chunk.Offset+int64(len(chunk.Bytes)) > chunk.Total {
		return nil, Ignored
	}
	result := Stored
	if chunk.Version != t.version || chunk.Total != t.total || chunk.Checksum != t.checksum {
		if chunk.Offset != 0 || chunk.Version < t.version {
			return nil, Ignored
		}
		*t = Transfer{version: chunk.Version, total: chunk.Total, checksum: chunk.Checksum}
		result = Restarted
	}
	if chunk.Offset != int64(len(t.received)) {
		return nil, Ignored
	}
	t.received = append(t.received, chunk.Bytes...)
	if int64(len(t.received)) < t.total {
		return nil, result
	}
	value, sum := t.received, t.checksum
	*t = Transfer{}
	if crc32.ChecksumIEEE(value) != sum {
		return nil, Corrupt
	}
	return value, Complete
}

const (
	maxServedVersions = 2         // versions of one state that are retained for transfers
	servedIdleUs      = 5_000_000 // how long a version is retained after its last request
)

type servedVersion struct {
	version       int64
	checksum      uint32
	bytes         []byte
	lastRequestUs int64
	lastChunkRead bool // the most recent request was for the last chunk
}

// ChunkServer is the sender's side. It is not safe for concurrent use.
type ChunkServer struct{ versions []*servedVersion }

// ReadChunk returns a chunk of the requested version if it is retained, otherwise the first
// chunk of the newest version. If maxServedVersions other versions are being fetched, it
// returns the first chunk of a retained version that is not older than the requested one.
// A receiver without a transfer in progress requests the version after its own, at offset
// 0. encode returns the bytes of the newest version.
func (s *ChunkServer) ReadChunk(version, offset, nowUs, newest int64, encode func() ([]byte, error)) (Chunk, error) {
	s.EvictIdle(nowUs)
	from := s.findVersion(version)
	if from == nil {
		if version != newest {
			offset = 0
		}
		from = s.findVersion(newest)
	}
	if from == nil && len(s.versions) >= maxServedVersions {
		from, offset = s.evictOrReuse(version), 0
	}
	if from == nil {
		b, err := encode()
		if err != nil {
			return Chunk{}, err
		}
		from = &servedVersion{version: newest, checksum: crc32.ChecksumIEEE(b), bytes: b}
		s.versions = append(s.versions, from)
	}
	from.lastRequestUs = nowUs
	total := int64(len(from.bytes))
	offset = min(max(offset, 0), total)
	end := min(offset+ChunkBytes, total)
	from.lastChunkRead = end == total
	return Chunk{Version: from.version, Offset: offset, Total: total, Checksum: from.checksum, Bytes: from.bytes[offset:end]}, nil
}

// evictOrReuse makes room for another version. It deletes a version whose transfer has ended.
// If there is none, it returns a retained version that is not older than the requested
// one, and if there is none of those either, it deletes the least recently requested.
func (s *ChunkServer) evictOrReuse(version int64) *servedVersion {
	oldest := 0
	for i, h := range s.versions {
		if h.lastChunkRead {
			s.versions = append(s.versions[:i], s.versions[i+1:]...)
			return nil
		}
		if h.lastRequestUs < s.versions[oldest].lastRequestUs {
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

func (s *ChunkServer) findVersion(version int64) *servedVersion {
	for _, h := range s.versions {
		if h.version == version {
			return h
		}
	}
	return nil
}

// EvictIdle deletes the versions that were not requested for servedIdleUs.
func (s *ChunkServer) EvictIdle(nowUs int64) {
	retained := s.versions[:0]
	for _, h := range s.versions {
		if nowUs-h.lastRequestUs < servedIdleUs {
			retained = append(retained, h)
		}
	}
	clear(s.versions[len(retained):])
	s.versions = retained
}

// Versions returns the number of retained versions.
func (s *ChunkServer) Versions() int { return len(s.versions) }
