package upstream

import (
	"bytes"
	"net"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/http1"
)

// The parser of the HTTP library is lenient: it accepts any first line and any line
// endings, and uses the last of two lengths, so that bytes that are not a response could
// be accepted as one. The head is therefore validated in the buffer before the library
// parses it.

var (
	headEnd    = []byte("\r\n\r\n")
	lineEnd    = []byte("\r\n")
	statusLine = []byte("HTTP/1.1 ")
)

// maxInterimResponses limits the interim responses (1xx) before the final one.
const maxInterimResponses = 2

// awaitHead waits until the complete head of the final response is in the buffer, and
// validates it. Interim responses are skipped.
func awaitHead(in reader) error {
	for range maxInterimResponses + 1 {
		head, err := peekHead(in)
		if err != nil {
			return err
		}
		if !validHead(head) {
			return errors.Wrap(ErrBroken, "malformed head")
		}
		if status := head[len(statusLine):]; status[0] != '1' {
			return nil
		}
		if err := in.Skip(len(head)); err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
	}
	return errors.Wrap(ErrBroken, "too many interim responses")
}

// peekHead returns the next head, including its last empty line, without consuming it.
func peekHead(in reader) ([]byte, error) {
	for {
		buffered, err := in.Peek(in.Len())
		if err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			return buffered[:end+len(headEnd)], nil
		}
		if _, err := in.Peek(len(buffered) + 1); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return nil, errors.Wrap(ErrTimeout, err.Error())
			}
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
	}
}

// validHead reports whether a head is well-formed HTTP/1.1 with at most one body length.
func validHead(head []byte) bool {
	first, lengths := true, 0
	for line := range bytes.SplitSeq(head[:len(head)-len(headEnd)], lineEnd) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return false
		}
		if first {
			first = false
			if !validStatusLine(line) {
				return false
			}
			continue
		}
		givesLength, ok := checkField(line)
		if !ok {
			return false
		}
		if givesLength {
			lengths++
		}
	}
	return lengths <= 1
}

// checkField validates one field of a head; givesLength reports whether the field
// determines the length of the body.
func checkField(line []byte) (givesLength, ok bool) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !http1.IsToken(string(name)) {
		return false, false
	}
	if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return true, bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	}
	return bytes.EqualFold(name, []byte("Content-Length")), true
}

// validStatusLine reports whether a line is an HTTP/1.1 status line with a status of
// 100 to 599.
func validStatusLine(line []byte) bool {
	status, ok := bytes.CutPrefix(line, statusLine)
	if !ok || len(status) < 3 || len(status) > 3 && status[3] != ' ' {
		return false
	}
	return '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
