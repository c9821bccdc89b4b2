package http1

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Versions of the protocol.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// Names of the fields that say how a request is read, in lower case.
const (
	nameConnection       = "connection"
	nameContentLength    = "content-length"
	nameExpect           = "expect"
	nameHost             = "host"
	nameTransferEncoding = "transfer-encoding"
)

// singleConnection are fields that concern one connection only, in lower case.
var singleConnection = map[string]bool{
	nameConnection: true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, nameTransferEncoding: true, "upgrade": true,
}

// onlyOnce are fields of which one reader would take the first and another the last.
var onlyOnce = map[string]bool{"authorization": true, "beechtide-attempt-id": true, "beechtide-time-left": true, "beechtide-model": true, "last-event-id": true}

// head is a request line and its fields.
type head struct {
	method, target, version string
	host                    string
	fields                  []field // but for those that are given below
	length                  int64   // of the body; 0 where it is chunked
	chunked                 bool
	hasLength               bool
	expects                 bool // 100 (Continue)
	closes, keeps           bool // what the client wants of the connection
}

// parseHead parses a head with its last empty line, whose lines end with CRLF.
func parseHead(raw []byte) (*head, *Error) {
	line, rest, _ := bytes.Cut(raw, crlf)
	h := &head{}
	if err := h.parseRequestLine(string(line)); err != nil {
		return nil, err
	}
	var fields []field
	for line := range bytes.SplitSeq(rest[:len(rest)-len(crlf)], crlf) {
		if len(line) == 0 {
			continue // behind the last line end
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	if err := h.takeFields(fields); err != nil {
		return nil, err
	}
	return h, nil
}

// parseRequestLine parses method, target and version, with one space between them.
func (h *head) parseRequestLine(line string) *Error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !IsToken(method) || !isTarget(target) {
		return badRequest("malformed request line")
	}
	switch {
	case version == version10, version == version11:
	case len(version) == len(version11) && strings.HasPrefix(version, "HTTP/") && isDigit(version[5]) && version[6] == '.' && isDigit(version[7]):
		return &Error{statusVersion, "the version of HTTP is not 1.0 or 1.1"}
	default:
		return badRequest("malformed request line")
	}
	h.method, h.target, h.version = method, target, version
	return nil
}

// isTarget reports whether a target has characters of a URI only, and whole escapes.
func isTarget(target string) bool {
	for i := range len(target) {
		switch c := target[i]; {
		case c <= ' ', c >= 0x7f, c == '#':
			return false
		case c == '%' && !isEscape(target[i:]):
			return false
		}
	}
	return target != ""
}

// isEscape reports whether a string begins with a percent sign and two hexadecimal digits.
func isEscape(s string) bool {
	if len(s) < 3 {
		return false
	}
	_, first := hexValue(s[1])
	_, second := hexValue(s[2])
	return first && second
}

// takeFields looks at the fields that say how the request is read.
func (h *head) takeFields(fields []field) *Error {
	hosts := 0
	var listed map[string]bool // by Connection
	for i, f := range fields {
		if onlyOnce[f.lower] && slices.ContainsFunc(fields[:i], func(other field) bool { return other.lower == f.lower }) {
			return badRequest("more than one " + f.name)
		}
		var err *Error
		switch f.lower {
		case nameHost:
			hosts++
			h.host = f.value
		case nameContentLength:
			err = h.takeLength(f.value)
		case nameTransferEncoding:
			err = h.takeEncoding(f.value)
		case nameExpect:
			err = h.takeExpect(f.value)
		case nameConnection:
			listed = h.takeConnection(f.value, listed)
		}
		if err != nil {
			return err
		}
	}
	if h.chunked && h.hasLength {
		return badRequest("a length and a transfer coding")
	}
	if hosts > 1 || hosts == 0 && h.version == version11 || !isHost(h.host) {
		return badRequest("not one valid Host")
	}
	h.keep(fields, listed)
	return h.takeAbsoluteTarget()
}

// keep keeps the fields that are passed on.
func (h *head) keep(fields []field, listed map[string]bool) {
	for _, f := range fields {
		switch f.lower {
		case nameHost, nameContentLength, nameExpect:
			continue
		}
		if !singleConnection[f.lower] && (!listed[f.lower] || endToEnd(f.lower)) {
			h.fields = append(h.fields, f)
		}
	}
}

// endToEnd reports whether a field is meant for the recipient, whatever Connection lists.
func endToEnd(lower string) bool {
	return strings.HasPrefix(lower, "beechtide-") || lower == "authorization" || lower == "last-event-id" || lower == "content-type"
}

func (h *head) takeLength(value string) *Error {
	if h.hasLength {
		return badRequest("more than one Content-Length")
	}
	if !isDigits(value) {
		return badRequest("malformed Content-Length")
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return &Error{statusBodyTooLarge, "Content-Length is too large"}
	}
	h.length, h.hasLength = length, true
	return nil
}

func (h *head) takeEncoding(value string) *Error {
	switch {
	case h.chunked || h.version == version10:
		return badRequest("the transfer coding can be read in two ways")
	case !strings.EqualFold(value, "chunked"):
		return &Error{statusNotImplemented, "a transfer coding other than chunked"}
	}
	h.chunked = true
	return nil
}

func (h *head) takeExpect(value string) *Error {
	if !strings.EqualFold(value, "100-continue") {
		return &Error{statusExpectationFailed, "an expectation other than 100-continue"}
	}
	h.expects = h.version == version11
	return nil
}

// takeConnection takes the options of a Connection field, and returns the names that were
// listed so far.
func (h *head) takeConnection(value string, listed map[string]bool) map[string]bool {
	if listed == nil {
		listed = map[string]bool{}
	}
	for option := range strings.SplitSeq(value, ",") {
		switch option = strings.ToLower(strings.Trim(option, " \t")); option {
		case "close":
			h.closes = true
		case "keep-alive":
			h.keeps = true
		default:
			listed[option] = true
		}
	}
	return listed
}

// takeAbsoluteTarget brings a target with scheme and host to one that is a path. That host
// counts, whatever the field Host says.
func (h *head) takeAbsoluteTarget() *Error {
	if strings.HasPrefix(h.target, "/") {
		return nil
	}
	scheme, rest, ok := strings.Cut(h.target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return badRequest("the target is no path and no address of HTTP")
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	host, path := rest[:end], rest[end:]
	if host == "" || !isHost(host) {
		return badRequest("the target has no valid host")
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	h.host, h.target = host, path
	return nil
}

// appendTo appends the head in its canonical form.
func (h *head) appendTo(b []byte) []byte {
	b = append(b, h.method...)
	b = append(b, ' ')
	b = append(b, h.target...)
	b = append(b, ' ')
	b = append(b, h.version...)
	b = append(b, crlf...)
	b = appendField(b, "Host", h.host)
	for _, f := range h.fields {
		b = appendField(b, f.name, f.value)
	}
	switch {
	case h.chunked:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case h.hasLength || h.method != "GET" && h.method != "HEAD":
		b = appendField(b, "Content-Length", strconv.FormatInt(h.length, 10))
	}
	switch {
	case h.closes:
		b = appendField(b, "Connection", "close")
	case h.keeps:
		b = appendField(b, "Connection", "keep-alive")
	}
	return append(b, crlf...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, crlf...)
}
