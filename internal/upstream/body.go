package upstream

import (
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/memorybudget"
)

// Sizes of the segments of a Body, in bytes: each is twice as large as the one before it.
const (
	minSegmentBytes = chunkBytes
	maxSegmentBytes = 64 << 10
)

// Body is a complete body. It is kept in segments, so that it is not copied as it grows, and its
// memory counts in a budget until Close.
type Body struct {
	segments [][]byte
	size     int
	account  memorybudget.Account
}

// Size returns the number of bytes.
func (b *Body) Size() int { return b.size }

// Bytes returns the body as one slice.
func (b *Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	out := make([]byte, 0, b.size)
	for _, segment := range b.segments {
		out = append(out, segment...)
	}
	return out
}

// Read implements io.Reader. A byte that has been read cannot be read again.
func (b *Body) Read(out []byte) (int, error) {
	for len(b.segments) > 0 && len(b.segments[0]) == 0 {
		b.segments = b.segments[1:]
	}
	if len(b.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(out, b.segments[0])
	b.segments[0] = b.segments[0][n:]
	return n, nil
}

// Close returns the memory to the budget. The body must not be used after that.
func (b *Body) Close() error {
	b.segments = nil
	b.account.Release()
	return nil
}

// space returns where the next bytes are to be read to.
func (b *Body) space() ([]byte, error) {
	if last := len(b.segments) - 1; last >= 0 && len(b.segments[last])+chunkBytes <= cap(b.segments[last]) {
		used := len(b.segments[last])
		return b.segments[last][used : used+chunkBytes], nil
	}
	size := min(minSegmentBytes<<min(len(b.segments), 16), maxSegmentBytes)
	if err := b.account.Grow(size); err != nil {
		return nil, err
	}
	b.segments = append(b.segments, make([]byte, 0, size))
	return b.segments[len(b.segments)-1][:chunkBytes], nil
}

// added records that n bytes were read to the start of space.
func (b *Body) added(n int) {
	last := &b.segments[len(b.segments)-1]
	*last = (*last)[:len(*last)+n]
	b.size += n
}

// ReadBody reads the complete body of a response whose head has been read. A body that is truncated,
// longer than maxBytes, or too large for what is left of the budget is an error; the connection must not
// be reused after that. A nil budget has no limit. The caller closes the body.
func ReadBody(r *protocol.Response, maxBytes int, budget *memorybudget.Budget) (*Body, error) {
	body := &Body{account: budget.Open()}
	if err := body.readAll(r, maxBytes); err != nil {
		_ = body.Close()
		return nil, err
	}
	return body, nil
}

func (b *Body) readAll(r *protocol.Response, maxBytes int) error {
	if announced := r.Header.ContentLength(); announced > maxBytes && !r.Header.MustSkipContentLength() {
		return errTooLong
	}
	for stream := r.BodyStream(); ; {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := stream.Read(space)
		b.added(n)
		if b.size > maxBytes {
			return errTooLong
		}
		if err != nil {
			return checkEnd(r, b.size, err)
		}
	}
}

// DiscardBody reads the complete body of a response and keeps none of it. The errors are those of
// ReadBody.
func DiscardBody(r *protocol.Response, maxBytes int) error {
	stream, chunk, size := r.BodyStream(), make([]byte, chunkBytes), 0
	for {
		n, err := stream.Read(chunk)
		if size += n; size > maxBytes {
			return errTooLong
		}
		if err != nil {
			return checkEnd(r, size, err)
		}
	}
}

// errTooLong means that a body is longer than the caller takes.
var errTooLong = errors.Wrap(ErrBroken, "the body is too long")

// checkEnd returns nil if the error that ended a body is io.EOF and the body is complete.
func checkEnd(r *protocol.Response, size int, end error) error {
	if end != io.EOF {
		return errors.Wrap(ErrBroken, end.Error())
	}
	if want := r.Header.ContentLength(); want >= 0 && size != want && !r.Header.MustSkipContentLength() {
		return errors.Wrap(ErrBroken, "the body has another length than announced")
	}
	return nil
}
