package upstream

import (
	"bufio"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

const (
	bufferBytes = 4096 // size of the reader's buffer; a complete head must fit
	chunkBytes  = 2048 // bytes of a body read at a time
)

// identityLength is the content length that the library reports for a body that ends
// with the connection.
const identityLength = -2

// reader passes the connection's bytes to the parser of the HTTP library. It deliberately
// has no Read method: with one, the library would read past the end of a body that is
// longer than its first chunk.
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

// readResponseHead waits for a complete and valid head, parses it, and sets the body stream of the
// response.
func readResponseHead(out *protocol.Response, in reader) error {
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

// untilClose is the body of a response without a length, which ends with the
// connection. It is complete if the runner closes the connection normally; a reset is
// an error. The library's own reader treats both as the end of the body.
type untilClose struct{ in *bufio.Reader }

func (u untilClose) Read(b []byte) (int, error) { return u.in.Read(b) }

// EndsWithConn reports whether the end of the connection marks the end of a response.
func EndsWithConn(r *protocol.Response) bool {
	_, ok := r.BodyStream().(untilClose)
	return ok
}

// ReadHead reads the head of the next response into out. The caller then reads the body from
// the body stream of out, which returns io.EOF only if the body is complete.
func (c *Conn) ReadHead(out *protocol.Response, deadline time.Time) error {
	_ = c.conn.SetReadDeadline(deadline)
	if c.interrupted.Load() { // checked after the deadline is set, which an interrupt replaces
		return errors.Wrap(ErrTimeout, "interrupted")
	}
	if c.sending.Load() {
		if err := awaitHead(c.in); err != nil {
			return err
		}
		c.setUserTimeout(time.Until(deadline)) // the runner responds already, and may read the rest of the body much later
	}
	if err := readResponseHead(out, c.in); err != nil {
		return err
	}
	c.ResponseCount++
	return nil
}

// Limits on responses to other requests that may precede the expected response: their
// number, and the body size of each.
const (
	maxForeignResponses = 2
	maxForeignBytes     = 1 << 20
)

// ReadHeadFor reads the head of the response to the request with this attempt id. A late
// second response to an earlier request may precede it; such a response is skipped, and
// the connection is not reused. Every response of a runner to a request has an attempt id;
// a response without one is an error.
func (c *Conn) ReadHeadFor(id string, out *protocol.Response, deadline time.Time) error {
	for range maxForeignResponses + 1 {
		out.Reset()
		if err := c.ReadHead(out, deadline); err != nil {
			return err
		}
		switch out.Header.Get(attemptID) {
		case id:
			return nil
		case "":
			return ErrMismatchedResponse
		}
		c.MarkTainted()
		if err := DiscardBody(out, maxForeignBytes); err != nil {
			return errors.Wrap(ErrMismatchedResponse, err.Error())
		}
	}
	return ErrMismatchedResponse
}
