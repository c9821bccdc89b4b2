package transport

import (
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// encodeFrames returns the concatenated encodings of frames.
func encodeFrames(t testing.TB, frames ...messages.Frame) (raw []byte) {
	t.Helper()
	for _, frame := range frames {
		var err error
		raw, err = frame.MarshalMsg(raw)
		must.NoError(t, err)
	}
	return raw
}

// decodeFrames reads frames until the end of the input or an invalid frame.
func decodeFrames(in io.Reader) (frames []messages.Frame) {
	reader := newFrameReader(msgp.NewReader(in))
	for {
		frame, err := reader.next()
		if err != nil {
			return frames
		}
		frames = append(frames, frame)
	}
}

func TestFrameReaderRejectsClaimedLengthWithoutAllocating(t *testing.T) {
	for _, raw := range [][]byte{
		{0xdf, 0xff, 0xff, 0xff, 0xff},                     // number of fields
		{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff, 1}, // length of the body
	} {
		_, err := newFrameReader(msgp.NewReader(bytes.NewReader(raw))).next()
		must.ErrorIs(t, err, errFrame)
	}
	for _, raw := range [][]byte{
		{0x81, 0xdb, 0xff, 0xff, 0xff, 0xff, 1}, // length of a key
		{0x81, 0xc6, 0xff, 0xff, 0xff, 0xff, 1}, // length of a key of bytes, found by FuzzFrameReader
	} {
		_, err := newFrameReader(msgp.NewReader(bytes.NewReader(raw))).next()
		must.Error(t, err)
		truncated := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
		must.False(t, truncated, must.Sprint("must be rejected for the claimed length, not as truncated"))
	}
}
