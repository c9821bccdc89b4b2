package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

var testLimits = Limits{HeadBytes: 400, BodyBytes: 100}

// rewrite passes raw to a rewriter in pieces of chunkBytes, and returns the output. status is that
// of the error that ends the connection, or 0.
func rewrite(raw string, chunkBytes int) (out string, status int) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	var all bytes.Buffer
	buffer := make([]byte, 64)
	for {
		n, err := r.Read(buffer)
		all.Write(buffer[:n])
		var rejected *Error
		switch {
		case err == nil:
		case errors.As(err, &rejected):
			return all.String(), rejected.Status
		case raw == "":
			return all.String(), 0
		default:
			n := min(chunkBytes, len(raw))
			r.Write([]byte(raw[:n]))
			raw = raw[n:]
		}
	}
}

const plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func postRequest(fields, body string) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

const lengthRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"

func chunkedRequest(body string) string { return postRequest("Transfer-Encoding: chunked\r\n", body) }

// requestForms lists the forms of requests that RFC 9110 and RFC 9112 allow, with their
// canonical form (status 0), and invalid or ambiguous requests with the status of the error.
var requestForms = []struct {
	name, raw, want string
	status          int
}{
	// Request lines and targets.
	{"plain", plainRequest, plainRequest, 0},
	{"HTTP/1.0 without a host", "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.0\r\nHost: \r\n\r\n", 0},
	{"a later version", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", "", 505},
	{"no version", "GET /a\r\nHost: h\r\n\r\n", "", 400},
	{"a version in lower case", "GET /a http/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"two spaces", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a tab instead of a space", "GET\t/a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a method that is not a token", "G(T /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"an unknown method", "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n", "BREW /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 0},
	{"an absolute target", "GET http://other/b?c HTTP/1.1\r\nHost: h\r\n\r\n", "GET /b?c HTTP/1.1\r\nHost: other\r\n\r\n", 0},
	{"an absolute target without a path", "GET HTTP://other?c HTTP/1.1\r\nHost: h\r\n\r\n", "GET /?c HTTP/1.1\r\nHost: other\r\n\r\n", 0},
	{"an absolute target without a host", "GET http:///b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a target of another scheme", "GET ftp://other/b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"the target of OPTIONS", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"an incomplete escape", "GET /a%2 HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"an empty line before the request", "\r\n" + plainRequest, plainRequest, 0},
	{"many empty lines before the request", strings.Repeat("\r\n", 9) + plainRequest, "", 400},
	{"pipelined", plainRequest + lengthRequest + plainRequest, plainRequest + lengthRequest + plainRequest, 0},

	// Fields.
	{"names in any case", "GET /a HTTP/1.1\r\nhOST: h\r\nBEECHTIDE-ATTEMPT-ID: 1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: 1\r\n\r\n", 0},
	{"white space around values", "GET /a HTTP/1.1\r\nHost:h\r\nX-A: \t v w \t\r\nX-B:\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: v w\r\nX-B: \r\n\r\n", 0},
	{"bytes above 127 in a value", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: \xe9\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: \xe9\r\n\r\n", 0},
	{"a space before the colon", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "", 400},
	{"a folded line", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n c\r\n\r\n", "", 400},
	{"no colon", "GET /a HTTP/1.1\r\nHost: h\r\nX-A\r\n\r\n", "", 400},
	{"an empty name", "GET /a HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n", "", 400},
	{"a control character", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\x00c\r\n\r\n", "", 400},
	{"bare LF", "GET /a HTTP/1.1\nHost: h\n\n", "", 400},
	{"bare LF in a value", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\nX-C: d\r\n\r\n", "", 400},
	{"bare CR in a value", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\rX-C: d\r\n\r\n", "", 400},
	{"no host", "GET /a HTTP/1.1\r\n\r\n", "", 400},
	{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "", 400},
	{"an invalid host", "GET /a HTTP/1.1\r\nHost: h/i\r\n\r\n", "", 400},
	{"a host with a port", "GET /a HTTP/1.1\r\nHost: h:80\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h:80\r\n\r\n", 0},
	{"two Authorization fields", "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Token a\r\nauthorization: Token b\r\n\r\n", "", 400},
	{"two attempt ids", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: a\r\nbeechtide-attempt-id: b\r\n\r\n", "", 400},
	{"a head over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("b", 400) + "\r\n\r\n", "", 431},
	{"a head over the limit without an end", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("b", 400), "", 431},
	{"a request line over the limit", "GET /" + strings.Repeat("b", 400) + " HTTP/1.1\r\nHost: h\r\n\r\n", "", 431},

	// Hop-by-hop fields.
	{"close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0},
	{"close in a list", "GET /a HTTP/1.1\r\nHost: h\r\nCONNECTION: x-a , CLOSE\r\nX-A: b\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0},
	{"two connection fields", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x-a\r\nconnection: x-b\r\nX-A: b\r\nx-b: c\r\nX-C: d\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-C: d\r\n\r\n", 0},
	{"an end-to-end field listed in Connection", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: beechtide-attempt-id\r\nBeechtide-Attempt-Id: 1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: 1\r\n\r\n", 0},
	{"keep-alive under HTTP/1.0", "GET /a HTTP/1.0\r\nHost: h\r\nConnection: Keep-Alive\r\n\r\n", "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", 0},
	{"other hop-by-hop fields", "GET /a HTTP/1.1\r\nHost: h\r\nTE: trailers\r\nUpgrade: x\r\nKeep-Alive: 1\r\nTrailer: x\r\nProxy-Connection: x\r\n\r\n", plainRequest, 0},

	// Bodies.
	{"a length", lengthRequest, lengthRequest, 0},
	{"no body", postRequest("", ""), postRequest("Content-Length: 0\r\n", ""), 0},
	{"a GET with a body", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + plainRequest, "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + plainRequest, 0},
	{"the length's name in any case", postRequest("content-LENGTH: 5\r\n", "hello"), lengthRequest, 0},
	{"two lengths", postRequest("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), "", 400},
	{"two lengths in one field", postRequest("Content-Length: 5, 5\r\n", "hello"), "", 400},
	{"a signed length", postRequest("Content-Length: +5\r\n", "hello"), "", 400},
	{"a length that is not a number", postRequest("Content-Length: x\r\n", "hello"), "", 400},
	{"an empty length", postRequest("Content-Length:\r\n", ""), "", 400},
	{"a length over the limit", postRequest("Content-Length: 101\r\n", ""), "", 413},
	{"a length over all limits", postRequest("Content-Length: 99999999999999999999\r\n", ""), "", 413},
	{"a length and chunks", postRequest("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "", 400},
	{"chunks and a length", postRequest("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), "", 400},
	{"chunked twice", postRequest("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "", 400},
	{"another coding", postRequest("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), "", 501},
	{"chunked under HTTP/1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", 400},
	{"an expectation", postRequest("Expect: 100-Continue\r\nContent-Length: 5\r\n", "hello"), lengthRequest, 0},
	{"another expectation", postRequest("Expect: tea\r\n", ""), "", 417},

	// Chunks.
	{"chunks", chunkedRequest("5\r\nhello\r\n0\r\n\r\n"), chunkedRequest("5\r\nhello\r\n0\r\n\r\n"), 0},
	{"the coding in any case", postRequest("TRANSFER-ENCODING: Chunked\r\n", "0\r\n\r\n"), chunkedRequest("0\r\n\r\n"), 0},
	{"extensions", chunkedRequest("5;part=1;q=\"a;b\"\r\nhello\r\n0 ;x\r\n\r\n"), chunkedRequest("5\r\nhello\r\n0\r\n\r\n"), 0},
	{"upper case and zeros", chunkedRequest("000A\r\n0123456789\r\n00\r\n\r\n"), chunkedRequest("a\r\n0123456789\r\n0\r\n\r\n"), 0},
	{"trailers", chunkedRequest("0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n") + plainRequest, chunkedRequest("0\r\n\r\n") + plainRequest, 0},
	{"a malformed trailer", chunkedRequest("0\r\nGET /b HTTP/1.1\r\n\r\n"), "", 400},
	{"no size", chunkedRequest("\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size with a sign", chunkedRequest("+5\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size with a prefix", chunkedRequest("0x5\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size that overflows", chunkedRequest("10000000000000005\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a chunk longer than its size", chunkedRequest("4\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a chunk's line with bare LF", chunkedRequest("5\nhello\r\n0\r\n\r\n"), "", 400},
	{"chunks over the limit", chunkedRequest("60\r\n" + strings.Repeat("b", 96) + "\r\n60\r\n"), "", 413},
	{"a chunk over the limit", chunkedRequest("fffffffffffffff\r\n"), "", 413},
	{"endless extensions", chunkedRequest("5;" + strings.Repeat("a", 2000)), "", 400},
	{"endless trailers", chunkedRequest("0\r\n" + strings.Repeat("X-A: bbbbbbbbbbbbbbbb\r\n", 30)), "", 431},
}

func TestRequestFormsAreRewrittenOrRejected(t *testing.T) {
	for _, c := range requestForms {
		t.Run(c.name, func(t *testing.T) {
			out, status := rewrite(c.raw, len(c.raw))
			must.Eq(t, c.status, status)
			if status == 0 {
				must.Eq(t, c.want, out)
			}
			for _, at := range []int{1, 3} {
				split, splitStatus := rewrite(c.raw, at)
				must.Eq(t, status, splitStatus, must.Sprintf("%d bytes at a time", at))
				must.Eq(t, parseRequests(t, out), parseRequests(t, split), must.Sprintf("%d bytes at a time", at))
			}
		})
	}
}

// parsedRequest is a request as parsed by the standard library.
type parsedRequest struct {
	method, target, host, body string
	header                     http.Header
}

// parseRequests parses the complete requests with the standard library, so that bodies divided
// into different chunks compare as equal.
func parseRequests(t testing.TB, raw string) []parsedRequest {
	t.Helper()
	list, _ := readAll(raw)
	return list
}

// readAll parses requests until the end or an error; reachedEnd reports which.
func readAll(raw string) (list []parsedRequest, reachedEnd bool) {
	in := bufio.NewReader(strings.NewReader(raw))
	for {
		if _, err := in.Peek(1); err != nil {
			return list, true
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return list, false
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return list, false
		}
		list = append(list, parsedRequest{request.Method, request.RequestURI, request.Host, string(body), request.Header})
	}
}

func TestTakeExpectationReportsOnceBeforeBody(t *testing.T) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(postRequest("Expect: 100-continue\r\nContent-Length: 5\r\n", "")))
	buffer := make([]byte, 500)
	_, err := r.Read(buffer)
	must.NoError(t, err)
	must.True(t, r.TakeExpectation())
	must.False(t, r.TakeExpectation())
	must.False(t, r.BetweenRequests())
	r.Write([]byte("hello"))
	_, err = r.Read(buffer)
	must.NoError(t, err)
	must.True(t, r.BetweenRequests())
}

func TestReadReturnsBytesOfOneRequest(t *testing.T) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(plainRequest + plainRequest))
	buffer := make([]byte, 500)
	n, err := r.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, plainRequest, string(buffer[:n]))
	must.Eq(t, len(plainRequest), r.Buffered())
}

// FuzzRewriterAgreesWithTheStandardLibrary checks that requests accepted by both the rewriter
// and the standard library are parsed identically, and that the standard library accepts the
// output of the rewriter.
func FuzzRewriterAgreesWithTheStandardLibrary(f *testing.F) {
	for _, raw := range []string{
		plainRequest, plainRequest + plainRequest, postRequest("Content-Length: 5\r\n", "hello"), postRequest("transfer-encoding: Chunked\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n") + plainRequest,
		"GET http://other/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x\r\nX: y\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n", postRequest("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
	} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		out, status := rewrite(raw, max(len(raw), 1))
		ours, reachedEnd := readAll(out)
		if status == 0 && !reachedEnd && isComplete(raw) {
			t.Fatalf("%q is rewritten to %q, which the standard library rejects", raw, out)
		}
		theirs, _ := readAll(raw)
		for i := range min(len(ours), len(theirs)) {
			a, b := ours[i], theirs[i]
			if a.method != b.method || a.body != b.body || b.host != "" && !strings.EqualFold(a.host, b.host) {
				t.Fatalf("request %d of %q: parsed as %+v, by the standard library as %+v", i, raw, a, b)
			}
		}
	})
}

// isComplete reports whether raw consists of complete, accepted requests only.
func isComplete(raw string) bool {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(raw))
	buffer := make([]byte, 1<<16)
	for {
		if _, err := r.Read(buffer); err != nil {
			return r.BetweenRequests()
		}
	}
}
