package transport

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Large frames are compressed, those with configurations to a tenth of their size. A
// compressed frame is the body of a one-way frame of KindCompressed. It is sent only to a
// peer that has announced by KindReadsCompressed that it reads compressed frames: the
// dialing node announces this first, and the accepting node in response. Nodes of releases
// without compression therefore receive none. The body of KindReadsCompressed is the newest
// format that the sender reads.
//
// In the second format the frame is first rearranged by splitColumns, if that makes it
// smaller, and the compressed bytes follow columnsMark.
const (
	// compressFromBytes is the minimum size of a body that is compressed. Smaller bodies are
	// frequent and not worth the CPU time.
	compressFromBytes = 16 << 10
	// compressBroadcastFromBytes is the minimum for a body that is encoded once and sent to
	// many peers: copies of about 20 KB to 64 routers, eight times a second, saturate a link
	// of 100 Mbit/s.
	compressBroadcastFromBytes = 4 << 10
	// compressWindowBytes limits the memory of encoders.
	compressWindowBytes = 256 << 10
	// columnsMark marks the second format. Compressed data of the first format never begins
	// with this byte.
	columnsMark = 'c'
	// textSampleBytes is the size of the sample of a frame that decides whether the frame is
	// text, for which splitColumns is designed.
	textSampleBytes = 4 << 10
)

// Compression is a format of compressed frames. For a peer it is the newest format that the
// peer reads, which implies all earlier ones.
type Compression int32

const (
	noCompression Compression = iota
	plainCompression
	columnCompression
)

// compressionOf parses the body of a KindReadsCompressed frame. Releases that have only the
// first format send an empty body.
func compressionOf(body []byte) Compression {
	if len(body) == 0 {
		return plainCompression
	}
	return min(Compression(body[0]), columnCompression)
}

// readsCompressedBody returns the body of the KindReadsCompressed frame of this release.
func readsCompressedBody() []byte { return []byte{byte(columnCompression)} }

// The pools release encoders and decoders while no large frames are sent or received.
var encoders, decoders sync.Pool

func newEncoder() *zstd.Encoder {
	e, _ := zstd.NewWriter(nil, // these options cannot cause an error
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressWindowBytes),
		zstd.WithAllLitEntropyCompression(true)) // columns of random words have few distinct bytes and no matches
	return e
}

func newDecoder() *zstd.Decoder {
	d, _ := zstd.NewReader(nil, // these options cannot cause an error
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxBodyBytes+frameHeadBytes))
	return d
}

// EncodedFrame is an encoded frame that can be sent to any number of peers. It is compressed
// only once.
type EncodedFrame struct {
	formats [columnCompression + 1][]byte // by format; nil if it is not smaller than the previous format
}

// EncodeBroadcast encodes a frame for many peers, in all formats: the bytes are sent once
// per peer, but the CPU time is spent only once.
func EncodeBroadcast(f messages.Frame) (EncodedFrame, error) {
	encoded, err := encodeFrom(f, compressBroadcastFromBytes)
	plain := encoded.formats[noCompression]
	if err != nil || len(f.Body) < compressFromBytes || !isText(plain[:min(len(plain), textSampleBytes)]) {
		return encoded, err
	}
	columns := append([]byte{columnsMark}, compress(splitColumns(plain))...)
	err = encoded.addFormat(columnCompression, columns)
	return encoded, err
}

// EncodeFrame encodes a frame for one peer. It does not use columnCompression, which takes
// several times the CPU time.
func EncodeFrame(f messages.Frame) (EncodedFrame, error) { return encodeFrom(f, compressFromBytes) }

// encodeFrom encodes a frame, and also compresses it if its body has at least fromBytes.
func encodeFrom(f messages.Frame, fromBytes int) (EncodedFrame, error) {
	plain, err := f.MarshalMsg(make([]byte, 0, len(f.Body)+frameHeadBytes))
	if err != nil {
		return EncodedFrame{}, errors.Wrap(err, "transport: encode frame")
	}
	var encoded EncodedFrame
	encoded.formats[noCompression] = plain
	if len(f.Body) < fromBytes {
		return encoded, nil
	}
	err = encoded.addFormat(plainCompression, compress(plain))
	return encoded, err
}

// addFormat adds the frame compressed in the given format, if that is smaller than in the
// previous formats.
func (e *EncodedFrame) addFormat(format Compression, compressed []byte) error {
	if len(compressed) >= len(e.BytesFor(format-1)) {
		return nil
	}
	outer := messages.Frame{Kind: KindCompressed, Body: compressed}
	b, err := outer.MarshalMsg(make([]byte, 0, len(outer.Body)+frameHeadBytes))
	if err != nil {
		return errors.Wrap(err, "transport: encode frame")
	}
	e.formats[format] = b
	return nil
}

// BytesFor returns the bytes to send to a peer that reads formats up to newest.
func (e *EncodedFrame) BytesFor(newest Compression) []byte {
	for format := newest; format > noCompression; format-- {
		if b := e.formats[format]; b != nil {
			return b
		}
	}
	return e.formats[noCompression]
}

// isText reports whether more than half of the bytes are letters and digits.
func isText(b []byte) bool {
	words := 0
	for _, c := range b {
		if isWordByte(c) {
			words++
		}
	}
	return 2*words > len(b)
}

func compress(b []byte) []byte {
	e, ok := encoders.Get().(*zstd.Encoder)
	if !ok {
		e = newEncoder()
	}
	defer encoders.Put(e)
	return e.EncodeAll(b, nil)
}

// decompressFrame decodes the frame in the body of a KindCompressed frame.
func decompressFrame(body []byte) (messages.Frame, error) {
	d, ok := decoders.Get().(*zstd.Decoder)
	if !ok {
		d = newDecoder()
	}
	defer decoders.Put(d)
	compressed, columns := bytes.CutPrefix(body, []byte{columnsMark})
	plain, err := d.DecodeAll(compressed, nil)
	if err == nil && columns {
		plain, err = joinColumns(plain, maxBodyBytes+frameHeadBytes)
	}
	if err != nil {
		return messages.Frame{}, errors.Wrap(errFrame, err.Error())
	}
	inner, err := newFrameReader(msgp.NewReader(bytes.NewReader(plain))).next()
	if err == nil && inner.Kind == KindCompressed {
		err = errors.Wrap(errFrame, "compressed twice")
	}
	return inner, err
}
