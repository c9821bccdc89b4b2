package http1

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// ErrNeedMore is returned by Read if more bytes of the connection are needed.
var ErrNeedMore = errors.New("http1: more bytes are needed")

const (
	// maxChunkLine limits the line with the size and extensions of a chunk, in bytes.
	maxChunkLine = 1024
	// headReserveBytes is by how much the reserved memory of an unfinished head grows at a time, in bytes.
	headReserveBytes = 4 << 10
	// maxEmptyLines limits the empty lines before a request.
	maxEmptyLines = 4
)

// stage is the parser state: which element comes next on the connection.
type stage int

const (
	stageHead stage = iota
	stageBody
	stageChunkSize
	stageChunkData
	stageChunkEnd
	stageTrailers
)

// Rewriter rewrites the requests of one connection. A zero Rewriter with Limits set is ready
// for a new connection.
type Rewriter struct {
	// Limits returns the current limits. It is called at the start of each request.
	Limits func() Limits
	// Reserve reserves memory for bytes of the current request and reports whether there was any. It may be
	// nil. The memory is needed until the request has been answered.
	Reserve func(bytes int64) bool

	in  []byte // received bytes that have not been parsed
	out []byte // rewritten bytes of the current request that have not been returned

	stage           stage
	activeLimits    Limits // for the current request
	reservedHead    int    // bytes reserved for the current head
	scanned         int    // bytes of in that have been searched for the end of a head
	emptyLines      int    // number of empty lines before the current head
	remaining       int64  // remaining bytes of the body or of the chunk
	bodyBytes       int64  // decoded bytes of a chunked body so far
	trailerBytes    int    // bytes of trailers so far
	expectsContinue bool   // the client waits for an interim response before it sends the body
	failed          *Error
}

// Write appends bytes received on the connection.
func (r *Rewriter) Write(b []byte) { r.in = append(r.in, b...) }

// Buffered returns the number of bytes that are buffered and not yet returned by Read.
func (r *Rewriter) Buffered() int { return len(r.in) + len(r.out) }

// BetweenRequests reports whether the connection is between requests: the last one is complete and
// nothing of the next one has arrived.
func (r *Rewriter) BetweenRequests() bool { return r.stage == stageHead && r.Buffered() == 0 }

// TakeExpectation reports whether the client waits for 100 (Continue) before it sends the
// body, and clears the flag, so that the response is sent only once.
func (r *Rewriter) TakeExpectation() bool {
	expects := r.expectsContinue && len(r.in) == 0
	r.expectsContinue = false
	return expects
}

// Read copies rewritten bytes of the current request to b. It returns ErrNeedMore if more bytes
// of the connection are needed, and an *Error if the connection must be closed. A single
// call never returns bytes of two requests.
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
			return 0, ErrNeedMore
		}
	}
	n := copy(b, r.out)
	if r.out = r.out[n:]; len(r.out) == 0 {
		r.out = nil
	}
	return n, nil
}

// copyBody copies bytes of a body of known length unchanged.
func (r *Rewriter) copyBody(b []byte) int {
	if r.stage != stageBody {
		return 0
	}
	n := copy(b, r.in[:min(int64(len(r.in)), r.remaining)])
	r.consume(n)
	if r.remaining -= int64(n); r.remaining == 0 {
		r.stage = stageHead
	}
	return n
}

// consume removes n parsed bytes from the input buffer.
func (r *Rewriter) consume(n int) {
	r.in = r.in[n:]
	r.scanned = 0
}

// release frees an empty input buffer, because most connections are idle.
func (r *Rewriter) release() {
	if len(r.in) == 0 {
		r.in = nil
	}
}

// step parses the next element of the request. done is false if more bytes are needed.
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
	return false, nil // stageBody is handled by copyBody
}

// readHead parses the head of a request once it has arrived completely.
func (r *Rewriter) readHead() (done bool, err *Error) {
	if r.scanned == 0 {
		r.activeLimits = r.Limits()
		if err := r.skipEmptyLines(); err != nil {
			return false, err
		}
	}
	if len(r.in) < len(crlf) {
		return false, nil // may be the first byte of an empty line
	}
	size, err := r.findHeadEnd()
	switch {
	case err != nil:
		return false, err
	case size > r.activeLimits.HeadBytes, size == 0 && len(r.in) > r.activeLimits.HeadBytes:
		return false, &Error{statusHeadTooLarge, "the head is larger than " + strconv.Itoa(r.activeLimits.HeadBytes) + " bytes"}
	case size == 0:
		return false, r.reserveHead()
	}
	head, err := parseHead(r.in[:size])
	if err != nil {
		return false, err
	}
	if head.length > r.activeLimits.BodyBytes {
		return false, r.bodyTooLarge()
	}
	if err := r.reserve(head.length); err != nil {
		return false, err
	}
	r.consume(size)
	r.emptyLines, r.reservedHead = 0, 0
	r.beginBody(head)
	return true, nil
}

