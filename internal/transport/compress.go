package transport

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Large frames are compressed, to a tenth where they carry configurations. A compressed
// frame is the body of a one-way frame of KindCompressed. It is sent only to a peer that
// has said that it reads them, by KindReadsCompressed: the node that dials says so first,
// and the other one in response. So nodes of releases without compression get none. The
// body of KindReadsCompressed is the newest format that the sender reads.
//
// In the second format the frame is rearranged by splitColumns first, where that makes
// it smaller, and the compressed bytes follow columnsMark.
const (
	// compressFromBytes is the least body that is compressed. Smaller ones are frequent
	// and not worth the processor time.
	compressFromBytes = 16 << 10
	// compressBroadcastFromBytes is the same for a body that is encoded once and sent to many:
	// the copies to 64 routers of some 20 KB each, eight times a second, fill a link of 100 Mbit/s.
	compressBroadcastFromBytes = 4 << 10
	// compressWindowBytes bounds the memory of encoders.
	compressWindowBytes = 256 << 10
	// columnsMark is no byte that compressed data of the first format begins with.
	columnsMark = 'c'
	// textSampleBytes of a frame show whether it is text, which splitColumns is made for.
	textSampleBytes = 4 << 10
)

// Compression is the newest format of compressed frames that a node reads.
type Compression int32

const (
	noCompression Compression = iota
	plainCompression
	columnCompression
)

// compressionOf reads the body of a KindReadsCompressed. Releases with the first format
// alone send none.
func compressionOf(body []byte) Compression {
	if len(body) == 0 {
		return plainCompression
	}
	return min(Compression(body[0]), columnCompression)
}

// readsCompressedBody is the body of the KindReadsCompressed of this release.
func readsCompressedBody() []byte { return []byte{byte(columnCompression)} }

// The pools drop encoders and decoders while nothing large is sent or received.
var encoders, decoders sync.Pool

func newEncoder() *zstd.Encoder {
	e, _ := zstd.NewWriter(nil, // no option given here fails
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressWindowBytes),
		zstd.WithAllLitEntropyCompression(true)) // columns of random words have few symbols and no matches
	return e
}

func newDecoder() *zstd.Decoder {
	d, _ := zstd.NewReader(nil, // no option given here fails
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxBodyBytes+frameHeadBytes))
	return d
}

// EncodedFrame is a frame ready to be sent to any number of peers. It is compressed once.
type EncodedFrame struct {
	formats [columnCompression + 1][]byte // by format; nil where it saves nothing over the one before
}

// EncodeBroadcast encodes a frame that goes to many peers, in all formats: the bytes count
// as often as there are peers, the processor time once.
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

// EncodeFrame encodes a frame that goes to one peer, without columnCompression, which costs
// several times the processor time.
func EncodeFrame(f messages.Frame) (EncodedFrame, error) { return encodeFrom(f, compressFromBytes) }

// encodeFrom encodes a frame, also compressed if its body has fromBytes.
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

// addFormat adds the frame as compressed in a format, if that is smaller than the frame
// in the formats before.
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

// BytesFor returns the bytes to send to a peer that reads formats up to the given one.
func (e *EncodedFrame) BytesFor(newest Compression) []byte {
	for format := newest; format > noCompression; format-- {
		if b := e.formats[format]; b != nil {
			return b
		}
	}
	return e.formats[noCompression]
}

// isText reports whether most bytes are letters and digits.
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

// decompressFrame reads the frame in the body of a frame of KindCompressed.
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
