package transport

import (
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

// newTestTransport returns a transport without sockets.
func newTestTransport(t testing.TB) *Transport {
	t.Helper()
	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	must.NoError(t, err)
	t.Cleanup(pool.Release)
	return &Transport{log: logr.Discard(), pool: pool, conns: map[string]*Conn{}}
}

// fakePeer is the remote end of a connection, controlled by the test.
type fakePeer struct {
	t    *testing.T
	conn net.Conn
	in   frameReader
	near *Conn // the end under test
}

func newFakePeer(t *testing.T, trans *Transport) *fakePeer {
	t.Helper()
	nearEnd, peerEnd := net.Pipe()
	near := trans.newConn("peer", nearEnd)
	go near.Serve(context.Background())
	t.Cleanup(near.Close)
	return &fakePeer{t: t, conn: peerEnd, in: newFrameReader(msgp.NewReader(peerEnd)), near: near}
}

func (f *fakePeer) read() messages.Frame {
	f.t.Helper()
	frame, err := f.in.next()
	must.NoError(f.t, err)
	return frame
}

func (f *fakePeer) write(frames ...messages.Frame) {
	f.t.Helper()
	_, err := f.conn.Write(encodeFrames(f.t, frames...))
	must.NoError(f.t, err)
}

// pendingCount returns how many requests of the near end wait for a response.
func (f *fakePeer) pendingCount() int {
	f.near.pending.mu.Lock()
	defer f.near.pending.mu.Unlock()
	return len(f.near.pending.waiting)
}

// outcome is the response body or the error of a request.
type outcome struct {
	body string
	err  error
}

// call sends a request from the near end.
func (f *fakePeer) call(ctx context.Context, kind int) chan outcome {
	out := make(chan outcome, 1)
	go func() {
		body, err := f.near.Call(ctx, kind, &messages.Versions{Parts: []int64{}})
		out <- outcome{string(body), err}
	}()
	return out
}

func responseTo(request messages.Frame, body string) messages.Frame {
	return messages.Frame{Kind: request.Kind, Seq: request.Seq, Reply: true, Body: []byte(body)}
}

// withTimeout returns a context with a deadline far beyond the duration of any test.
func withTimeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestLateAndRepeatedResponsesAreIgnored(t *testing.T) {
	trans := newTestTransport(t)
	handled := make(chan bool, 1)
	trans.OnPush(KindSyncState, func(*Conn, []byte) { handled <- true })
	peer := newFakePeer(t, trans)
	ctx, cancel := context.WithCancel(context.Background())
	first := peer.call(ctx, KindSince)
	request1 := peer.read()
	cancel()
	must.ErrorIs(t, (<-first).err, ErrTimeout)
	must.Eq(t, 0, peer.pendingCount(), must.Sprint("a cancelled request must be removed"))

	second := peer.call(withTimeout(t), KindSince)
	request2 := peer.read()
	peer.write(
		responseTo(request1, "late"),
		responseTo(request2, "own"),
		responseTo(request2, "repeated"),
		responseTo(messages.Frame{Kind: KindSince, Seq: request2.Seq + 1}, "early"),
		messages.Frame{Kind: KindSyncState},
	)
	must.Eq(t, outcome{body: "own"}, <-second)
	<-handled // frames are handled in order, so all responses before it have been processed

	third := peer.call(withTimeout(t), KindSince)
	request3 := peer.read()
	peer.write(responseTo(request3, "third"))
	must.Eq(t, outcome{body: "third"}, <-third)
}

func TestResponseOfAnotherKindClosesConn(t *testing.T) {
	peer := newFakePeer(t, newTestTransport(t))
	pending := peer.call(withTimeout(t), KindSince)
	request := peer.read()
	request.Kind = KindVersions
	peer.write(responseTo(request, "foreign"))
	must.ErrorIs(t, (<-pending).err, ErrClosed)
}

func TestResponseOnAnotherConnIsIgnored(t *testing.T) {
	trans := newTestTransport(t)
	a, b := newFakePeer(t, trans), newFakePeer(t, trans)
	pending := a.call(withTimeout(t), KindSince)
	request := a.read()
	b.write(responseTo(request, "of another connection"))
	a.write(responseTo(request, "own"))
	must.Eq(t, outcome{body: "own"}, <-pending)
}

func TestHandlerErrorFailsRequestImmediately(t *testing.T) {
	trans := newTestTransport(t)
	trans.OnCall(KindSince, func(context.Context, *Conn, []byte) ([]byte, error) { return nil, errors.New("no") })
	requesterEnd, responderEnd := net.Pipe()
	requester, responder := trans.newConn("a", requesterEnd), trans.newConn("b", responderEnd)
	defer requester.Close()
	go requester.Serve(context.Background())
	go responder.Serve(context.Background())
	for _, kind := range []int{KindSince, KindVersions, kindCount + 7} {
		_, err := requester.Call(withTimeout(t), kind, &messages.Versions{Parts: []int64{}})
		must.ErrorIs(t, err, ErrRemote, must.Sprint("kind", kind))
	}
	must.False(t, responder.closed.Load(), must.Sprint("a failed request must not close the connection"))
}

func TestRequestIsNotSentAfterContextEnded(t *testing.T) {
	peer := newFakePeer(t, newTestTransport(t))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	must.ErrorIs(t, (<-peer.call(ended, KindSince)).err, ErrTimeout)
	pending := peer.call(withTimeout(t), KindVersions)
	request := peer.read()
	must.Eq(t, KindVersions, request.Kind, must.Sprint("an expired request was sent"))
	peer.write(responseTo(request, ""))
	must.NoError(t, (<-pending).err)
}

func TestClosedConnFailsAllPendingRequests(t *testing.T) {
	peer := newFakePeer(t, newTestTransport(t))
	a, b := peer.call(withTimeout(t), KindSince), peer.call(withTimeout(t), KindVersions)
	peer.read()
	peer.read()
	peer.conn.Close()
	must.ErrorIs(t, (<-a).err, ErrClosed)
	must.ErrorIs(t, (<-b).err, ErrClosed)
}

// shortWriter writes half of the first buffer and then returns an error, as at a deadline.
type shortWriter struct {
	net.Conn
	written []byte
}

func (s *shortWriter) Write(b []byte) (int, error) {
	if len(s.written) == 0 {
		s.written = append(s.written, b[:len(b)/2]...)
		return len(b) / 2, io.ErrShortWrite
	}
	s.written = append(s.written, b...)
	return len(b), nil
}

func TestNothingIsWrittenAfterPartialFrame(t *testing.T) {
	end, _ := net.Pipe()
	writer := &shortWriter{Conn: end}
	conn := newTestTransport(t).newConn("peer", writer)
	must.ErrorIs(t, conn.Push(KindFeed, []byte("one")), ErrClosed)
	length := len(writer.written)
	must.ErrorIs(t, conn.Push(KindFeed, []byte("two")), ErrClosed)
	must.Len(t, length, writer.written)
}

func TestEachKindHasUniqueName(t *testing.T) {
	names := map[string]int{}
	for kind := 1; kind < kindCount; kind++ {
		name := kindName(kind)
		must.NotEq(t, "", name, must.Sprint("kind", kind))
		must.MapNotContainsKey(t, names, name)
		names[name] = kind
	}
	must.Eq(t, "kind 99", kindName(99))
}

// Guards against closing the connection to a peer that reads slowly: the whole message takes
// longer than writeTimeout, but each part takes less.
func TestConnStaysOpenWhilePeerReadsSlowly(t *testing.T) {
	peer := newFakePeer(t, newTestTransport(t))
	const parts = 4
	sent := make(chan error, 1)
	go func() { sent <- peer.near.SendRaw(make([]byte, parts*writeBytes)) }()
	b := make([]byte, writeBytes)
	for range parts {
		time.Sleep(writeTimeout / 2)
		_, err := io.ReadFull(peer.conn, b)
		must.NoError(t, err)
	}
	must.NoError(t, <-sent)
}
