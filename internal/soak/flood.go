// Runners that answer with bytes without end.

package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// floodPieceBytes is how much a flooding runner sends at a time.
const floodPieceBytes = 32 << 10

// attemptHeader is the header that a response shares with its request.
const attemptHeader = "Beechtide-Attempt-Id"

// floodForm is a response that does not end: a head, in which ID is the attempt's, and what follows again
// and again.
type floodForm struct{ head, repeated string }

const floodHead = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: none\r\n"

var floodForms = []floodForm{
	{floodHead + "\r\n", strings.Repeat("x", floodPieceBytes)},
	{floodHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", floodPieceBytes) + "\r\n"},
	{floodHead + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", strings.Repeat("x", floodPieceBytes)},
	{floodHead + "Content-Length: 4294967296\r\n\r\n", strings.Repeat("x", floodPieceBytes)},
	{floodHead + "Content-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", floodPieceBytes)},
	{floodHead, strings.Repeat("X-Field: x\r\n", floodPieceBytes/12)},
	{floodHead + "X-Field: ", strings.Repeat("x", floodPieceBytes)},
	{floodHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Field: x\r\n", floodPieceBytes/12)},
}

// flood answers a request with bytes that do not end until the caller closes the connection or the proxy
// leaves linkFlood. The connection is reset at the end, as a normal close would complete some forms.
func (p *proxy) flood(client net.Conn, form floodForm) {
	defer resetConn(client)
	request, err := http.ReadRequest(bufio.NewReader(client))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = io.WriteString(client, strings.Replace(form.head, "ID", request.Header.Get(attemptHeader), 1))
	for err == nil && p.currentMode() == linkFlood {
		_ = client.SetWriteDeadline(time.Now().Add(proxyDialTimeout))
		_, err = io.WriteString(client, form.repeated)
	}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConns resets all connections, so that callers open new ones.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		resetConn(conn)
	}
}

// nextFloodForm returns the forms in turn.
func (p *proxy) nextFloodForm() floodForm {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floods++
	return floodForms[p.floods%len(floodForms)]
}
