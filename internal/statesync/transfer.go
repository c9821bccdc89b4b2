// Transfers carry a large value to another node in chunks, so that progress counts and
// not the time that the whole takes. The receiver names version and offset; chunks
// that have arrived stay when a sender falls silent, and another sender of the same
// version goes on from there. The sender keeps the versions that are being fetched, so
// that a transfer that newer versions overtake still ends; the receiver then fetches
// the newest.

package statesync

import "hash/crc32"

// PieceBytes is the most that one piece carries; states up to this size go whole.
const PieceBytes = 64 << 10

// Piece is a part of one version of an encoded state.
type Piece struct {
	Version, Offset, Total int64
	Sum                    uint32 // of the whole
	Bytes                  []byte
}

// Transfer is the receiver's end. The zero Transfer has nothing yet.
type Transfer struct {
	version, total int64
	sum            uint32
	bytes          []byte
}

// Next names what is wanted: the version, 0 where nothing has begun, and from
// where on.
func (t *Transfer) Next() (version, offset int64) { return t.version, int64(len(t.bytes)) }

// Taken says what became of a piece.
type Taken int

// What may become of a piece.
const (
	Stored  Taken = iota // ask for the next one
	Begun                // the sender has another version: the transfer began anew with it
	Ignored              // it does not fit what was asked for
	Spoiled              // all is there and the checksum differs: the transfer is empty again
	Whole                // all is there
)

// Take takes a piece in. The bytes are those of the whole state once it is there;
// the transfer is empty then.
func (t *Transfer) Take(p Piece) ([]byte, Taken) {
	if p.Total <= 0 || len(p.Bytes) == 0 || p.Offset+int64(len(p.Bytes)) > p.Total {
		return nil, Ignored
	}
	result := Stored
	if p.Version != t.version || p.Total != t.total || p.Sum != t.sum {
		if p.Offset != 0 || p.Version < t.version {
			return nil, Ignored
		}
		*t = Transfer{version: p.Version, total: p.Total, sum: p.Sum}
		result = Begun
	}
	if p.Offset != int64(len(t.bytes)) {
		return nil, Ignored
	}
	t.bytes = append(t.bytes, p.Bytes...)
	if int64(len(t.bytes)) < t.total {
		return nil, result
	}
	whole, sum := t.bytes, t.sum
	*t = Transfer{}
	if crc32.ChecksumIEEE(whole) != sum {
		return nil, Spoiled
	}
	return whole, Whole
}

const (
	mostServed  = 2         // versions of one state that are kept for transfers
	servedForUs = 5_000_000 // how long one is kept that nobody asks for
)

type served struct {
	version int64
	sum     uint32
	bytes   []byte
	usedUs  int64
	ended   bool // the last piece was the latest that anybody took
}

// Server is the sender's end. It is not safe for concurrent use.
type Server struct{ held []*served }

// Give answers with a piece of the version asked for, if it is still kept, and
// else with the first piece of the newest; or of a newer one kept, where as many
// as may be are being fetched. A receiver that has begun nothing asks for the
// version after its own, at offset 0. encode makes the bytes of the newest version.
func (s *Server) Give(version, offset, nowUs, newest int64, encode func() ([]byte, error)) (Piece, error) {
	s.Forget(nowUs)
	from := s.find(version)
	if from == nil {
		if version != newest {
			offset = 0
		}
		from = s.find(newest)
	}
	if from == nil && len(s.held) >= mostServed {
		from, offset = s.makeRoom(version), 0
	}
	if from == nil {
		b, err := encode()
		if err != nil {
			return Piece{}, err
		}
		from = &served{version: newest, sum: crc32.ChecksumIEEE(b), bytes: b}
		s.held = append(s.held, from)
	}
	from.usedUs = nowUs
	total := int64(len(from.bytes))
	offset = min(max(offset, 0), total)
	end := min(offset+PieceBytes, total)
	from.ended = end == total
	return Piece{Version: from.version, Offset: offset, Total: total, Sum: from.sum, Bytes: from.bytes[offset:end]}, nil
}

// makeRoom drops a version whose transfer has ended. Where all go on, it gives one
// that helps who lacks the version, and drops the one asked for longest ago where
// none does.
func (s *Server) makeRoom(version int64) *served {
	oldest := 0
	for i, h := range s.held {
		if h.ended {
			s.held = append(s.held[:i], s.held[i+1:]...)
			return nil
		}
		if h.usedUs < s.held[oldest].usedUs {
			oldest = i
		}
	}
	for _, h := range s.held {
		if h.version >= version {
			return h
		}
	}
	s.held = append(s.held[:oldest], s.held[oldest+1:]...)
	return nil
}

func (s *Server) find(version int64) *served {
	for _, h := range s.held {
		if h.version == version {
			return h
		}
	}
	return nil
}

// Forget drops versions that nobody has asked for lately.
func (s *Server) Forget(nowUs int64) {
	kept := s.held[:0]
	for _, h := range s.held {
		if nowUs-h.usedUs < servedForUs {
			kept = append(kept, h)
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// Len is how many versions are kept.
func (s *Server) Len() int { return len(s.held) }
