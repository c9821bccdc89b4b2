package httpapi

import (
	"bytes"
	"context"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/memorybudget"
)

// serveBody serves a call with a body that is streamed, and returns the status and the body that its
// handler received.
func serveBody(sent []byte, length, maxBytes int, budget *memorybudget.Budget) (status int, received []byte) {
	rc := app.NewContext(0)
	rc.Request.SetBodyStream(bytes.NewReader(sent), length)
	LimitBody(maxBytes, budget, func(_ context.Context, rc *app.RequestContext) { received = rc.Request.Body() })(context.Background(), rc)
	return rc.Response.StatusCode(), received
}

func TestLimitBodyPassesBodyOn(t *testing.T) {
	budget := memorybudget.New(1 << 20)
	for _, length := range []int{100_000, -1} {
		sent := bytes.Repeat([]byte("x"), 100_000)
		status, received := serveBody(sent, length, 100_000, budget)
		must.Eq(t, 200, status)
		must.True(t, bytes.Equal(sent, received))
		must.Eq(t, 0, budget.Used())
	}
}

func TestLimitBodyRejectsTooLargeBody(t *testing.T) {
	budget := memorybudget.New(1 << 20)
	for _, length := range []int{100_001, -1} {
		status, received := serveBody(make([]byte, 100_001), length, 100_000, budget)
		must.Eq(t, 413, status)
		must.Nil(t, received)
	}
	must.Eq(t, 0, budget.Used())
}

func TestLimitBodyRejectsCallWithoutMemory(t *testing.T) {
	budget := memorybudget.New(100_000)
	status, _ := serveBody(make([]byte, 60_000), -1, 100_000, budget)
	must.Eq(t, 503, status)
	must.Eq(t, 0, budget.Used())
}
