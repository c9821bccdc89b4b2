package http1

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// ErrMore says that more bytes of the connection are needed.
var ErrMore = errors.New("http1: more bytes are needed")

const (
	// maxChunkLine bounds the line of a chunk's size and its extensions, in bytes.
	maxChunkLine = 1024
	// maxEmptyLines bounds the empty lines ahead of a request.
	maxEmptyLines = 4
)

// stage is what comes next on a connection.
type stage int

const (
	stageHead stage = iota
	stageBody
	stageChunkSize
	stageChunkData
	stageChunkEnd
	stageTrailers
)

// Rewriter rewrites the requests of one connection. The zero Rewriter, with Limits set, is at
// the beginning of a connection.
type Rewriter struct {
	// Limits returns the limits in force as a request begins.
	Limits func() Limits

	in  []byte // bytes of the connection that are not dealt with yet
	out []byte // bytes of the present request that are not returned yet

	stage      stage
	inForce    Limits // for the present request
	scanned    int    // bytes of in that have been searched for the end of a head
	emptyLines int    // ahead of the present head
	left       int64  // of the body, or of the chunk
	body       int64  // decoded bytes of a chunked body so far
	trailers   int    // bytes of trailers so far
	expects    bool   // the client waits for an interim answer before it sends the body
	failed     *Error
}

// Write adds bytes of the connection.
func (r *Rewriter) Write(b []byte) { r.in = append(r.in, b...) }

// Buffered returns how many bytes of the connection have not been returned.
func (r *Rewriter) Buffered() int { return len(r.in) + len(r.out) }

// Between reports whether no request has begun that is not complete.
func (r *Rewriter) Between() bool { return r.stage == stageHead && r.Buffered() == 0 }

// TakeExpectation reports, once, whether the client waits for 100 (Continue) before it sends
// the body.
func (r *Rewriter) TakeExpectation() bool {
	expects := r.expects && len(r.in) == 0
	r.expects = false
	return expects
}

// Read copies bytes of the present request to b. It returns ErrMore where more bytes of the
// connection are needed, and an *Error where the connection has to end. It never returns
// bytes of two requests.
func (r *Rewriter) Read(b []byte) (int, error) {
	for len(r.out) == 0 {
		if r.failed != nil {
			return 0, r.failed
		}
		if n := r.copyBody(b); n > 0 {
			return n, nil
		}
		if done, err := r.step(); err != nil {
			r.failed = err
		} else if !done {
			r.release()
			return 0, ErrMore
		}
	}
	n := copy(b, r.out)
	if r.out = r.out[n:]; len(r.out) == 0 {
		r.out = nil
	}
	return n, nil
}

// copyBody copies bytes of a body of known length as they are.
func (r *Rewriter) copyBody(b []byte) int {
	if r.stage != stageBody {
		return 0
	}
	n := copy(b, r.in[:min(int64(len(r.in)), r.left)])
	r.consume(n)
	if r.left -= int64(n); r.left == 0 {
		r.stage = stageHead
	}
	return n
}

// consume drops bytes from the beginning of the connection's.
func (r *Rewriter) consume(n int) {
	r.in = r.in[n:]
	r.scanned = 0
}

// release gives memory back that holds nothing: most connections are idle.
func (r *Rewriter) release() {
	if len(r.in) == 0 {
		r.in = nil
	}
}

// step deals with the next part of the connection. done is false where more bytes are needed.
func (r *Rewriter) step() (done bool, err *Error) {
	switch r.stage {
	case stageHead:
		return r.readHead()
	case stageChunkSize:
		return r.readChunkSize()
	case stageChunkData:
		return r.readChunkData(), nil
	case stageChunkEnd:
		return r.readChunkEnd()
	case stageTrailers:
		return r.readTrailers()
	}
	return false, nil // the bytes of a body
}

// readHead reads the head of a request once all of it is there.
func (r *Rewriter) readHead() (done bool, err *Error) {
	if r.scanned == 0 {
		r.inForce = r.Limits()
		if err := r.skipEmptyLines(); err != nil {
			return false, err
		}
	}
	if len(r.in) < len(crlf) {
		return false, nil // perhaps the first byte of an empty line
	}
	size, err := r.findHeadEnd()
	switch {
	case err != nil:
		return false, err
	case size > r.inForce.HeadBytes, size == 0 && len(r.in) > r.inForce.HeadBytes:
		return false, &Error{statusHeadTooLarge, "the head is larger than " + strconv.Itoa(r.inForce.HeadBytes) + " bytes"}
	case size == 0:
		return false, nil
	}
	head, err := parseHead(r.in[:size])
	if err != nil {
		return false, err
	}
	if head.length > r.inForce.BodyBytes {
		return false, r.bodyTooLarge()
	}
	r.consume(size)
	r.emptyLines = 0
	r.begin(head)
	return true, nil
}

