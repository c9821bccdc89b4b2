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

// stream is a reader that cannot seek, as a connection cannot.
type stream struct{ io.Reader }

// pieces hands bytes out in pieces of changing size.
type pieces struct {
	rest []byte
	size byte
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	p.size = p.size*5 + 3
	n := copy(b, p.rest[:min(len(p.rest), 1+int(p.size%7))])
	p.rest = p.rest[n:]
	return n, nil
}

func frames(in io.Reader) (list []messages.Frame) {
	r := newFrameReader(msgp.NewReader(in))
	for {
		f, err := r.next()
		if err != nil {
			return list
		}
		list = append(list, f)
	}
}

func encode(t testing.TB, list ...messages.Frame) (raw []byte) {
	t.Helper()
	for _, f := range list {
		var err error
		raw, err = f.MarshalMsg(raw)
		must.NoError(t, err)
	}
	return raw
}

// FuzzFrames feeds the reader any bytes: whole or in pieces they give the same
// frames, each of which is read again as it was, and as the generated reader
// reads it.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, byte(0))
	f.Add(encode(f, messages.Frame{Kind: KindSince, Seq: 1, Body: []byte("ask")}, messages.Frame{Kind: KindSince, Seq: 1, Reply: true}), byte(1))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), byte(2))
	f.Add([]byte{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff}, byte(3))
	f.Add([]byte{0x81, 0xa1, 'z', 0x91, 0x91, 0x91, 0x91}, byte(4))
	f.Fuzz(func(t *testing.T, raw []byte, size byte) {
		list := frames(stream{bytes.NewReader(raw)})
		must.Eq(t, list, frames(&pieces{raw, size}))
		again := encode(t, list...)
		must.SliceLen(t, len(list), frames(stream{bytes.NewReader(again)}))
		for _, one := range list {
			var generated messages.Frame
			rest, err := generated.UnmarshalMsg(again)
			must.NoError(t, err)
			again = rest
			must.Eq(t, one.Kind, generated.Kind)
			must.Eq(t, one.Seq, generated.Seq)
			must.Eq(t, one.Reply, generated.Reply)
			must.Eq(t, string(one.Body), string(generated.Body))
		}
	})
}

// FuzzAnswersFindTheirCalls lets calls begin and end while frames of any number
// and kind come. A call gets its own answer, once, or none.
func FuzzAnswersFindTheirCalls(f *testing.F) {
	f.Add([]byte{0, 1, 0, 2, 1, 1, 1, 1, 1, 1, 1, 2, 2})
	f.Add([]byte{0, 1, 3, 1, 1, 1, 1, 0, 2, 1, 1, 1, 1, 2, 2})
	f.Add([]byte{0, 1, 1, 1, 2, 0, 3, 4, 0, 1, 1, 2, 1})
	f.Fuzz(func(t *testing.T, script []byte) {
		script = script[:min(len(script), 512)]
		l := (&Transport{}).newConn("far", nothing{})
		calls := map[int64]chan result{} // those that nobody has ended
		kindOf := map[int64]int{}
		next := func() int {
			if len(script) == 0 {
				return 0
			}
			b := script[0]
			script = script[1:]
			return int(b)
		}
		for len(script) > 0 {
			switch next() % 5 {
			case 0: // a call begins
				kind := 1 + next()%3
				seq, ch := l.expect(kind)
				must.MapNotContainsKey(t, kindOf, seq, must.Sprint("a number is used once"))
				calls[seq], kindOf[seq] = ch, kind
			case 1, 2: // an answer comes
				seq, kind := int64(next()%8), 1+next()%3
				ch, waits := calls[seq]
				fits := l.take(context.Background(), messages.Frame{Kind: kind, Seq: seq, Reply: true, Body: []byte{byte(seq), byte(kind)}})
				must.Eq(t, !waits || kindOf[seq] == kind, fits)
				if waits && fits {
					must.Eq(t, result{body: []byte{byte(seq), byte(kindOf[seq])}}, <-ch)
					delete(calls, seq)
				}
			case 3: // a caller gives up
				seq := int64(next() % 8)
				l.forget(seq)
				delete(calls, seq)
			case 4: // a call fails at the other end
				seq, kind := int64(next()%8), 1+next()%3
				ch, waits := calls[seq]
				body := msgp.AppendInt(msgp.AppendInt64(nil, seq), kind)
				fits := l.take(context.Background(), messages.Frame{Kind: KindFailed, Body: body})
				if waits && fits {
					must.ErrorIs(t, (<-ch).err, ErrFailed)
					delete(calls, seq)
				}
			}
			for seq, ch := range calls {
				must.Eq(t, 0, len(ch), must.Sprint("call", seq, "got what is not its answer"))
			}
		}
		l.Close()
		for _, ch := range calls {
			must.ErrorIs(t, (<-ch).err, ErrClosed)
		}
	})
}

// nothing is a connection that is never read or written.
type nothing struct{ net.Conn }

func (nothing) Close() error { return nil }
