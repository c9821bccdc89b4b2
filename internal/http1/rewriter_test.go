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

// rewrite gives a connection's bytes to a rewriter, so many at a time, and returns what it
// makes of them; status is that of the error that ends the connection, 0 for none.
func rewrite(raw string, at int) (out string, status int) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	var all bytes.Buffer
	buffer := make([]byte, 64)
	for {
		n, err := r.Read(buffer)
		all.Write(buffer[:n])
		var refusal *Error
		switch {
		case err == nil:
		case errors.As(err, &refusal):
			return all.String(), refusal.Status
		case raw == "":
			return all.String(), 0
		default:
			n := min(at, len(raw))
			r.Write([]byte(raw[:n]))
			raw = raw[n:]
		}
	}
}

const plain = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func post(fields, body string) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

const lengthRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"

func chunked(body string) string { return post("Transfer-Encoding: chunked\r\n", body) }

// requestForms are the forms of RFC 9110 and RFC 9112 that clients may use, with the one form
// that they are brought to (status 0), and what breaks them, or can be read in two ways.
var requestForms = []struct {
	name, raw, want string
	status          int
}{
	// Request lines and targets.
	{"plain", plain, plain, 0},
	{"HTTP/1.0 without a host", "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.0\r\nHost: \r\n\r\n", 0},
	{"a later version", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", "", 505},
	{"no version", "GET /a\r\nHost: h\r\n\r\n", "", 400},
	{"a version in lower case", "GET /a http/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"two spaces", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a tab instead of a space", "GET\t/a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a method that is no token", "G(T /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a method of its own", "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n", "BREW /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 0},
	{"an absolute target", "GET http://other/b?c HTTP/1.1\r\nHost: h\r\n\r\n", "GET /b?c HTTP/1.1\r\nHost: other\r\n\r\n", 0},
	{"an absolute target without a path", "GET HTTP://other?c HTTP/1.1\r\nHost: h\r\n\r\n", "GET /?c HTTP/1.1\r\nHost: other\r\n\r\n", 0},
	{"an absolute target without a host", "GET http:///b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a target of another scheme", "GET ftp://other/b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"the target of OPTIONS", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"an escape that is not whole", "GET /a%2 HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"a fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", "", 400},
	{"an empty line ahead", "\r\n" + plain, plain, 0},
	{"many empty lines ahead", strings.Repeat("\r\n", 9) + plain, "", 400},
	{"pipelined", plain + lengthRequest + plain, plain + lengthRequest + plain, 0},

	// Fields.
	{"names in any case", "GET /a HTTP/1.1\r\nhOST: h\r\nBEECHTIDE-ATTEMPT-ID: 1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: 1\r\n\r\n", 0},
	{"white space around values", "GET /a HTTP/1.1\r\nHost:h\r\nX-A: \t v w \t\r\nX-B:\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: v w\r\nX-B: \r\n\r\n", 0},
	{"bytes over 127 in a value", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: \xe9\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: \xe9\r\n\r\n", 0},
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
	{"a host that is none", "GET /a HTTP/1.1\r\nHost: h/i\r\n\r\n", "", 400},
	{"a host with a port", "GET /a HTTP/1.1\r\nHost: h:80\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h:80\r\n\r\n", 0},
	{"two keys", "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Token a\r\nauthorization: Token b\r\n\r\n", "", 400},
	{"two attempt ids", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: a\r\nbeechtide-attempt-id: b\r\n\r\n", "", 400},
	{"a head over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("b", 400) + "\r\n\r\n", "", 431},
	{"a head over the limit without an end", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("b", 400), "", 431},
	{"a request line over the limit", "GET /" + strings.Repeat("b", 400) + " HTTP/1.1\r\nHost: h\r\n\r\n", "", 431},

	// Fields of one connection.
	{"close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0},
	{"close in a list", "GET /a HTTP/1.1\r\nHost: h\r\nCONNECTION: x-a , CLOSE\r\nX-A: b\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 0},
	{"two connection fields", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x-a\r\nconnection: x-b\r\nX-A: b\r\nx-b: c\r\nX-C: d\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX-C: d\r\n\r\n", 0},
	{"what no client may strike out", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: beechtide-attempt-id\r\nBeechtide-Attempt-Id: 1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nBeechtide-Attempt-Id: 1\r\n\r\n", 0},
	{"kept under HTTP/1.0", "GET /a HTTP/1.0\r\nHost: h\r\nConnection: Keep-Alive\r\n\r\n", "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", 0},
	{"others of one connection", "GET /a HTTP/1.1\r\nHost: h\r\nTE: trailers\r\nUpgrade: x\r\nKeep-Alive: 1\r\nTrailer: x\r\nProxy-Connection: x\r\n\r\n", plain, 0},

	// Bodies.
	{"a length", lengthRequest, lengthRequest, 0},
	{"no body", post("", ""), post("Content-Length: 0\r\n", ""), 0},
	{"a body of a GET", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + plain, "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + plain, 0},
	{"the length's name in any case", post("content-LENGTH: 5\r\n", "hello"), lengthRequest, 0},
	{"two lengths", post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), "", 400},
	{"two lengths in one field", post("Content-Length: 5, 5\r\n", "hello"), "", 400},
	{"a signed length", post("Content-Length: +5\r\n", "hello"), "", 400},
	{"no number", post("Content-Length: x\r\n", "hello"), "", 400},
	{"an empty length", post("Content-Length:\r\n", ""), "", 400},
	{"a length over the limit", post("Content-Length: 101\r\n", ""), "", 413},
	{"a length over all limits", post("Content-Length: 99999999999999999999\r\n", ""), "", 413},
	{"a length and chunks", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "", 400},
	{"chunks and a length", post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), "", 400},
	{"chunked twice", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "", 400},
	{"another coding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), "", 501},
	{"chunked under HTTP/1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", 400},
	{"an expectation", post("Expect: 100-Continue\r\nContent-Length: 5\r\n", "hello"), lengthRequest, 0},
	{"another expectation", post("Expect: tea\r\n", ""), "", 417},

	// Chunks.
	{"chunks", chunked("5\r\nhello\r\n0\r\n\r\n"), chunked("5\r\nhello\r\n0\r\n\r\n"), 0},
	{"the coding in any case", post("TRANSFER-ENCODING: Chunked\r\n", "0\r\n\r\n"), chunked("0\r\n\r\n"), 0},
	{"extensions", chunked("5;part=1;q=\"a;b\"\r\nhello\r\n0 ;x\r\n\r\n"), chunked("5\r\nhello\r\n0\r\n\r\n"), 0},
	{"upper case and zeros", chunked("000A\r\n0123456789\r\n00\r\n\r\n"), chunked("a\r\n0123456789\r\n0\r\n\r\n"), 0},
	{"trailers", chunked("0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n") + plain, chunked("0\r\n\r\n") + plain, 0},
	{"a trailer that is no field", chunked("0\r\nGET /b HTTP/1.1\r\n\r\n"), "", 400},
	{"no size", chunked("\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size with a sign", chunked("+5\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size with a prefix", chunked("0x5\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a size that overflows", chunked("10000000000000005\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a chunk longer than its size", chunked("4\r\nhello\r\n0\r\n\r\n"), "", 400},
	{"a chunk's line with bare LF", chunked("5\nhello\r\n0\r\n\r\n"), "", 400},
	{"chunks over the limit", chunked("60\r\n" + strings.Repeat("b", 96) + "\r\n60\r\n"), "", 413},
	{"a chunk over the limit", chunked("fffffffffffffff\r\n"), "", 413},
	{"endless extensions", chunked("5;" + strings.Repeat("a", 2000)), "", 400},
	{"endless trailers", chunked("0\r\n" + strings.Repeat("X-A: bbbbbbbbbbbbbbbb\r\n", 30)), "", 431},
}

func TestFormsOfRequests(t *testing.T) {
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
				must.Eq(t, bodiesOf(t, out), bodiesOf(t, split), must.Sprintf("%d bytes at a time", at))
			}
		})
	}
}

// message is a request as the standard library reads it.
type message struct {
	method, target, host, body string
	header                     http.Header
}

// bodiesOf reads the whole requests with the standard library, so that other divisions into
// chunks compare as equal.
func bodiesOf(t testing.TB, raw string) []message {
	t.Helper()
	list, _ := readAll(raw)
	return list
}

// readAll reads requests until the end or an error.
func readAll(raw string) (list []message, whole bool) {
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
		list = append(list, message{request.Method, request.RequestURI, request.Host, string(body), request.Header})
	}
}

func TestExpectationIsReportedOnceBeforeTheBody(t *testing.T) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(post("Expect: 100-continue\r\nContent-Length: 5\r\n", "")))
	buffer := make([]byte, 500)
	_, err := r.Read(buffer)
	must.NoError(t, err)
	must.True(t, r.TakeExpectation())
	must.False(t, r.TakeExpectation())
	must.False(t, r.Between())
	r.Write([]byte("hello"))
	_, err = r.Read(buffer)
	must.NoError(t, err)
	must.True(t, r.Between())
}

func TestReadReturnsBytesOfOneRequest(t *testing.T) {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(plain + plain))
	buffer := make([]byte, 500)
	n, err := r.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, plain, string(buffer[:n]))
	must.Eq(t, len(plain), r.Buffered())
}

// Whatever the rewriter and the standard library both take, they take alike; and what the
// rewriter returns, the standard library takes.
func FuzzRewriterAgreesWithTheStandardLibrary(f *testing.F) {
	for _, raw := range []string{
		plain, plain + plain, post("Content-Length: 5\r\n", "hello"), post("transfer-encoding: Chunked\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n") + plain,
		"GET http://other/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x\r\nX: y\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
	} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		out, status := rewrite(raw, max(len(raw), 1))
		ours, whole := readAll(out)
		if status == 0 && !whole && complete(raw) {
			t.Fatalf("%q is rewritten to %q, which is not taken", raw, out)
		}
		theirs, _ := readAll(raw)
		for i := range min(len(ours), len(theirs)) {
			a, b := ours[i], theirs[i]
			if a.method != b.method || a.body != b.body || b.host != "" && !strings.EqualFold(a.host, b.host) {
				t.Fatalf("request %d of %q: %+v, the standard library has %+v", i, raw, a, b)
			}
		}
	})
}

// complete reports whether a rewriter has returned all that it was given.
func complete(raw string) bool {
	r := &Rewriter{Limits: func() Limits { return testLimits }}
	r.Write([]byte(raw))
	buffer := make([]byte, 1<<16)
	for {
		if _, err := r.Read(buffer); err != nil {
			return r.Between()
		}
	}
}
