package transport

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Bounds of what is read from a connection. A frame past them is no frame of
// ours: memory is taken as bytes come, never because a length was claimed.
const (
	mostFields     = 16
	mostKeyBytes   = 64
	mostBodyBytes  = 64 << 20
	mostNesting    = 32
	bodyPieceBytes = 64 << 10
)

// errFrame tells of bytes that are no frame. Nothing that follows on the
// connection can be trusted.
var errFrame = errors.New("transport: not a frame")

// frameReader reads frames one after the other.
type frameReader struct{ in *msgp.Reader }

func newFrameReader(in *msgp.Reader) frameReader {
	in.SetMaxStringLength(mostKeyBytes)
	in.SetMaxRecursionDepth(mostNesting)
	return frameReader{in}
}

// next reads one frame. Fields that this version does not know are skipped.
func (r frameReader) next() (messages.Frame, error) {
	var f messages.Frame
	fields, err := r.in.ReadMapHeader()
	if err != nil {
		return f, err
	}
	if fields > mostFields {
		return f, errFrame
	}
	for range fields {
		key, err := r.in.ReadStringAsBytes(nil) // bounded by mostKeyBytes; a key of bytes is none
		if err != nil {
			return f, err
		}
		switch string(key) {
		case "k":
			f.Kind, err = r.in.ReadInt()
		case "q":
			f.Seq, err = r.in.ReadInt64()
		case "a":
			f.Reply, err = r.in.ReadBool()
		case "b":
			f.Body, err = r.body()
		default:
			err = r.in.Skip()
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

func (r frameReader) body() ([]byte, error) {
	if r.in.IsNil() {
		return nil, r.in.ReadNil()
	}
	size, err := r.in.ReadBytesHeader()
	if err != nil {
		return nil, err
	}
	if size > mostBodyBytes {
		return nil, errFrame
	}
	body := make([]byte, 0, min(size, bodyPieceBytes))
	for len(body) < int(size) {
		had := len(body)
		body = append(body, make([]byte, min(int(size)-had, bodyPieceBytes))...)
		if _, err := r.in.ReadFull(body[had:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}
