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

// unseekable hides all methods of a reader but Read: a connection cannot seek.
type unseekable struct{ io.Reader }

// chunkReader gives bytes in chunks of changing size.
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

// FuzzFrameReader reads any bytes: at once or in chunks they give the same
// frames. Each frame is decoded from its own encoding as it was, also by the
// generated decoder.
func FuzzFrameReader(f *testing.F) {
	f.Add([]byte{}, byte(0))
	f.Add(encode(f, messages.Frame{Kind: KindSince, Seq: 1, Body: []byte("ask")}, messages.Frame{Kind: KindSince, Seq: 1, Reply: true}), byte(1))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), byte(2))
	f.Add([]byte{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff}, byte(3))
	f.Add([]byte{0x81, 0xa1, 'z', 0x91, 0x91, 0x91, 0x91}, byte(4))
	f.Fuzz(func(t *testing.T, raw []byte, size byte) {
		frames := decode(unseekable{bytes.NewReader(raw)})
		must.Eq(t, frames, decode(&chunkReader{raw, size}))
		encoded := encode(t, frames...)
		must.SliceLen(t, len(frames), decode(unseekable{bytes.NewReader(encoded)}))
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

// FuzzResponsesMatchRequests lets requests begin and end while frames of any
// sequence number and kind arrive. A request gets its own response, once, or
// none.
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

// requestModel plays a script against a connection and knows which requests
// should wait.
type requestModel struct {
	t        *testing.T
	script   []byte
	conn     *Conn
	requests map[int64]chan result // those that have not ended
	kinds    map[int64]int         // of all requests so far
}

// next takes a number from the script.
func (m *requestModel) next() int {
	if len(m.script) == 0 {
		return 0
	}
	b := m.script[0]
	m.script = m.script[1:]
	return int(b)
}

func (m *requestModel) nextSeq() int64 { return int64(m.next() % 8) }

func (m *requestModel) nextKind() int { return 1 + m.next()%3 }

func (m *requestModel) step() {
	m.t.Helper()
	switch m.next() % 5 {
	case 0:
		m.request()
	case 1, 2:
		m.respond()
	case 3:
		m.giveUp()
	default:
		m.respondFailure()
	}
	for seq, ch := range m.requests {
		must.Eq(m.t, 0, len(ch), must.Sprint("request", seq, "got what is not its response"))
	}
}

func (m *requestModel) request() {
	m.t.Helper()
	kind := m.nextKind()
	seq, ch := m.conn.pending.add(kind)
	must.MapNotContainsKey(m.t, m.kinds, seq, must.Sprint("a sequence number is used once"))
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

func (m *requestModel) giveUp() {
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
