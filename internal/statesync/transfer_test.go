package statesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// source is a sender whose state may change under a transfer.
type source struct {
	t       *testing.T
	server  Server
	version int64
	size    int
	encoded int
}

func (s *source) body(version int64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%08d", version)), s.size/8)
}

func (s *source) give(version, offset, nowUs int64) Chunk {
	p, err := s.server.ReadChunk(version, offset, nowUs, s.version, func() ([]byte, error) {
		s.encoded++
		return s.body(s.version), nil
	})
	must.NoError(s.t, err)
	return p
}

// overtakenTransfer is a receiver that fetches one version after the other from two
// senders over a lossy link, while the senders' state changes.
type overtakenTransfer struct {
	t        *testing.T
	rnd      *rand.Rand
	senders  []*source
	receiver Transfer
	version  int64 // the senders' newest
	received int64 // the last version that arrived
	complete int   // how many arrived
}

// request is one request for a chunk. Two of three answers are lost, and some are
// repeated.
func (o *overtakenTransfer) request(nowUs int64) {
	o.t.Helper()
	from := o.senders[0]
	if o.rnd.IntN(400) == 0 {
		from = o.senders[1]
	}
	from.version = o.version
	wanted, offset := o.receiver.Next()
	if wanted == 0 {
		wanted = o.received + 1
	}
	chunk := from.give(wanted, offset, nowUs)
	must.LessEq(o.t, maxServed, from.server.Versions())
	if o.rnd.IntN(3) > 0 {
		return
	}
	value, result := o.receiver.Add(chunk)
	if o.rnd.IntN(5) == 0 && result != Complete {
		_, again := o.receiver.Add(chunk)
		must.True(o.t, again == Ignored || chunk.Offset == 0, must.Sprint("a repeated chunk"))
	}
	if result == Complete {
		must.Greater(o.t, o.received, chunk.Version)
		must.True(o.t, bytes.Equal(from.body(chunk.Version), value))
		o.received = chunk.Version
		o.complete++
	}
}

// A transfer over a link that loses two of three answers, repeats some, changes
// senders, and is overtaken by a new version at every fourth request: each completes,
// with the bytes of one version, and the next has a newer one.
func TestTransferCompletesWhileVersionsChange(t *testing.T) {
	for seed := range uint64(60) {
		o := &overtakenTransfer{
			t: t, rnd: rand.New(rand.NewPCG(seed, 5)), version: 1,
			senders: []*source{{t: t, size: 15 * ChunkBytes}, {t: t, size: 15 * ChunkBytes}},
		}
		nowUs := int64(0)
		for requests := 1; o.complete < 4; requests++ {
			must.Less(t, 4000, requests, must.Sprintf("seed %d: %d transfers completed", seed, o.complete))
			nowUs += 20_000
			if requests%4 == 0 {
				o.version++
			}
			o.request(nowUs)
		}
	}
}

// Chunks that have arrived stay when their sender stops answering.
func TestTransferResumesFromAnotherSender(t *testing.T) {
	a, b := &source{t: t, version: 7, size: 4 * ChunkBytes}, &source{t: t, version: 7, size: 4 * ChunkBytes}
	var in Transfer
	for range 2 {
		v, o := in.Next()
		in.Add(a.give(v, o, 1))
	}
	v, o := in.Next()
	must.Eq(t, int64(7), v)
	must.Eq(t, int64(2*ChunkBytes), o)
	_, taken := in.Add(b.give(0, 0, 1))
	must.Eq(t, Ignored, taken)
	for _, want := range []AddResult{Stored, Complete} {
		v, o = in.Next()
		_, taken = in.Add(b.give(v, o, 1))
		must.Eq(t, want, taken)
	}
}

func TestCorruptTransferRestarts(t *testing.T) {
	s := &source{t: t, version: 1, size: ChunkBytes + 8}
	var in Transfer
	p := s.give(0, 0, 1)
	p.Bytes = append([]byte{}, p.Bytes...)
	p.Bytes[3] ^= 1
	in.Add(p)
	v, o := in.Next()
	_, taken := in.Add(s.give(v, o, 1))
	must.Eq(t, Corrupt, taken)
	v, o = in.Next()
	must.Eq(t, int64(0), v)
	must.Eq(t, int64(0), o)
}

// Versions are kept while they are requested, and not longer.
func TestServerEvictsVersionsNotRequested(t *testing.T) {
	s := &source{t: t, version: 1, size: 2 * ChunkBytes}
	s.give(0, 0, 0)
	s.version = 2
	must.Eq(t, int64(2*ChunkBytes), s.give(1, 0, 0).Total)
	must.Eq(t, int64(1), s.give(1, ChunkBytes, servedIdleUs-1).Version)
	again := s.give(1, ChunkBytes, 2*servedIdleUs)
	must.Eq(t, int64(2), again.Version)
	must.Eq(t, int64(0), again.Offset, must.Sprint("another version begins at offset 0"))
	must.Eq(t, 1, s.server.Versions())
	must.Eq(t, 2, s.encoded)
}

// The log of a stream that 2,000 changes went through is as long as after the
// first few hundred.
func TestStreamLogIsBounded(t *testing.T) {
	s := NewEntries()
	s.Begin(1, 0)
	for n := range int64(2000) {
		s.Put(fmt.Sprint("route", n%40), fmt.Sprint(n))
		s.Commit(n + 1)
		must.LessEq(t, maxLoggedKeys+s.Len(), s.logged)
		must.LessEq(t, maxLoggedKeys+s.Len(), len(s.log))
	}
	must.Eq(t, 40, s.Len())
}
