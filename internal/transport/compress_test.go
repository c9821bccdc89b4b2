package transport

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// largeFrame has a body that is compressed.
func largeFrame() messages.Frame {
	return messages.Frame{Kind: KindSince, Seq: 7, Reply: true, Body: bytes.Repeat([]byte("route"), compressFromBytes)}
}

func TestLargeFramesAreCompressedForPeersThatReadThem(t *testing.T) {
	f := largeFrame()
	encoded, err := EncodeFrame(f)
	must.NoError(t, err)
	must.Eq(t, encode(t, f), encoded.BytesFor(false), must.Sprint("an earlier release reads no compressed frames"))
	must.Less(t, len(f.Body)/10, len(encoded.BytesFor(true)))
	outer := decode(bytes.NewReader(encoded.BytesFor(true)))
	must.Len(t, 1, outer)
	must.Eq(t, KindCompressed, outer[0].Kind)
	inner, err := decompressFrame(outer[0].Body)
	must.NoError(t, err)
	must.Eq(t, f, inner)

	small, err := EncodeFrame(messages.Frame{Kind: KindFeed, Body: make([]byte, compressFromBytes-1)})
	must.NoError(t, err)
	must.Eq(t, small.BytesFor(false), small.BytesFor(true))
}

func TestPeerIsSentCompressedFramesOnlyAfterItSaidSo(t *testing.T) {
	peer := newFakePeer(t, testTransport(t))
	body := largeFrame().Body
	go func() { _ = peer.near.Push(KindFeed, body) }()
	must.Eq(t, messages.Frame{Kind: KindFeed, Body: body}, peer.read())
	peer.write(messages.Frame{Kind: KindReadsCompressed}, messages.Frame{Kind: KindReadsCompressed})
	for !peer.near.ReadsCompressed() {
		runtime.Gosched()
	}
	go func() { _ = peer.near.Push(KindFeed, body) }()
	f := peer.read()
	must.Eq(t, KindCompressed, f.Kind)
	inner, err := decompressFrame(f.Body)
	must.NoError(t, err)
	must.Eq(t, messages.Frame{Kind: KindFeed, Body: body}, inner)
}

func TestConnEndsAfterBytesThatAreNoCompressedFrame(t *testing.T) {
	twice, err := (&messages.Frame{Kind: KindCompressed}).MarshalMsg(nil)
	must.NoError(t, err)
	for _, body := range [][]byte{nil, []byte("garbage"), compress([]byte("garbage")), compress(twice)} {
		peer := newFakePeer(t, testTransport(t))
		peer.write(messages.Frame{Kind: KindCompressed, Body: body})
		<-peer.near.Done()
	}
}
