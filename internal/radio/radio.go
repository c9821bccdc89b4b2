// Package radio is how nodes talk. A Radio owns one TCP listener and one UDP
// socket on an inner address. Calls and pushes go over links (TCP, kept open,
// msgp frames); casts are single datagrams that may be lost. What the messages
// mean is the business of the handlers that other packages hang in.
package radio

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Kinds of frames.
const (
	KindConsensus = iota + 1
	KindVersions
	KindSince
	KindSubscribe
	KindFeed
	KindIdentity
	KindProbe
	KindAck
	KindTold
	KindRunner
	KindCondition
	KindRing
	KindWant
	KindHeard
	KindTellAgain
	kinds
)

// Errors of the radio.
var (
	ErrClosed  = errors.New("radio: link closed")
	ErrTimeout = errors.New("radio: no answer in time")
)

// Handler answers a call. A nil body with a nil error is an empty answer.
type Handler func(ctx context.Context, from *Link, body []byte) ([]byte, error)

// PushHandler takes a frame that wants no answer; the frames of a link come one
// after the other.
type PushHandler func(from *Link, body []byte)

// CastHandler takes a datagram.
type CastHandler func(from string, body []byte)

// Radio is one node's end of all its links.
type Radio struct {
	addr  string
	log   logr.Logger
	pool  *ants.Pool
	udp   *net.UDPConn
	ln    net.Listener
	mu    sync.Mutex
	links map[string]*Link
	calls [kinds]Handler
	casts [kinds]CastHandler
	pushs [kinds]PushHandler
}

// New listens on addr. Handlers are hung in before Run.
func New(addr string, pool *ants.Pool, log logr.Logger) (*Radio, error) {
	lc := net.ListenConfig{Control: tune}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "radio: listen")
	}
	ua, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "radio: address")
	}
	udp, err := net.ListenUDP("udp4", ua)
	if err != nil {
		return nil, errors.Wrap(err, "radio: listen udp")
	}
	return &Radio{addr: addr, log: log, pool: pool, udp: udp, ln: ln, links: map[string]*Link{}}, nil
}

// userTimeoutMs is after how long unacknowledged bytes end a link.
const userTimeoutMs = 1500

const tcpUserTimeout = 18

func tune(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
	})
}

// Addr is the node's own inner address.
func (r *Radio) Addr() string { return r.addr }

// OnCall hangs in the handler of a kind of call.
func (r *Radio) OnCall(kind int, h Handler) { r.calls[kind] = h }

// OnPush hangs in the handler of a kind of frame that wants no answer.
func (r *Radio) OnPush(kind int, h PushHandler) { r.pushs[kind] = h }

// OnCast hangs in the handler of a kind of datagram.
func (r *Radio) OnCast(kind int, h CastHandler) { r.casts[kind] = h }

// Run accepts links and reads datagrams until ctx ends.
func (r *Radio) Run(ctx context.Context) {
	go r.readCasts()
	go func() {
		for {
			c, err := r.ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				continue
			}
			l := r.link("", c)
			go l.read(ctx)
		}
	}()
	go func() {
		<-ctx.Done()
		r.ln.Close()
		r.udp.Close()
	}()
}

func (r *Radio) readCasts() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if n < 1 || int(buf[0]) >= kinds || r.casts[buf[0]] == nil {
			continue
		}
		r.casts[buf[0]](from.String(), buf[1:n])
	}
}

// Cast sends a datagram; it may be lost.
func (r *Radio) Cast(addr string, kind int, body msgp.Marshaler) {
	b := make([]byte, 1, 512)
	b[0] = byte(kind)
	b, err := body.MarshalMsg(b)
	if err != nil || len(b) > 60<<10 {
		return
	}
	ua, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return
	}
	_, _ = r.udp.WriteToUDP(b, ua)
}

// Dial gives the link to addr, opening it if there is none.
func (r *Radio) Dial(ctx context.Context, addr string) (*Link, error) {
	r.mu.Lock()
	l := r.links[addr]
	r.mu.Unlock()
	if l != nil && !l.closed.Load() {
		return l, nil
	}
	l, err := r.dialFresh(ctx, addr)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	if old := r.links[addr]; old != nil && !old.closed.Load() {
		r.mu.Unlock()
		l.Close()
		return old, nil
	}
	r.links[addr] = l
	r.mu.Unlock()
	go l.read(context.Background())
	return l, nil
}

