package transport

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Limits for frames read from a connection. Memory is allocated as bytes arrive, not
// according to a length that the peer claims.
const (
	maxFields      = 16
	maxKeyBytes    = 64
	maxBodyBytes   = 64 << 20
	maxNesting     = 32
	bodyChunkBytes = 64 << 10 // maximum of a body that is allocated before its bytes arrive
)

// errFrame is returned for bytes that are not a valid frame. Nothing that follows on the
// connection can be decoded reliably.
var errFrame = errors.New("transport: not a frame")

// frameReader reads consecutive frames from a connection.
type frameReader struct{ in *msgp.Reader }

func newFrameReader(in *msgp.Reader) frameReader {
	in.SetMaxStringLength(maxKeyBytes)
	in.SetMaxRecursionDepth(maxNesting)
	return frameReader{in}
}

// next reads one frame. Unknown fields are skipped, for compatibility with later releases.
func (f frameReader) next() (messages.Frame, error) {
	var frame messages.Frame
	fields, err := f.in.ReadMapHeader()
	if err != nil {
		return frame, err
	}
	if fields > maxFields {
		return frame, errors.Wrapf(errFrame, "%d fields", fields)
	}
	for range fields {
		if err := f.readField(&frame); err != nil {
			return frame, err
		}
	}
	return frame, nil
}

// readField reads one field into frame. The keys are those of messages.Frame.
func (f frameReader) readField(frame *messages.Frame) error {
	key, err := f.in.ReadStringAsBytes(nil) // bounded by maxKeyBytes
	if err != nil {
		return err
	}
	switch string(key) {
	case "k":
		frame.Kind, err = f.in.ReadInt()
	case "q":
		frame.Seq, err = f.in.ReadInt64()
	case "a":
		frame.Reply, err = f.in.ReadBool()
	case "b":
		frame.Body, err = f.readBody()
	default:
		err = f.in.Skip()
	}
	return err
}

func (f frameReader) readBody() ([]byte, error) {
	if f.in.IsNil() {
		return nil, f.in.ReadNil()
	}
	size, err := f.in.ReadBytesHeader()
	if err != nil {
		return nil, err
	}
	if size > maxBodyBytes {
		return nil, errors.Wrapf(errFrame, "a body of %d bytes", size)
	}
	body := make([]byte, 0, min(size, bodyChunkBytes))
	for len(body) < int(size) {
		start := len(body)
		body = append(body, make([]byte, min(int(size)-start, bodyChunkBytes))...)
		if _, err := f.in.ReadFull(body[start:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}
