package statesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// source is a sender whose state may change during a transfer.
type source struct {
	t         *testing.T
	server    ChunkServer
	version   int64
	size      int
	encodings int
}

func (s *source) body(version int64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%08d", version)), s.size/8)
}

func (s *source) readChunk(version, offset, nowUs int64) Chunk {
	chunk, err := s.server.ReadChunk(version, offset, nowUs, s.version, func() ([]byte, error) {
		s.encodings++
		return s.body(s.version), nil
	})
	must.NoError(s.t, err)
	return chunk
}

// transferSim simulates a receiver that fetches successive versions from two senders
// over a lossy link while the senders' state changes.
type transferSim struct {
	t         *testing.T
	rnd       *rand.Rand
	senders   []*source
	receiver  Transfer
	version   int64 // the senders' newest version
	received  int64 // the last version received completely
	completed int   // number of completed transfers
}

// request requests one chunk. Two of three responses are lost, and some are duplicated.
func (o *transferSim) request(nowUs int64) {
	o.t.Helper()
	from := o.senders[0]
	if o.rnd.IntN(400) == 0 {
		from = o.senders[1]
	}
	from.version = o.version
	version, offset := o.receiver.Next()
	if version == 0 {
		version = o.received + 1
	}
	chunk := from.readChunk(version, offset, nowUs)
	must.LessEq(o.t, maxServedVersions, from.server.Versions())
	if o.rnd.IntN(3) > 0 {
		return
	}
	value, result := o.receiver.Add(chunk)
	if o.rnd.IntN(5) == 0 && result != Complete {
		_, again := o.receiver.Add(chunk)
		must.True(o.t, again == Ignored || chunk.Offset == 0, must.Sprint("a duplicated chunk"))
	}
	if result == Complete {
		must.Greater(o.t, o.received, chunk.Version)
		must.True(o.t, bytes.Equal(from.body(chunk.Version), value))
		o.received = chunk.Version
		o.completed++
	}
}

// Transfers over a link that loses two of three responses and duplicates some, with
// changes of sender and a new version at every fourth request: each transfer completes
// with the bytes of a single version, and the next one has a newer version.
func TestTransferCompletesWhileVersionsChange(t *testing.T) {
	for seed := range uint64(60) {
		o := &transferSim{
			t: t, rnd: rand.New(rand.NewPCG(seed, 5)), version: 1,
			senders: []*source{{t: t, size: 15 * ChunkBytes}, {t: t, size: 15 * ChunkBytes}},
		}
		nowUs := int64(0)
		for requests := 1; o.completed < 4; requests++ {
			must.Less(t, 4000, requests, must.Sprintf("seed %d: %d transfers completed", seed, o.completed))
			nowUs += 20_000
			if requests%4 == 0 {
				o.version++
			}
			o.request(nowUs)
		}
	}
}

// Received chunks are retained when their sender stops responding.
func TestTransferResumesFromAnotherSender(t *testing.T) {
	a, b := &source{t: t, version: 7, size: 4 * ChunkBytes}, &source{t: t, version: 7, size: 4 * ChunkBytes}
	var receiver Transfer
	for range 2 {
		v, o := receiver.Next()
		receiver.Add(a.readChunk(v, o, 1))
	}
	v, o := receiver.Next()
	must.Eq(t, int64(7), v)
	must.Eq(t, int64(2*ChunkBytes), o)
	_, result := receiver.Add(b.readChunk(0, 0, 1))
	must.Eq(t, Ignored, result)
	for _, want := range []AddResult{Stored, Complete} {
		v, o = receiver.Next()
		_, result = receiver.Add(b.readChunk(v, o, 1))
		must.Eq(t, want, result)
	}
}

func TestCorruptTransferRestarts(t *testing.T) {
	s := &source{t: t, version: 1, size: ChunkBytes + 8}
	var receiver Transfer
	chunk := s.readChunk(0, 0, 1)
	chunk.Bytes = append([]byte{}, chunk.Bytes...)
	chunk.Bytes[3] ^= 1
	receiver.Add(chunk)
	v, o := receiver.Next()
	_, result := receiver.Add(s.readChunk(v, o, 1))
	must.Eq(t, Corrupt, result)
	v, o = receiver.Next()
	must.Eq(t, int64(0), v)
	must.Eq(t, int64(0), o)
}

// A version is retained while it is requested and evicted after the idle time.
func TestServerEvictsVersionsNotRequested(t *testing.T) {
	s := &source{t: t, version: 1, size: 2 * ChunkBytes}
	s.readChunk(0, 0, 0)
	s.version = 2
	must.Eq(t, int64(2*ChunkBytes), s.readChunk(1, 0, 0).Total)
	must.Eq(t, int64(1), s.readChunk(1, ChunkBytes, servedIdleUs-1).Version)
	again := s.readChunk(1, ChunkBytes, 2*servedIdleUs)
	must.Eq(t, int64(2), again.Version)
	must.Eq(t, int64(0), again.Offset, must.Sprint("another version begins at offset 0"))
	must.Eq(t, 1, s.server.Versions())
	must.Eq(t, 2, s.encodings)
}

// The log of a stream has a bounded length after 2,000 changes.
func TestStreamLogIsBounded(t *testing.T) {
	s := NewEntries()
	s.Begin(1, 0)
	for n := range int64(2000) {
		s.Put(fmt.Sprint("route", n%40), fmt.Sprint(n))
		s.Commit(n + 1)
		must.LessEq(t, maxLoggedKeys+s.Len(), s.logSize)
		must.LessEq(t, maxLoggedKeys+s.Len(), len(s.log))
	}
	must.Eq(t, 40, s.Len())
}
