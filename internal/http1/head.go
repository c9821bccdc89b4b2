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

// Names, in lower case, of the fields that determine how a request is parsed.
const (
	nameConnection       = "connection"
	nameContentLength    = "content-length"
	nameExpect           = "expect"
	nameHost             = "host"
	nameTransferEncoding = "transfer-encoding"
)

// hopByHopFields lists the hop-by-hop fields, in lower case.
var hopByHopFields = map[string]bool{
	nameConnection: true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, nameTransferEncoding: true, "upgrade": true,
}

// singletonFields lists fields that may occur only once: if they were repeated, some parsers would
// use the first value and others the last.
var singletonFields = map[string]bool{"authorization": true, "beechtide-attempt-id": true, "beechtide-time-left": true, "beechtide-model": true, "last-event-id": true}

// head is a parsed request line and its fields.
type head struct {
	method, target, version string
	host                    string
	fields                  []field // fields to pass on, except those represented by other members
	length                  int64   // of the body; 0 if it is chunked
	chunked                 bool
	hasLength               bool
	expectsContinue         bool // the client expects 100 (Continue)
	closeConn, keepAlive    bool // Connection options close and keep-alive
}

// parseHead parses a complete head, including its last empty line. Lines end with CRLF.
func parseHead(raw []byte) (*head, *Error) {
	line, rest, _ := bytes.Cut(raw, crlf)
	h := &head{}
	if err := h.parseRequestLine(string(line)); err != nil {
		return nil, err
	}
	var fields []field
	for line := range bytes.SplitSeq(rest[:len(rest)-len(crlf)], crlf) {
		if len(line) == 0 {
			continue // after the last CRLF
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	if err := h.parseFields(fields); err != nil {
		return nil, err
	}
	return h, nil
}

// parseRequestLine parses method, target and version, separated by single spaces.
func (h *head) parseRequestLine(line string) *Error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !IsToken(method) || !isTarget(target) {
		return badRequest("malformed request line")
	}
	switch {
	case version == version10, version == version11:
	case len(version) == len(version11) && strings.HasPrefix(version, "HTTP/") && isDigit(version[5]) && version[6] == '.' && isDigit(version[7]):
		return &Error{statusVersionNotSupported, "the version of HTTP is not 1.0 or 1.1"}
	default:
		return badRequest("malformed request line")
	}
	h.method, h.target, h.version = method, target, version
	return nil
}

// isTarget reports whether a target has only valid URI characters and complete percent
// escapes.
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

// parseFields validates the fields, stores the values that determine how the request is
// parsed, and selects the fields to pass on.
func (h *head) parseFields(fields []field) *Error {
	hosts := 0
	var connectionNames map[string]bool // field names listed in Connection
	for i, f := range fields {
		if singletonFields[f.lower] && slices.ContainsFunc(fields[:i], func(other field) bool { return other.lower == f.lower }) {
			return badRequest("more than one " + f.name)
		}
		var err *Error
		switch f.lower {
		case nameHost:
			hosts++
			h.host = f.value
		case nameContentLength:
			err = h.parseContentLength(f.value)
		case nameTransferEncoding:
			err = h.parseTransferEncoding(f.value)
		case nameExpect:
			err = h.parseExpect(f.value)
		case nameConnection:
			connectionNames = h.parseConnection(f.value, connectionNames)
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
	h.selectFields(fields, connectionNames)
	return h.resolveAbsoluteTarget()
}

// selectFields stores the fields to pass on: all except hop-by-hop fields and those that appendTo
// writes itself.
func (h *head) selectFields(fields []field, connectionNames map[string]bool) {
	for _, f := range fields {
		switch f.lower {
		case nameHost, nameContentLength, nameExpect:
			continue
		}
		if !hopByHopFields[f.lower] && (!connectionNames[f.lower] || endToEnd(f.lower)) {
			h.fields = append(h.fields, f)
		}
	}
}

// endToEnd reports whether a field is passed on even if Connection lists it.
func endToEnd(lower string) bool {
	return strings.HasPrefix(lower, "beechtide-") || lower == "authorization" || lower == "last-event-id" || lower == "content-type"
}

func (h *head) parseContentLength(value string) *Error {
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

func (h *head) parseTransferEncoding(value string) *Error {
	switch {
	case h.chunked || h.version == version10:
		return badRequest("the transfer coding can be read in two ways")
	case !strings.EqualFold(value, "chunked"):
		return &Error{statusNotImplemented, "a transfer coding other than chunked"}
	}
	h.chunked = true
	return nil
}

func (h *head) parseExpect(value string) *Error {
	if !strings.EqualFold(value, "100-continue") {
		return &Error{statusExpectationFailed, "an expectation other than 100-continue"}
	}
	h.expectsContinue = h.version == version11
	return nil
}

// parseConnection parses the options of a Connection field, and returns the field names listed
// so far.
func (h *head) parseConnection(value string, connectionNames map[string]bool) map[string]bool {
	if connectionNames == nil {
		connectionNames = map[string]bool{}
	}
	for option := range strings.SplitSeq(value, ",") {
		switch option = strings.ToLower(strings.Trim(option, " \t")); option {
		case "close":
			h.closeConn = true
		case "keep-alive":
			h.keepAlive = true
		default:
			connectionNames[option] = true
		}
	}
	return connectionNames
}

// resolveAbsoluteTarget replaces an absolute target by its path. The host of the target
// overrides the Host field.
func (h *head) resolveAbsoluteTarget() *Error {
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
	case h.closeConn:
		b = appendField(b, "Connection", "close")
	case h.keepAlive:
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
