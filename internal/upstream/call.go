// Small calls to runners: reports, kept parts, orders and probes. Each is sent
// once and never again by itself.
package upstream

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// maxAnswer bounds the body of such a call.
const maxAnswer = 8 << 20

// askWait is for how long a call waits whose context says nothing.
const askWait = 2 * time.Second

// reply is the whole answer to a small call.
type reply struct {
	status int
	header protocol.ResponseHeader
	body   []byte
}

// Ask sends one request and reads the whole answer. sent tells whether the
// runner may have got it.
func (g *ConnPool) Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, out []byte, sent bool, err error) {
	a, sent, err := g.exchange(ctx, addr, method, path, headers, body)
	if err != nil {
		return 0, nil, sent, err
	}
	return a.status, a.body, sent, nil
}

// Probe sends a GET and gives the status and one header of the answer.
func (g *ConnPool) Probe(ctx context.Context, addr, path, header string, headers map[string]string) (status int, value string, err error) {
	a, _, err := g.exchange(ctx, addr, "GET", path, headers, nil)
	if err != nil {
		return 0, "", err
	}
	return a.status, a.header.Get(header), nil
}

func (g *ConnPool) exchange(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (a *reply, sent bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(askWait)
	}
	l, err := g.Get(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	if err := l.Send(callHead(addr, method, path, headers, len(body)), body, deadline); err != nil {
		l.Close()
		return nil, true, err
	}
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := l.Head(r, deadline); err != nil {
		l.Close()
		return nil, true, err
	}
	a = &reply{status: r.StatusCode()}
	a.body, err = io.ReadAll(io.LimitReader(r.BodyStream(), maxAnswer))
	if err != nil {
		l.Close()
		return nil, true, errors.Wrap(ErrBroken, err.Error())
	}
	r.Header.CopyTo(&a.header)
	g.Put(addr, l, &r.Header)
	return a, true, nil
}

func callHead(addr, method, path string, headers map[string]string, bodyBytes int) *protocol.RequestHeader {
	var h protocol.RequestHeader
	h.DisableNormalizing()
	h.SetMethod(method)
	h.SetRequestURI(path)
	h.SetHost(addr)
	h.SetNoDefaultContentType(true)
	for k, v := range headers {
		h.Set(k, v)
	}
	if method == "POST" {
		h.SetContentTypeBytes([]byte("application/json"))
		h.Set("Content-Length", strconv.Itoa(bodyBytes))
		h.SetContentLength(bodyBytes)
	}
	return &h
}
