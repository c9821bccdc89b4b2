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
// and the other one in response. So nodes of releases without compression get none.
const (
	// compressFromBytes is the least body that is compressed. Smaller ones are frequent
	// and not worth the processor time.
	compressFromBytes = 16 << 10
	// compressWindowBytes bounds the memory of encoders.
	compressWindowBytes = 256 << 10
)

// The pools drop encoders and decoders while nothing large is sent or received.
var encoders, decoders sync.Pool

func newEncoder() *zstd.Encoder {
	e, _ := zstd.NewWriter(nil, // no option given here fails
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressWindowBytes))
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
	plain      []byte
	compressed []byte // nil where the frame is not compressed
}

// EncodeFrame encodes a frame.
func EncodeFrame(f messages.Frame) (EncodedFrame, error) {
	plain, err := f.MarshalMsg(make([]byte, 0, len(f.Body)+frameHeadBytes))
	if err != nil {
		return EncodedFrame{}, errors.Wrap(err, "transport: encode frame")
	}
	encoded := EncodedFrame{plain: plain}
	if len(f.Body) < compressFromBytes {
		return encoded, nil
	}
	outer := messages.Frame{Kind: KindCompressed, Body: compress(plain)}
	if len(outer.Body) >= len(plain) {
		return encoded, nil
	}
	encoded.compressed, err = outer.MarshalMsg(make([]byte, 0, len(outer.Body)+frameHeadBytes))
	if err != nil {
		return EncodedFrame{}, errors.Wrap(err, "transport: encode frame")
	}
	return encoded, nil
}

// BytesFor returns the bytes to send to a peer, which reads compressed frames or not.
func (e EncodedFrame) BytesFor(readsCompressed bool) []byte {
	if readsCompressed && e.compressed != nil {
		return e.compressed
	}
	return e.plain
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
	plain, err := d.DecodeAll(body, nil)
	if err != nil {
		return messages.Frame{}, errors.Wrap(errFrame, err.Error())
	}
	inner, err := newFrameReader(msgp.NewReader(bytes.NewReader(plain))).next()
	if err == nil && inner.Kind == KindCompressed {
		err = errors.Wrap(errFrame, "compressed twice")
	}
	return inner, err
}
