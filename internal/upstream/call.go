// Small calls to runners: reports, cache events, orders and probes. Each is sent once
// and never retried here.

package upstream

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// maxAnswer bounds the body of such a call.
const maxAnswer = 8 << 20

// askWait is for how long a call waits whose context says nothing.
const askWait = 2 * time.Second

// attemptID names the request that an answer belongs to.
const attemptID = "Beechtide-Attempt-Id"

// reply is the whole answer to a small call.
type reply struct {
	status int
	header *protocol.ResponseHeader
	body   []byte
}

// Ask sends one request and reads the whole answer. sent tells whether the
// runner may have got it.
func (g *ConnPool) Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, out []byte, sent bool, err error) {
	a, sent, err := g.exchange(ctx, addr, smallCall{method, path, headers, body, method != "GET"})
	if err != nil {
		return 0, nil, sent, err
	}
	return a.status, a.body, sent, nil
}

// Probe sends a GET over a conn of its own and gives the status and one header
// of the answer.
func (g *ConnPool) Probe(ctx context.Context, addr, path, header string, headers map[string]string) (status int, value string, err error) {
	a, _, err := g.exchange(ctx, addr, smallCall{"GET", path, headers, nil, true})
	if err != nil {
		return 0, "", err
	}
	return a.status, a.header.Get(header), nil
}

// smallCall is what is asked. What may do something at the runner, and what asks
// who is there, goes over a conn of its own: on one that was used before, a late
// second answer to an earlier call could be taken for this one's.
type smallCall struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	ownConn bool
}

// exchange sends one request and reads the whole answer.
func (g *ConnPool) exchange(ctx context.Context, addr string, call smallCall) (a *reply, sent bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(askWait)
	}
	connect := g.Get
	if call.ownConn {
		connect = Connect
	}
	l, err := connect(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	if sent, err := l.Send(call.head(addr), call.body, deadline); err != nil {
		l.Close()
		return nil, sent, err
	}
	a, err = l.reply(deadline)
	if err != nil {
		l.Close()
		return nil, true, err
	}
	if call.ownConn {
		l.Close()
		return a, true, nil
	}
	g.Put(addr, l, a.header)
	return a, true, nil
}

// reply reads the whole answer to a small call. Such a call has no attempt id, so
// an answer that has one belongs to something else.
func (l *Conn) reply(deadline time.Time) (*reply, error) {
	r := &protocol.Response{}
	if err := l.Head(r, deadline); err != nil {
		return nil, err
	}
	if r.Header.Get(attemptID) != "" {
		return nil, ErrForeign
	}
	body, err := ReadBody(r, maxAnswer)
	if err != nil {
		return nil, err
	}
	return &reply{r.StatusCode(), &r.Header, body}, nil
}

func (c smallCall) head(addr string) *protocol.RequestHeader {
	var h protocol.RequestHeader
	h.DisableNormalizing()
	h.SetMethod(c.method)
	h.SetRequestURI(c.path)
	h.SetHost(addr)
	h.SetNoDefaultContentType(true)
	for k, v := range c.headers {
		h.Set(k, v)
	}
	if c.method == "POST" {
		h.SetContentTypeBytes([]byte("application/json"))
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
		h.SetContentLength(len(c.body))
	}
	return &h
}