// dialFresh opens a link of its own; the caller reads it.
func (r *Radio) dialFresh(ctx context.Context, addr string) (*Link, error) {
	d := net.Dialer{Timeout: 800 * time.Millisecond, Control: tune, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "radio: dial")
	}
	return r.link(addr, c), nil
}

// Call asks addr and waits for the answer.
func (r *Radio) Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	l, err := r.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return l.Call(ctx, kind, body)
}

func (r *Radio) link(addr string, c net.Conn) *Link {
	return &Link{radio: r, addr: addr, conn: c, pending: map[int64]chan []byte{}, done: make(chan struct{})}
}

// Link is one TCP connection between two nodes, used both ways.
type Link struct {
	radio   *Radio
	addr    string
	conn    net.Conn
	wmu     sync.Mutex
	mu      sync.Mutex
	pending map[int64]chan []byte
	seq     int64
	closed  atomic.Bool
	done    chan struct{}
	OnPush  func(kind int, body []byte) // instead of the radio's own handlers
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Remote is the address at the other end.
func (l *Link) Remote() string { return l.conn.RemoteAddr().String() }

// Close ends the link.
func (l *Link) Close() {
	if l.closed.CompareAndSwap(false, true) {
		l.conn.Close()
		close(l.done)
		l.mu.Lock()
		for q, ch := range l.pending {
			delete(l.pending, q)
			close(ch)
		}
		l.mu.Unlock()
	}
}

func (l *Link) write(f messages.Frame) error {
	b, err := f.MarshalMsg(make([]byte, 0, len(f.Body)+32))
	if err != nil {
		return err
	}
	return l.send(b)
}

// perByte is the time that a byte of a long write may take.
const perByte = 4 * time.Microsecond

// send writes frames as they are.
func (l *Link) send(b []byte) error {
	l.wmu.Lock()
	defer l.wmu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(time.Second + time.Duration(len(b))*perByte))
	if _, err := l.conn.Write(b); err != nil {
		go l.Close()
		return errors.Wrap(ErrClosed, err.Error())
	}
	return nil
}

// Push sends a frame that wants no answer.
func (l *Link) Push(kind int, body []byte) error {
	return l.write(messages.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for its answer.
func (l *Link) Call(ctx context.Context, kind int, body msgp.Marshaler) ([]byte, error) {
	b, err := body.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	ch := make(chan []byte, 1)
	l.mu.Lock()
	l.seq++
	q := l.seq
	l.pending[q] = ch
	l.mu.Unlock()
	forget := func() {
		l.mu.Lock()
		delete(l.pending, q)
		l.mu.Unlock()
	}
	if l.closed.Load() {
		forget()
		return nil, ErrClosed
	}
	if err := l.write(messages.Frame{Kind: kind, Seq: q, Body: b}); err != nil {
		forget()
		return nil, err
	}
	select {
	case out, ok := <-ch:
		if !ok {
			return nil, ErrClosed
		}
		return out, nil
	case <-ctx.Done():
		forget()
		return nil, ErrTimeout
	}
}

func (l *Link) read(ctx context.Context) {
	defer l.Close()
	r := msgp.NewReaderSize(l.conn, 2048)
	for {
		var raw msgp.Raw
		if err := raw.DecodeMsg(r); err != nil {
			return
		}
		var f messages.Frame
		if _, err := f.UnmarshalMsg(raw); err != nil {
			return
		}
		if f.Reply {
			l.mu.Lock()
			ch := l.pending[f.Seq]
			delete(l.pending, f.Seq)
			l.mu.Unlock()
			if ch != nil {
				ch <- f.Body
			}
			continue
		}
		if f.Seq == 0 {
			// a kind that this node does not know passes by
			if l.OnPush != nil {
				l.OnPush(f.Kind, f.Body)
			} else if f.Kind > 0 && f.Kind < kinds && l.radio.pushs[f.Kind] != nil {
				l.radio.pushs[f.Kind](l, f.Body)
			}
			continue
		}
		if f.Kind <= 0 || f.Kind >= kinds || l.radio.calls[f.Kind] == nil {
			return
		}
		h := l.radio.calls[f.Kind]
		work := func() {
			out, err := h(ctx, l, f.Body)
			if err != nil {
				l.radio.log.V(1).Info("call failed", "kind", f.Kind, "err", err)
				return
			}
			_ = l.write(messages.Frame{Kind: f.Kind, Seq: f.Seq, Reply: true, Body: out})
		}
		if err := l.radio.pool.Submit(work); err != nil {
			go work()
		}
	}
}
