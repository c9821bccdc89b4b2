package transport

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// largeFrame returns a frame whose body is large enough to be compressed.
func largeFrame() messages.Frame {
	return messages.Frame{Kind: KindSince, Seq: 7, Reply: true, Body: bytes.Repeat([]byte("route"), compressFromBytes)}
}

func TestLargeFramesAreCompressedForPeersThatReadThem(t *testing.T) {
	f := largeFrame()
	encoded, err := EncodeFrame(f)
	must.NoError(t, err)
	must.Eq(t, encodeFrames(t, f), encoded.BytesFor(noCompression), must.Sprint("an earlier release must get the uncompressed frame"))
	must.Less(t, len(f.Body)/10, len(encoded.BytesFor(plainCompression)))
	outer := decodeFrames(bytes.NewReader(encoded.BytesFor(plainCompression)))
	must.Len(t, 1, outer)
	must.Eq(t, KindCompressed, outer[0].Kind)
	inner, err := decompressFrame(outer[0].Body)
	must.NoError(t, err)
	must.Eq(t, f, inner)

	small, err := EncodeFrame(messages.Frame{Kind: KindFeed, Body: make([]byte, compressFromBytes-1)})
	must.NoError(t, err)
	must.Eq(t, small.BytesFor(noCompression), small.BytesFor(columnCompression))
}

// Guards against sending a peer a compression format that it cannot read. A peer of a
// release that has only the first format sends KindReadsCompressed with an empty body.
func TestCompressedFramesAreSentOnlyAfterPeerAnnouncesFormat(t *testing.T) {
	peer := newFakePeer(t, newTestTransport(t))
	body := textBody()
	go func() { _ = peer.near.Push(KindFeed, body) }()
	must.Eq(t, messages.Frame{Kind: KindFeed, Body: body}, peer.read())
	peer.write(messages.Frame{Kind: KindReadsCompressed}, messages.Frame{Kind: KindReadsCompressed})
	for peer.near.PeerCompression() == noCompression {
		runtime.Gosched()
	}
	go func() { _ = peer.near.Push(KindFeed, body) }()
	f := peer.read()
	must.Eq(t, KindCompressed, f.Kind)
	must.NotEq(t, columnsMark, rune(f.Body[0]))
	inner, err := decompressFrame(f.Body)
	must.NoError(t, err)
	must.Eq(t, messages.Frame{Kind: KindFeed, Body: body}, inner)

	peer.write(messages.Frame{Kind: KindReadsCompressed, Body: readsCompressedBody()})
	for peer.near.PeerCompression() != columnCompression {
		runtime.Gosched()
	}
	broadcast, err := EncodeBroadcast(messages.Frame{Kind: KindFeed, Body: body})
	must.NoError(t, err)
	go func() { _ = peer.near.SendRaw(broadcast.BytesFor(peer.near.PeerCompression())) }()
	f = peer.read()
	must.Eq(t, columnsMark, rune(f.Body[0]))
	inner, err = decompressFrame(f.Body)
	must.NoError(t, err)
	must.Eq(t, messages.Frame{Kind: KindFeed, Body: body}, inner)
}

// textBody returns a body that compresses better after splitColumns.
func textBody() (b []byte) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		b = fmt.Appendf(b, `{"name":"r-%08x","kind":"stream"}`, random.Uint32())
	}
	return b
}

func TestConnClosesOnInvalidCompressedFrame(t *testing.T) {
	twice, err := (&messages.Frame{Kind: KindCompressed}).MarshalMsg(nil)
	must.NoError(t, err)
	for _, body := range [][]byte{nil, []byte("garbage"), compress([]byte("garbage")), compress(twice), {columnsMark}, append([]byte{columnsMark}, compress([]byte("garbage"))...), append([]byte{columnsMark}, compress(splitColumns(twice))...)} {
		peer := newFakePeer(t, newTestTransport(t))
		peer.write(messages.Frame{Kind: KindCompressed, Body: body})
		<-peer.near.Done()
	}
}
