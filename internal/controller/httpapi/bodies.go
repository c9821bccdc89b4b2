package httpapi

import (
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/app"

	"beechtide.org/beechtide/internal/memorybudget"
)

// bodySegmentBytes is how much of a body is read at a time.
const bodySegmentBytes = 4 << 10

// bodyCopies is how often a body stands in memory while a call is served: as it was read, and decoded.
const bodyCopies = 2

// LimitBody wraps the handler of a call whose body is streamed by the server: it reads the body before the
// call is served. A body over maxBytes is rejected with 413, and one for which no memory is left with 503.
func LimitBody(maxBytes int, budget *memorybudget.Budget, serve app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		account := budget.Open()
		defer account.Release()
		body, status := readBody(rc, maxBytes, &account)
		rc.Request.SetBodyRaw(body) // in place of the stream, so that the server does not read the rest of it
		if status != 0 {
			rc.SetConnectionClose()
			Reject(rc, status, BodyField, "the body could not be read")
			return
		}
		serve(ctx, rc)
	}
}

// readBody reads the body of a call. status is 0 or that of the rejection.
func readBody(rc *app.RequestContext, maxBytes int, account *memorybudget.Account) (body []byte, status int) {
	if rc.Request.Header.ContentLength() > maxBytes {
		return nil, 413
	}
	stream, segment := rc.RequestBodyStream(), make([]byte, bodySegmentBytes)
	for {
		n, err := stream.Read(segment)
		if len(body)+n > maxBytes {
			return nil, 413
		}
		if account.Grow(bodyCopies*n) != nil {
			return nil, 503
		}
		body = append(body, segment[:n]...)
		switch {
		case err == io.EOF:
			return body, 0
		case err != nil:
			return nil, 503
		}
	}
}
