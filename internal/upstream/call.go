// Ask makes small calls to runners: reports, kept parts, orders.
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

// Ask sends one request and reads the whole answer. sent tells whether the
// runner may have got it.
func (g *ConnPool) Ask(ctx context.Context, addr, method, path string, headers map[string]string, body []byte) (status int, out []byte, sent bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(2 * time.Second)
	}
	l, err := g.Get(ctx, addr)
	if err != nil {
		return 0, nil, false, err
	}
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
		h.Set("Content-Length", strconv.Itoa(len(body)))
		h.SetContentLength(len(body))
	}
	if err := l.Send(&h, body, deadline); err != nil {
		l.Close()
		return 0, nil, true, err
	}
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := l.Head(r, deadline); err != nil {
		l.Close()
		return 0, nil, true, err
	}
	out, err = io.ReadAll(io.LimitReader(r.BodyStream(), maxAnswer))
	if err != nil {
		l.Close()
		return 0, nil, true, errors.Wrap(ErrBroken, err.Error())
	}
	g.Put(addr, l, &r.Header)
	return r.StatusCode(), out, true, nil
}
