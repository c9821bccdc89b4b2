package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Errors of a call. After any of them the call may have been carried out: the
// transport never repeats one by itself.
var (
	ErrClosed  = errors.New("transport: link closed")
	ErrTimeout = errors.New("transport: no answer in time")
	ErrFailed  = errors.New("transport: the other end could not answer")
)

// Conn is one TCP connection between two nodes, used both ways. An answer is
// matched by connection, number and kind; the numbers are never used again, so
// an answer that comes late, twice or from an earlier connection finds nothing.
type Conn struct {
	transport *Transport
	addr      string
	conn      net.Conn
	wmu       sync.Mutex
	broken    bool // a write ended in the middle of a frame, or may have
	mu        sync.Mutex
	pending   map[int64]call
	seq       int64
	closed    atomic.Bool
	done      chan struct{}
	OnPush    func(kind int, body []byte) // instead of the transport's own handlers
}

// call is one that waits for its answer.
type call struct {
	kind int
	ch   chan result
}

type result struct {
	body []byte
	err  error
}

func (r *Transport) newConn(addr string, c net.Conn) *Conn {
	return &Conn{transport: r, addr: addr, conn: c, pending: map[int64]call{}, done: make(chan struct{})}
}

// Done is closed when the connection has ended.
func (l *Conn) Done() <-chan struct{} { return l.done }

// Remote is the address at the other end.
func (l *Conn) Remote() string { return l.conn.RemoteAddr().String() }

// Close ends the connection, and every call that waits on it.
func (l *Conn) Close() {
	if !l.closed.CompareAndSwap(false, true) {
		return
	}
	l.conn.Close()
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, waiting := range l.pending {
		delete(l.pending, seq)
		waiting.ch <- result{err: ErrClosed}
	}
}

func (l *Conn) write(f messages.Frame) error {
	b, err := f.MarshalMsg(make([]byte, 0, len(f.Body)+32))
	if err != nil {
		return err
	}
	return l.SendRaw(b)
}

// perByte is the time that a byte of a long write may take.
const perByte = 4 * time.Microsecond

// SendRaw writes encoded frames as they are. After a write that failed nothing
// more is written: the other end would read it as the rest of the frame before.
func (l *Conn) SendRaw(b []byte) error {
	l.wmu.Lock()
	defer l.wmu.Unlock()
	if l.broken {
		return ErrClosed
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(time.Second + time.Duration(len(b))*perByte))
	if _, err := l.conn.Write(b); err != nil {
		l.broken = true
		go l.Close()
		return errors.Wrap(ErrClosed, err.Error())
	}
	return nil
}

// Push sends a frame that wants no answer.
func (l *Conn) Push(kind int, body []byte) error {
	return l.write(messages.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for its answer.
func (l *Conn) Call(ctx context.Context, kind int, body msgp.Marshaler) ([]byte, error) {
	b, err := body.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout // as after a freeze of this process: nobody waits for it any more
	}
	seq, ch := l.expect(kind)
	defer l.forget(seq)
	if l.closed.Load() {
		return nil, ErrClosed
	}
	if err := l.write(messages.Frame{Kind: kind, Seq: seq, Body: b}); err != nil {
		return nil, err
	}
	select {
	case r := <-ch:
		return r.body, r.err
	case <-ctx.Done():
		return nil, ErrTimeout
	}
}

func (l *Conn) expect(kind int) (seq int64, ch chan result) {
	ch = make(chan result, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.pending[l.seq] = call{kind, ch}
	return l.seq, ch
}

func (l *Conn) forget(seq int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, seq)
}

// answered hands an answer to the call that waits for it. It tells whether the
// other end keeps to the protocol: an answer of another kind is none to the call
// under its number.
func (l *Conn) answered(seq int64, kind int, r result) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting, ok := l.pending[seq]
	if !ok {
		return true // late, doubled or never asked for
	}
	if waiting.kind != kind {
		return false
	}
	delete(l.pending, seq)
	waiting.ch <- r
	return true
}

// Serve reads frames until the connection ends, and hands them on.
func (l *Conn) Serve(ctx context.Context) {
	defer l.Close()
	in := newFrameReader(msgp.NewReaderSize(l.conn, 2048))
	for {
		f, err := in.next()
		if err != nil || !l.take(ctx, f) {
			return
		}
	}
}

// take hands one frame on. It tells whether the connection can go on.
func (l *Conn) take(ctx context.Context, f messages.Frame) bool {
	switch {
	case f.Reply:
		return l.answered(f.Seq, f.Kind, result{body: f.Body})
	case f.Kind == KindFailed:
		seq, kind, ok := readFailure(f.Body)
		return ok && l.answered(seq, kind, result{err: ErrFailed})
	case f.Seq == 0:
		l.pushed(f)
	default:
		l.called(ctx, f)
	}
	return true
}

// pushed hands on a frame that wants no answer; a kind that this node does not
// know passes by.
func (l *Conn) pushed(f messages.Frame) {
	if l.OnPush != nil {
		l.OnPush(f.Kind, f.Body)
		return
	}
	if f.Kind > 0 && f.Kind < kinds && l.transport.pushes[f.Kind] != nil {
		l.transport.pushes[f.Kind](l, f.Body)
	}
}

// called answers a call, or tells the caller at once that it gets no answer.
func (l *Conn) called(ctx context.Context, f messages.Frame) {
	if f.Kind <= 0 || f.Kind >= kinds || l.transport.calls[f.Kind] == nil {
		_ = l.fail(f)
		return
	}
	handler := l.transport.calls[f.Kind]
	work := func() {
		out, err := handler(ctx, l, f.Body)
		if err != nil {
			l.transport.log.V(1).Info("call failed", "kind", f.Kind, "err", err)
			_ = l.fail(f)
			return
		}
		_ = l.write(messages.Frame{Kind: f.Kind, Seq: f.Seq, Reply: true, Body: out})
	}
	if err := l.transport.pool.Submit(work); err != nil {
		go work()
	}
}

// fail tells the caller that a call gets no answer. It is a frame of its own
// kind and no reply, which a node of an earlier version passes by.
func (l *Conn) fail(f messages.Frame) error {
	body := msgp.AppendInt(msgp.AppendInt64(nil, f.Seq), f.Kind)
	return l.Push(KindFailed, body)
}

func readFailure(body []byte) (seq int64, kind int, ok bool) {
	seq, rest, err := msgp.ReadInt64Bytes(body)
	if err != nil {
		return 0, 0, false
	}
	kind, rest, err = msgp.ReadIntBytes(rest)
	return seq, kind, err == nil && len(rest) == 0
}
