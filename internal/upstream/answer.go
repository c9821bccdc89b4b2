package upstream

import (
	"bufio"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

// Sizes of what is read: the buffer, in which a whole head has to fit, and the
// pieces of a body.
const (
	bufferBytes = 4096
	pieceBytes  = 2048
)

// identityLength is the library's mark of a body that ends with the conn.
const identityLength = -2

// reader hands the conn's bytes to the library's reader. It has no Read of its
// own: given one, the library reads past the end of a body that is longer than
// its first piece.
type reader struct{ in *bufio.Reader }

func newReader(in io.Reader) reader { return reader{bufio.NewReaderSize(in, bufferBytes)} }

func (r reader) Peek(n int) ([]byte, error) { return r.in.Peek(n) }
func (r reader) ReadByte() (byte, error)    { return r.in.ReadByte() }
func (r reader) Release() error             { return nil }
func (r reader) Len() int                   { return r.in.Buffered() }
func (r reader) Skip(n int) error {
	_, err := r.in.Discard(n)
	return err
}

func (r reader) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r.in, b)
	return b, err
}

// readHead reads a head, once all of it is there and has been checked, and makes
// the stream of its body.
func readHead(out *protocol.Response, in reader) error {
	if err := awaitHead(in); err != nil {
		return err
	}
	if err := resp.ReadHeaders(out, in); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	h := &out.Header
	if h.ContentLength() == identityLength && !h.MustSkipContentLength() {
		out.SetBodyStream(untilClose(in), identityLength)
		return nil
	}
	if err := resp.ReadRespBodyStream(out, in, 0, func(bool) error { return nil }); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}

// untilClose is the body of an answer without a length, which ends with the
// conn. It is whole where the runner closes the conn in order; a reset is an
// error. The library's reader takes either for the end.
type untilClose struct{ in *bufio.Reader }

func (u untilClose) Read(b []byte) (int, error) { return u.in.Read(b) }

// EndsWithConn tells whether only the end of the conn says where an answer ends.
func EndsWithConn(r *protocol.Response) bool {
	_, ok := r.BodyStream().(untilClose)
	return ok
}

// Head reads the head of the next answer. Its body is then read from the
// stream of out until the end, which comes as io.EOF only if it is whole.
func (l *Conn) Head(out *protocol.Response, deadline time.Time) error {
	_ = l.conn.SetReadDeadline(deadline)
	if l.interrupted.Load() { // after the deadline was set, which an interrupt replaces
		return errors.Wrap(ErrLate, "interrupted")
	}
	if l.sending.Load() {
		if err := awaitHead(l.in); err != nil {
			return err
		}
		l.setUserTimeout(time.Until(deadline)) // it is alive, and reads on when it likes
	}
	if err := readHead(out, l.in); err != nil {
		return err
	}
	l.Answers++
	return nil
}

// mostForeign is how many answers to other requests may stand before one's own,
// and mostForeignBytes how long the body of one may be.
const (
	mostForeign      = 2
	mostForeignBytes = 1 << 20
)

// HeadFor reads the head that answers the request of this id. A late second
// answer to an earlier request may stand before it; it is passed over, and the
// conn is not used again. Every answer of a runner says what it answers: one that
// does not is nobody's.
func (l *Conn) HeadFor(id string, out *protocol.Response, deadline time.Time) error {
	for range mostForeign + 1 {
		out.Reset()
		if err := l.Head(out, deadline); err != nil {
			return err
		}
		switch out.Header.Get(attemptID) {
		case id:
			return nil
		case "":
			return ErrForeign
		}
		l.Spoil()
		if _, err := ReadBody(out, mostForeignBytes); err != nil {
			return errors.Wrap(ErrForeign, err.Error())
		}
	}
	return ErrForeign
}

// ReadBody reads the whole body of an answer whose head has been read. A body
// that is cut short or longer than most bytes is an error; the conn is of no
// further use then.
func ReadBody(r *protocol.Response, most int) ([]byte, error) {
	stream, piece := r.BodyStream(), make([]byte, pieceBytes)
	var body []byte
	for {
		n, err := stream.Read(piece)
		body = append(body, piece[:n]...)
		switch {
		case len(body) > most:
			return nil, errors.Wrap(ErrBroken, "a body past its bound")
		case err == io.EOF:
			if want := r.Header.ContentLength(); want >= 0 && len(body) != want && !r.Header.MustSkipContentLength() {
				return nil, errors.Wrap(ErrBroken, "a body of another length")
			}
			return body, nil
		case err != nil:
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
	}
}
