// This file implements control calls to runners: reports, cache events, orders and
// probes. Each is sent once and never retried here.

package upstream

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/memorybudget"
)

// maxResponseBytes limits the body of the response to a control call.
const maxResponseBytes = 8 << 20

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// attemptID is the header that identifies the request that a response belongs to.
const attemptID = "Beechtide-Attempt-Id"

// call is one control call. A call that changes state at the runner, or that identifies
// the runner at an address, uses a connection of its own: on a reused connection a late
// second response to an earlier call could be mistaken for the response to this one.
type call struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	ownConn bool
}

// response is the complete response to a call.
type response struct {
	status int
	header *protocol.ResponseHeader
	body   *Body
}

// Ask sends one request and reads the complete response, of which it returns the status. The runner may
// have executed the request even if an error is returned.
func (p *ConnPool) Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, err error) {
	r, err := p.exchange(ctx, addr, call{method, path, headers, body, method != "GET"})
	if err != nil {
		return 0, err
	}
	return r.status, r.body.Close()
}

// Read sends a GET request, reads the complete response and calls use with it. The body is valid until
// use returns, and counts in the budget until then.
func (p *ConnPool) Read(ctx context.Context, addr, path string, headers map[string]string, use func(status int, body []byte) error) error {
	r, err := p.exchange(ctx, addr, call{"GET", path, headers, nil, false})
	if err != nil {
		return err
	}
	defer r.body.Close()
	return use(r.status, r.body.Bytes())
}

// Probe sends a GET on a new connection and returns the status and one header of the
// response.
func (p *ConnPool) Probe(ctx context.Context, addr, path, header string, headers map[string]string) (status int, value string, err error) {
	r, err := p.exchange(ctx, addr, call{"GET", path, headers, nil, true})
	if err != nil {
		return 0, "", err
	}
	return r.status, r.header.Get(header), r.body.Close()
}

// exchange sends one request and reads the complete response.
func (p *ConnPool) exchange(ctx context.Context, addr string, request call) (*response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	connect := p.Get
	if request.ownConn {
		connect = Connect
	}
	c, err := connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	if _, err := c.Send(request.head(addr), request.body, deadline); err != nil {
		c.Close()
		return nil, err
	}
	r, err := c.readResponse(deadline, p.budget)
	if err != nil {
		c.Close()
		return nil, err
	}
	if request.ownConn {
		c.Close()
	} else {
		p.Put(addr, c, r.header)
	}
	return r, nil
}

// readResponse reads the complete response to a call. Calls carry no attempt id, so a
// response that has one belongs to another request.
func (c *Conn) readResponse(deadline time.Time, budget *memorybudget.Budget) (*response, error) {
	r := &protocol.Response{}
	if err := c.ReadHead(r, deadline); err != nil {
		return nil, err
	}
	if r.Header.Get(attemptID) != "" {
		return nil, ErrMismatchedResponse
	}
	body, err := ReadBody(r, maxResponseBytes, budget)
	if err != nil {
		return nil, err
	}
	return &response{r.StatusCode(), &r.Header, body}, nil
}

func (c call) head(addr string) *protocol.RequestHeader {
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
