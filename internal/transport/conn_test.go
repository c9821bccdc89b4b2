package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

func testTransport(t testing.TB) *Transport {
	t.Helper()
	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	must.NoError(t, err)
	t.Cleanup(pool.Release)
	return &Transport{log: logr.Discard(), pool: pool, conns: map[string]*Conn{}}
}

// far is the other end of a connection, played by the test.
type far struct {
	t   *testing.T
	c   net.Conn
	in  frameReader
	end *Conn
}

func pair(t *testing.T, r *Transport) *far {
	t.Helper()
	near, other := net.Pipe()
	l := r.newConn("far", near)
	go l.Serve(context.Background())
	t.Cleanup(l.Close)
	return &far{t: t, c: other, in: newFrameReader(msgp.NewReader(other)), end: l}
}

func (f *far) read() messages.Frame {
	f.t.Helper()
	got, err := f.in.next()
	must.NoError(f.t, err)
	return got
}

func (f *far) write(frames ...messages.Frame) {
	f.t.Helper()
	var raw []byte
	for _, one := range frames {
		raw, _ = one.MarshalMsg(raw)
	}
	_, err := f.c.Write(raw)
	must.NoError(f.t, err)
}

type outcome struct {
	body string
	err  error
}

func (f *far) call(ctx context.Context, kind int) chan outcome {
	out := make(chan outcome, 1)
	go func() {
		b, err := f.end.Call(ctx, kind, &messages.Versions{Parts: []int64{}})
		out <- outcome{string(b), err}
	}()
	return out
}

func (l *Conn) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

func reply(q messages.Frame, body string) messages.Frame {
	return messages.Frame{Kind: q.Kind, Seq: q.Seq, Reply: true, Body: []byte(body)}
}

func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestLateAndDoubledAnswersFindNothing(t *testing.T) {
	f := pair(t, testTransport(t))
	ctx, cancel := context.WithCancel(context.Background())
	first := f.call(ctx, KindSince)
	q1 := f.read()
	cancel()
	must.ErrorIs(t, (<-first).err, ErrTimeout)
	must.Eq(t, 0, f.end.waiting(), must.Sprint("a call that nobody waits for is forgotten"))

	second := f.call(soon(t), KindSince)
	q2 := f.read()
	f.write(reply(q1, "late"), reply(q2, "own"), reply(q2, "doubled"), reply(messages.Frame{Kind: KindSince, Seq: q2.Seq + 1}, "early"))
	must.Eq(t, outcome{body: "own"}, <-second)

	third := f.call(soon(t), KindSince)
	q3 := f.read()
	f.write(reply(q3, "third"))
	must.Eq(t, outcome{body: "third"}, <-third)
}

func TestAnAnswerOfAnotherKindEndsTheConnection(t *testing.T) {
	f := pair(t, testTransport(t))
	waiting := f.call(soon(t), KindSince)
	q := f.read()
	q.Kind = KindVersions
	f.write(reply(q, "foreign"))
	must.ErrorIs(t, (<-waiting).err, ErrClosed)
}

func TestAnAnswerOnAnotherConnectionFindsNothing(t *testing.T) {
	r := testTransport(t)
	a, b := pair(t, r), pair(t, r)
	waiting := a.call(soon(t), KindSince)
	q := a.read()
	b.write(reply(q, "of another life"))
	a.write(reply(q, "own"))
	must.Eq(t, outcome{body: "own"}, <-waiting)
}

func TestAHandlerThatFailsEndsTheCallAtOnce(t *testing.T) {
	r := testTransport(t)
	r.OnCall(KindSince, func(context.Context, *Conn, []byte) ([]byte, error) { return nil, errors.New("no") })
	near, other := net.Pipe()
	caller, answering := r.newConn("a", near), r.newConn("b", other)
	defer caller.Close()
	go caller.Serve(context.Background())
	go answering.Serve(context.Background())
	for _, kind := range []int{KindSince, KindVersions, kinds + 7} {
		_, err := caller.Call(soon(t), kind, &messages.Versions{Parts: []int64{}})
		must.ErrorIs(t, err, ErrFailed, must.Sprint("kind", kind))
	}
	must.False(t, answering.closed.Load(), must.Sprint("the other calls of the connection go on"))
}

func TestACallThatNobodyWaitsForIsNotSent(t *testing.T) {
	f := pair(t, testTransport(t))
	over, cancel := context.WithCancel(context.Background())
	cancel()
	must.ErrorIs(t, (<-f.call(over, KindSince)).err, ErrTimeout)
	waiting := f.call(soon(t), KindVersions)
	q := f.read()
	must.Eq(t, KindVersions, q.Kind, must.Sprint("nothing came before it"))
	f.write(reply(q, ""))
	must.NoError(t, (<-waiting).err)
}

func TestAClosedConnectionEndsAllItsCalls(t *testing.T) {
	f := pair(t, testTransport(t))
	a, b := f.call(soon(t), KindSince), f.call(soon(t), KindVersions)
	f.read()
	f.read()
	f.c.Close()
	must.ErrorIs(t, (<-a).err, ErrClosed)
	must.ErrorIs(t, (<-b).err, ErrClosed)
}

// stuck takes a part of the first write and then fails it, as at a deadline.
type stuck struct {
	net.Conn
	got []byte
}

func (s *stuck) Write(b []byte) (int, error) {
	if len(s.got) == 0 {
		s.got = append(s.got, b[:len(b)/2]...)
		return len(b) / 2, io.ErrShortWrite
	}
	s.got = append(s.got, b...)
	return len(b), nil
}

func TestNothingFollowsAFrameThatWasCutShort(t *testing.T) {
	near, _ := net.Pipe()
	s := &stuck{Conn: near}
	l := testTransport(t).newConn("far", s)
	must.ErrorIs(t, l.Push(KindFeed, []byte("one")), ErrClosed)
	had := len(s.got)
	must.ErrorIs(t, l.Push(KindFeed, []byte("two")), ErrClosed)
	must.Len(t, had, s.got)
}

func TestAClaimedLengthTakesNoMemory(t *testing.T) {
	for _, raw := range [][]byte{
		{0xdf, 0xff, 0xff, 0xff, 0xff},                     // fields
		{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff, 1}, // body
	} {
		_, err := newFrameReader(msgp.NewReader(bytes.NewReader(raw))).next()
		must.ErrorIs(t, err, errFrame)
	}
	for _, raw := range [][]byte{
		{0x81, 0xdb, 0xff, 0xff, 0xff, 0xff, 1}, // name of a field
		{0x81, 0xc6, 0xff, 0xff, 0xff, 0xff, 1}, // the same as bytes, found by FuzzFrames
	} {
		_, err := newFrameReader(msgp.NewReader(bytes.NewReader(raw))).next()
		must.Error(t, err)
		must.False(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), must.Sprint("it is refused for what it claims"))
	}
}
