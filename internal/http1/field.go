package http1

import (
	"bytes"
	"net/textproto"
	"strings"
)

// field is one header field.
type field struct {
	name  string // canonical, for example Content-Length
	lower string // name in lower case
	value string // without surrounding white space
}

// parseField parses a header line. White space before the colon or at the beginning of the
// line is an error, because parsers interpret it differently.
func parseField(line []byte) (field, *Error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsToken(string(name)) {
		return field{}, badRequest("malformed field name")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return field{}, badRequest("a field value with a control character")
		}
	}
	canonical := textproto.CanonicalMIMEHeaderKey(string(name))
	return field{name: canonical, lower: strings.ToLower(canonical), value: string(value)}, nil
}

// parseChunkSize parses the first line of a chunk: a size in hexadecimal digits, followed by
// extensions, which are discarded.
func parseChunkSize(line []byte) (int64, *Error) {
	const maxDigits = 15 // fits into 63 bits
	digits := 0
	size := int64(0)
	for digits < len(line) {
		value, ok := hexValue(line[digits])
		if !ok {
			break
		}
		if digits++; digits > maxDigits {
			return 0, badRequest("the size of a chunk is too large")
		}
		size = size<<4 | value
	}
	if digits == 0 {
		return 0, badRequest("malformed size of a chunk")
	}
	rest := bytes.TrimLeft(line[digits:], " \t")
	if len(rest) > 0 && rest[0] != ';' {
		return 0, badRequest("malformed size of a chunk")
	}
	for _, c := range rest {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, badRequest("a chunk extension with a control character")
		}
	}
	return size, nil
}

func hexValue(c byte) (int64, bool) {
	switch {
	case isDigit(c):
		return int64(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10, true
	}
	return 0, false
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isDigits(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) {
			return false
		}
	}
	return s != ""
}

// IsToken reports whether a string is a token as defined by RFC 9110, for example a field
// name.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// isHost reports whether a string is empty or has only characters that are valid in a host
// with an optional port.
func isHost(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("/?#@\\,\"<>^`{|}", c) >= 0 {
			return false
		}
	}
	return true
}
