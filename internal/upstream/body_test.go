package upstream

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/memorybudget"
)

// readWhole reads the complete body of a response without a budget.
func readWhole(r *protocol.Response, maxBytes int) ([]byte, error) {
	body, err := ReadBody(r, maxBytes, nil)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return body.Bytes(), nil
}

// responseOf returns a response without a length that consists of a head and a body.
func responseOf(t *testing.T, body io.Reader) *protocol.Response {
	t.Helper()
	r := &protocol.Response{}
	raw := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), body)
	must.NoError(t, readResponseHead(r, newReader(raw)))
	return r
}

func TestBodyIsReadAsItWasSent(t *testing.T) {
	for _, size := range []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 300_000} {
		sent := bytes.Repeat([]byte("0123456789abcdef\n"), size/17+1)[:size]
		budget := memorybudget.New(1 << 20)
		body, err := ReadBody(responseOf(t, bytes.NewReader(sent)), 1<<20, budget)
		must.NoError(t, err)
		must.Eq(t, size, body.Size())
		must.True(t, bytes.Equal(sent, body.Bytes()))
		received, err := io.ReadAll(body)
		must.NoError(t, err)
		must.True(t, bytes.Equal(sent, received))
		must.NoError(t, body.Close())
		must.Eq(t, 0, budget.Used())
	}
}

// endless is a body that does not end.
type endless struct{ read int }

func (e *endless) Read(b []byte) (int, error) {
	e.read += len(b)
	return len(b), nil
}

func TestEndlessBodyLeavesBudgetToOthers(t *testing.T) {
	const limit = 1 << 20
	budget := memorybudget.New(limit)
	source := &endless{}
	_, err := ReadBody(responseOf(t, source), 64<<20, budget)
	must.ErrorIs(t, err, memorybudget.ErrExhausted)
	must.Less(t, limit, source.read)
	must.Eq(t, 0, budget.Used())
}

func TestBodyWithTooLargeLengthIsNotRead(t *testing.T) {
	r := &protocol.Response{}
	in := newReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 4294967296\r\n\r\n"), &endless{}))
	must.NoError(t, readResponseHead(r, in))
	budget := memorybudget.New(1 << 30)
	_, err := ReadBody(r, 64<<20, budget)
	must.ErrorIs(t, err, ErrBroken)
	must.Eq(t, 0, budget.Refused())
}

func TestDiscardedBodyIsBounded(t *testing.T) {
	source := &endless{}
	must.ErrorIs(t, DiscardBody(responseOf(t, source), 1<<16), ErrBroken)
	must.Less(t, 1<<17, source.read)
}

func TestEventWithoutEndIsAnError(t *testing.T) {
	budget := memorybudget.New(64 << 10)
	e := NewEventSplitter(budget)
	var err error
	for sent := 0; err == nil && sent < maxEventBytes; sent += chunkBytes {
		_, err = e.Add(make([]byte, chunkBytes))
	}
	must.ErrorIs(t, err, memorybudget.ErrExhausted)
	e.Close()
	must.Eq(t, 0, budget.Used())

	unlimited := NewEventSplitter(nil)
	_, err = unlimited.Add(make([]byte, maxEventBytes+1))
	must.ErrorIs(t, err, ErrBroken)
}

func TestEndOfLargeEventReturnsItsMemory(t *testing.T) {
	budget := memorybudget.New(1 << 20)
	e := NewEventSplitter(budget)
	_, err := e.Add(bytes.Repeat([]byte("x"), 100<<10))
	must.NoError(t, err)
	must.Positive(t, budget.Used())
	complete, err := e.Add([]byte("\n\nid: 2"))
	must.NoError(t, err)
	must.Eq(t, 100<<10+len(eventEnd), len(complete))
	must.Eq(t, 0, budget.Used())
	must.Eq(t, "id: 2", string(e.Incomplete()))
}