// beginBody writes the canonical head and prepares for the body of the request.
func (r *Rewriter) beginBody(head *head) {
	r.out = head.appendTo(r.out)
	r.expectsContinue = head.expectsContinue
	r.bodyBytes, r.remaining, r.trailerBytes = 0, head.length, 0
	switch {
	case head.chunked:
		r.stage = stageChunkSize
	case head.length > 0:
		r.stage = stageBody
	}
}

// reserve reserves memory for bytes of the current request.
func (r *Rewriter) reserve(size int64) *Error {
	if size > 0 && r.Reserve != nil && !r.Reserve(size) {
		return &Error{statusUnavailable, "no memory is left for the request"}
	}
	return nil
}

// reserveHead reserves memory for the received bytes of a head that has not ended.
func (r *Rewriter) reserveHead() *Error {
	for len(r.in) > r.reservedHead+headReserveBytes {
		if err := r.reserve(headReserveBytes); err != nil {
			return err
		}
		r.reservedHead += headReserveBytes
	}
	return nil
}

func (r *Rewriter) bodyTooLarge() *Error {
	return &Error{statusBodyTooLarge, "the body is larger than " + strconv.FormatInt(r.activeLimits.BodyBytes, 10) + " bytes"}
}

// skipEmptyLines skips empty lines before a request.
func (r *Rewriter) skipEmptyLines() *Error {
	for bytes.HasPrefix(r.in, crlf) {
		if r.emptyLines++; r.emptyLines > maxEmptyLines {
			return badRequest("too many empty lines ahead of a request")
		}
		r.in = r.in[len(crlf):]
	}
	return nil
}

// findHeadEnd returns the size of the head, or 0 if its end has not arrived. Lines must end
// with CRLF: a bare CR or LF is an error, because only some parsers treat it as a line end.
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

// readChunkSize parses the first line of a chunk.
func (r *Rewriter) readChunkSize() (done bool, err *Error) {
	line, err := r.readLine(maxChunkLine)
	if line == nil || err != nil {
		return false, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return false, err
	}
	if size > r.activeLimits.BodyBytes || r.bodyBytes+size > r.activeLimits.BodyBytes {
		return false, r.bodyTooLarge()
	}
	if err := r.reserve(size); err != nil {
		return false, err
	}
	r.bodyBytes += size
	if r.remaining = size; size > 0 {
		r.stage = stageChunkData
		return true, nil
	}
	r.stage = stageTrailers
	return true, nil
}

// readLine consumes a line and returns it without CRLF, or nil if its end has not arrived.
func (r *Rewriter) readLine(limit int) ([]byte, *Error) {
	end := bytes.IndexByte(r.in, '\n')
	if end < 0 {
		if len(r.in) > limit {
			return nil, badRequest("a line of the body is too long")
		}
		return nil, nil
	}
	if end == 0 || r.in[end-1] != '\r' {
		return nil, badRequest("a line of the body does not end with CRLF")
	}
	line := r.in[:end-1]
	if len(line) > limit {
		return nil, badRequest("a line of the body is too long")
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, badRequest("a line of the body has a bare CR")
	}
	r.consume(end + 1)
	return line, nil
}

// readChunkData writes the received bytes of a chunk as a separate chunk.
func (r *Rewriter) readChunkData() (done bool) {
	n := int(min(int64(len(r.in)), r.remaining))
	if n == 0 {
		return false
	}
	r.out = strconv.AppendInt(r.out, int64(n), 16)
	r.out = append(r.out, crlf...)
	r.out = append(r.out, r.in[:n]...)
	r.out = append(r.out, crlf...)
	r.consume(n)
	if r.remaining -= int64(n); r.remaining == 0 {
		r.stage = stageChunkEnd
	}
	return true
}

// readChunkEnd consumes the CRLF after the data of a chunk.
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

// readTrailers validates and discards the next trailer field after the last chunk.
func (r *Rewriter) readTrailers() (done bool, err *Error) {
	line, err := r.readLine(r.activeLimits.HeadBytes)
	if line == nil || err != nil {
		return false, err
	}
	if len(line) == 0 {
		r.out = append(r.out, "0\r\n\r\n"...)
		r.stage = stageHead
		return true, nil
	}
	if r.trailerBytes += len(line) + len(crlf); r.trailerBytes > r.activeLimits.HeadBytes {
		return false, &Error{statusHeadTooLarge, "the trailers are larger than " + strconv.Itoa(r.activeLimits.HeadBytes) + " bytes"}
	}
	if _, err := parseField(line); err != nil {
		return false, err
	}
	return true, nil
}
