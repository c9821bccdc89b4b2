package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Valid but unusual request syntax is served. The parsing itself is tested in package http1.
func TestUnusualRequestSyntaxIsServed(t *testing.T) {
	r := newRunner(t)
	_, front, _ := start(t, r)
	good := request("/open/", "hello")
	for _, c := range []struct{ name, raw string }{
		{"names in capitals", strings.NewReplacer("Beechtide-Attempt-Id", "BEECHTIDE-ATTEMPT-ID", "Authorization: Token", "AUTHORIZATION:TOKEN  ", "Host", "HOST").Replace(good)},
		{"chunk extensions and trailers", strings.Replace(good, "Content-Length: 5\r\n\r\nhello", "transfer-encoding: Chunked\r\n\r\n05;part=1\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 1)},
		{"an absolute target", strings.Replace(good, "/open/", "http://h.example/open/", 1)},
		{"empty line before the request", "\r\n" + good},
		{"HTTP/1.0", strings.Replace(good, "HTTP/1.1", "HTTP/1.0", 1)},
		{"close", strings.Replace(good, "Host", "connection: CLOSE\r\nHost", 1)},
		{"Connection header names the attempt id", strings.Replace(good, "Host", "Connection: Beechtide-Attempt-Id\r\nHost", 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := r.requestCount()
			ans, _, err := roundTrip(t, front, c.raw)
			must.NoError(t, err)
			must.Eq(t, 200, ans.StatusCode)
			must.Eq(t, before+1, r.requestCount())
			seen := r.lastRequest()
			must.Eq(t, "id1", seen.Header.Get(hAttempt))
			must.Eq(t, "/open/", seen.RequestURI)
			must.Eq(t, int64(5), seen.ContentLength)
		})
	}
}

// Headers set by the router cannot be sent by a client, in any letter case.
func TestClientCannotSetRouterHeaders(t *testing.T) {
	r := newRunner(t)
	_, front, _ := start(t, r)
	_, _, err := roundTrip(t, front, request("/open/", "x", "BEECHTIDE-TENANT: evil", "beechtide-cache-salt: evil", "bEECHTIDE-uRGENCY: 0", "Beechtide-CACHE-Source: 127.0.0.1:1", "beechtide-EXPECTED-version: 9"))
	must.NoError(t, err)
	for name, values := range r.lastRequest().Header {
		for _, value := range values {
			must.StrNotContains(t, value, "evil", must.Sprint(name))
		}
		must.Eq(t, 1, len(values), must.Sprint(name))
	}
	must.Eq(t, "", r.lastRequest().Header.Get(hSource))
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	r := newRunner(t)
	_, front, _ := start(t, r)
	conn, err := net.Dial("tcp4", front)
	must.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	var raw strings.Builder
	for i := range 3 {
		raw.WriteString(strings.Replace(request("/open/", "x"), "id1", fmt.Sprint("p", i), 1))
	}
	_, err = io.WriteString(conn, raw.String())
	must.NoError(t, err)
	in := bufio.NewReader(conn)
	for i := range 3 {
		ans, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprint("p", i), ans.Header.Get(hAttempt))
		_, err = io.ReadAll(ans.Body)
		must.NoError(t, err)
	}
}

func TestExpectContinueGets100BeforeBody(t *testing.T) {
	r := newRunner(t)
	_, front, _ := start(t, r)
	conn, err := net.Dial("tcp4", front)
	must.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	whole := request("/open/", "hello", "Expect: 100-continue")
	_, err = io.WriteString(conn, strings.TrimSuffix(whole, "hello"))
	must.NoError(t, err)
	in := bufio.NewReader(conn)
	ans, err := http.ReadResponse(in, nil)
	must.NoError(t, err)
	must.Eq(t, 100, ans.StatusCode)
	must.Eq(t, 0, r.requestCount())
	_, err = io.WriteString(conn, "hello")
	must.NoError(t, err)
	ans, err = http.ReadResponse(in, nil)
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, "", r.lastRequest().Header.Get("Expect"))
}

// HTTP/1.0 has no chunked coding, so the end of the connection ends the stream.
func TestStreamToHTTP10ClientEndsByClosingConnection(t *testing.T) {
	r := newRunner(t, streamHead+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
	_, front, _ := start(t, r)
	ans, body, err := roundTrip(t, front, strings.Replace(request("/chat/", "x"), "HTTP/1.1", "HTTP/1.0", 1))
	must.NoError(t, err)
	must.Eq(t, 200, ans.StatusCode)
	must.Eq(t, 0, len(ans.TransferEncoding))
	must.True(t, ans.Close)
	must.Eq(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
}

// A refused client that continues to send must receive the response, not a TCP reset.
func TestRefusedClientStillSendingReadsResponse(t *testing.T) {
	r := newRunner(t)
	router, front, _ := start(t, r)
	limit := router.frontLimits().sizes.BodyBytes
	chunked := strings.Replace(request("/open/", "x"), "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n", 1)
	piece := chunk(strings.Repeat("x", 1000))
	ans, _, err := roundTrip(t, front, chunked+strings.Repeat(piece, int(limit)/1000+50))
	must.NoError(t, err)
	must.Eq(t, 413, ans.StatusCode)
	must.Eq(t, 0, r.requestCount())
	must.Eq(t, 1, router.front.Load().refusals.byStatus()[413])
}