// begin goes on with the body of a request.
func (r *Rewriter) begin(head *head) {
	r.out = head.appendTo(r.out)
	r.expects = head.expects
	r.body, r.left, r.trailers = 0, head.length, 0
	switch {
	case head.chunked:
		r.stage = stageChunkSize
	case head.length > 0:
		r.stage = stageBody
	}
}

func (r *Rewriter) bodyTooLarge() *Error {
	return &Error{statusBodyTooLarge, "the body is larger than " + strconv.FormatInt(r.inForce.BodyBytes, 10) + " bytes"}
}

// skipEmptyLines skips empty lines ahead of a request.
func (r *Rewriter) skipEmptyLines() *Error {
	for bytes.HasPrefix(r.in, crlf) {
		if r.emptyLines++; r.emptyLines > maxEmptyLines {
			return badRequest("too many empty lines ahead of a request")
		}
		r.in = r.in[len(crlf):]
	}
	return nil
}

// findHeadEnd returns the size of the head, or 0 where its end is not there yet. Lines end
// with CRLF and nothing else: some would read a bare CR or LF as the end of a line, and some
// would not.
func (r *Rewriter) findHeadEnd() (size int, err *Error) {
	for i := r.scanned; i < len(r.in); i++ {
		switch c := r.in[i]; {
		case c == '\n' && (i == 0 || r.in[i-1] != '\r'), c != '\n' && i > 0 && r.in[i-1] == '\r':
			return 0, badRequest("a line of the head does not end with CRLF")
		case c == '\n' && bytes.HasSuffix(r.in[:i+1], headEnd):
			return i + 1, nil
		}
	}
	r.scanned = len(r.in)
	return 0, nil
}

// readChunkSize reads the line that begins a chunk.
func (r *Rewriter) readChunkSize() (done bool, err *Error) {
	line, err := r.takeLine(maxChunkLine)
	if line == nil || err != nil {
		return false, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return false, err
	}
	if size > r.inForce.BodyBytes || r.body+size > r.inForce.BodyBytes {
		return false, r.bodyTooLarge()
	}
	r.body += size
	if r.left = size; size > 0 {
		r.stage = stageChunkData
		return true, nil
	}
	r.stage = stageTrailers
	return true, nil
}

// takeLine takes a line without its end. It returns nil where the end is not there yet.
func (r *Rewriter) takeLine(most int) ([]byte, *Error) {
	end := bytes.IndexByte(r.in, '\n')
	if end < 0 {
		if len(r.in) > most {
			return nil, badRequest("a line of the body is too long")
		}
		return nil, nil
	}
	if end == 0 || r.in[end-1] != '\r' {
		return nil, badRequest("a line of the body does not end with CRLF")
	}
	line := r.in[:end-1]
	if len(line) > most {
		return nil, badRequest("a line of the body is too long")
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, badRequest("a line of the body has a bare CR")
	}
	r.consume(end + 1)
	return line, nil
}

// readChunkData returns what there is of a chunk, as a chunk of its own.
func (r *Rewriter) readChunkData() (done bool) {
	n := int(min(int64(len(r.in)), r.left))
	if n == 0 {
		return false
	}
	r.out = strconv.AppendInt(r.out, int64(n), 16)
	r.out = append(r.out, crlf...)
	r.out = append(r.out, r.in[:n]...)
	r.out = append(r.out, crlf...)
	r.consume(n)
	if r.left -= int64(n); r.left == 0 {
		r.stage = stageChunkEnd
	}
	return true
}

// readChunkEnd reads the line end behind the bytes of a chunk.
func (r *Rewriter) readChunkEnd() (done bool, err *Error) {
	if len(r.in) < len(crlf) {
		return false, nil
	}
	if !bytes.HasPrefix(r.in, crlf) {
		return false, badRequest("a chunk is longer than its size")
	}
	r.consume(len(crlf))
	r.stage = stageChunkSize
	return true, nil
}

// readTrailers reads the fields behind the last chunk. They are checked and dropped.
func (r *Rewriter) readTrailers() (done bool, err *Error) {
	line, err := r.takeLine(r.inForce.HeadBytes)
	if line == nil || err != nil {
		return false, err
	}
	if len(line) == 0 {
		r.out = append(r.out, "0\r\n\r\n"...)
		r.stage = stageHead
		return true, nil
	}
	if r.trailers += len(line) + len(crlf); r.trailers > r.inForce.HeadBytes {
		return false, &Error{statusHeadTooLarge, "the trailers are larger than " + strconv.Itoa(r.inForce.HeadBytes) + " bytes"}
	}
	if _, err := parseField(line); err != nil {
		return false, err
	}
	return true, nil
}
