package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// unseekable hides all methods of a reader except Read, because a connection cannot seek.
type unseekable struct{ io.Reader }

// chunkReader returns bytes in chunks of varying size.
type chunkReader struct {
	rest []byte
	size byte
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	c.size = c.size*5 + 3
	n := copy(b, c.rest[:min(len(c.rest), 1+int(c.size%7))])
	c.rest = c.rest[n:]
	return n, nil
}

// FuzzFrameReader reads arbitrary bytes. Reading them at once and in chunks must yield
// the same frames, and each frame must survive encoding and decoding, also with the
// generated decoder.
func FuzzFrameReader(f *testing.F) {
	f.Add([]byte{}, byte(0))
	f.Add(encodeFrames(f, messages.Frame{Kind: KindSince, Seq: 1, Body: []byte("ask")}, messages.Frame{Kind: KindSince, Seq: 1, Reply: true}), byte(1))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), byte(2))
	f.Add([]byte{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff}, byte(3))
	f.Add([]byte{0x81, 0xa1, 'z', 0x91, 0x91, 0x91, 0x91}, byte(4))
	f.Fuzz(func(t *testing.T, raw []byte, size byte) {
		frames := decodeFrames(unseekable{bytes.NewReader(raw)})
		must.Eq(t, frames, decodeFrames(&chunkReader{raw, size}))
		encoded := encodeFrames(t, frames...)
		must.SliceLen(t, len(frames), decodeFrames(unseekable{bytes.NewReader(encoded)}))
		for _, frame := range frames {
			var generated messages.Frame
			rest, err := generated.UnmarshalMsg(encoded)
			must.NoError(t, err)
			encoded = rest
			must.Eq(t, frame.Kind, generated.Kind)
			must.Eq(t, frame.Seq, generated.Seq)
			must.Eq(t, frame.Reply, generated.Reply)
			must.Eq(t, string(frame.Body), string(generated.Body))
		}
	})
}

// FuzzResponsesMatchRequests starts and cancels requests while frames with arbitrary
// sequence numbers and kinds arrive. A request must get its own response at most once,
// and no other.
func FuzzResponsesMatchRequests(f *testing.F) {
	f.Add([]byte{0, 1, 0, 2, 1, 1, 1, 1, 1, 1, 1, 2, 2})
	f.Add([]byte{0, 1, 3, 1, 1, 1, 1, 0, 2, 1, 1, 1, 1, 2, 2})
	f.Add([]byte{0, 1, 1, 1, 2, 0, 3, 4, 0, 1, 1, 2, 1})
	f.Fuzz(func(t *testing.T, script []byte) {
		m := &requestModel{
			t:        t,
			script:   script[:min(len(script), 512)],
			conn:     (&Transport{}).newConn("peer", unusedConn{}),
			requests: map[int64]chan result{},
			kinds:    map[int64]int{},
		}
		for len(m.script) > 0 {
			m.step()
		}
		m.conn.Close()
		for _, ch := range m.requests {
			must.ErrorIs(t, (<-ch).err, ErrClosed)
		}
	})
}

// requestModel runs a script against a connection and tracks which requests should be
// pending.
type requestModel struct {
	t        *testing.T
	script   []byte
	conn     *Conn
	requests map[int64]chan result // pending requests by sequence number
	kinds    map[int64]int         // kinds of all requests so far, by sequence number
}

// nextByte returns the next byte of the script, or 0 at its end.
func (m *requestModel) nextByte() int {
	if len(m.script) == 0 {
		return 0
	}
	b := m.script[0]
	m.script = m.script[1:]
	return int(b)
}

func (m *requestModel) nextSeq() int64 { return int64(m.nextByte() % 8) }

func (m *requestModel) nextKind() int { return 1 + m.nextByte()%3 }

func (m *requestModel) step() {
	m.t.Helper()
	switch m.nextByte() % 5 {
	case 0:
		m.request()
	case 1, 2:
		m.respond()
	case 3:
		m.cancel()
	default:
		m.respondFailure()
	}
	for seq, ch := range m.requests {
		must.Eq(m.t, 0, len(ch), must.Sprint("request", seq, "received a result without a response to it"))
	}
}

func (m *requestModel) request() {
	m.t.Helper()
	kind := m.nextKind()
	seq, ch := m.conn.pending.add(kind)
	must.MapNotContainsKey(m.t, m.kinds, seq, must.Sprint("a sequence number was reused"))
	m.requests[seq], m.kinds[seq] = ch, kind
}

func (m *requestModel) respond() {
	m.t.Helper()
	seq, kind := m.nextSeq(), m.nextKind()
	ch, waits := m.requests[seq]
	body := []byte{byte(seq), byte(kind)}
	accepted := m.conn.handle(context.Background(), messages.Frame{Kind: kind, Seq: seq, Reply: true, Body: body})
	must.Eq(m.t, !waits || m.kinds[seq] == kind, accepted)
	if waits && accepted {
		must.Eq(m.t, result{body: []byte{byte(seq), byte(m.kinds[seq])}}, <-ch)
		delete(m.requests, seq)
	}
}

func (m *requestModel) cancel() {
	seq := m.nextSeq()
	m.conn.pending.remove(seq)
	delete(m.requests, seq)
}

func (m *requestModel) respondFailure() {
	m.t.Helper()
	seq, kind := m.nextSeq(), m.nextKind()
	ch, waits := m.requests[seq]
	body := msgp.AppendInt(msgp.AppendInt64(nil, seq), kind)
	accepted := m.conn.handle(context.Background(), messages.Frame{Kind: KindFailed, Body: body})
	if waits && accepted {
		must.ErrorIs(m.t, (<-ch).err, ErrRemote)
		delete(m.requests, seq)
	}
}

// unusedConn is a connection that is neither read nor written.
type unusedConn struct{ net.Conn }

func (unusedConn) Close() error { return nil }
