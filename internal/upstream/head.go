package upstream

import (
	"bytes"
	"net"

	"github.com/pkg/errors"
)

// The library's reader is lenient: it takes any first line and any line ends, and
// of two lengths the last. What a runner in trouble sends could pass for an
// answer so. The head is therefore looked at, in the buffer, before it is read.

var (
	headEnd    = []byte("\r\n\r\n")
	lineEnd    = []byte("\r\n")
	statusLine = []byte("HTTP/1.1 ")
)

// mostInterim is how many interim answers (1xx) may stand before the answer.
const mostInterim = 2

// awaitHead waits until the whole head of an answer is in the buffer, and checks
// it. Interim answers are passed over.
func awaitHead(in reader) error {
	for range mostInterim + 1 {
		head, err := peekHead(in)
		if err != nil {
			return err
		}
		if !proper(head) {
			return errors.Wrap(ErrBroken, "not an answer")
		}
		if status := head[len(statusLine):]; status[0] != '1' {
			return nil
		}
		if err := in.Skip(len(head)); err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
	}
	return errors.Wrap(ErrBroken, "interim answers only")
}

// peekHead gives the head that is next, its last empty line included.
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
				return nil, errors.Wrap(ErrLate, err.Error())
			}
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
	}
}

// proper tells whether a head is one of HTTP/1.1 that can be read in one way.
func proper(head []byte) bool {
	first, bounds := true, 0
	for line := range bytes.SplitSeq(head[:len(head)-len(headEnd)], lineEnd) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return false
		}
		if first {
			first = false
			if !properStatus(line) {
				return false
			}
			continue
		}
		bound, ok := properField(line)
		if !ok {
			return false
		}
		if bound {
			bounds++
		}
	}
	return bounds <= 1
}

// properField checks one line of a head; bound tells whether it says where the
// body ends.
func properField(line []byte) (bound, ok bool) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !token(name) {
		return false, false
	}
	if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return true, bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	}
	return bytes.EqualFold(name, []byte("Content-Length")), true
}

func properStatus(line []byte) bool {
	status, ok := bytes.CutPrefix(line, statusLine)
	if !ok || len(status) < 3 || len(status) > 3 && status[3] != ' ' {
		return false
	}
	return '1' <= status[0] && status[0] <= '5' && digit(status[1]) && digit(status[2])
}

func digit(c byte) bool { return '0' <= c && c <= '9' }

// token tells whether a field's name is one: letters, digits and some signs.
func token(name []byte) bool {
	for _, c := range name {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && !digit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
