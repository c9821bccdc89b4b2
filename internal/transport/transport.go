// Package transport carries messages between nodes. A Transport owns one TCP
// listener and one UDP socket on an internal address. Calls and pushes go over
// long-lived TCP connections in msgp frames; datagrams may be lost. What the
// messages mean is up to the handlers that other packages register.
package transport

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
	KindDraining
	kinds
)

// Errors of the transport.
var (
	ErrClosed  = errors.New("transport: link closed")
	ErrTimeout = errors.New("transport: no answer in time")
)

// Handler answers a call. A nil body with a nil error is an empty answer.
type Handler func(ctx context.Context, from *Conn, body []byte) ([]byte, error)

// PushHandler takes a frame that wants no answer; the frames of a connection come one
// after the other.
type PushHandler func(from *Conn, body []byte)

// DatagramHandler takes a datagram.
type DatagramHandler func(from string, body []byte)

// Transport is one node's end of all its conns.
type Transport struct {
	addr      string
	log       logr.Logger
	pool      *ants.Pool
	udp       *net.UDPConn
	ln        net.Listener
	mu        sync.Mutex
	conns     map[string]*Conn
	calls     [kinds]Handler
	datagrams [kinds]DatagramHandler
	pushes    [kinds]PushHandler
}

// New listens on addr. Handlers are hung in before Run.
func New(addr string, pool *ants.Pool, log logr.Logger) (*Transport, error) {
	lc := net.ListenConfig{Control: tune}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "transport: listen")
	}
	ua, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "transport: address")
	}
	udp, err := net.ListenUDP("udp4", ua)
	if err != nil {
		return nil, errors.Wrap(err, "transport: listen udp")
	}
	return &Transport{addr: addr, log: log, pool: pool, udp: udp, ln: ln, conns: map[string]*Conn{}}, nil
}

// userTimeoutMs is after how long unacknowledged bytes end a connection.
const userTimeoutMs = 1500

const tcpUserTimeout = 18

func tune(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
	})
}

// Addr is the node's own inner address.
func (r *Transport) Addr() string { return r.addr }

// OnCall hangs in the handler of a kind of call.
func (r *Transport) OnCall(kind int, h Handler) { r.calls[kind] = h }

// OnPush hangs in the handler of a kind of frame that wants no answer.
func (r *Transport) OnPush(kind int, h PushHandler) { r.pushes[kind] = h }

// OnDatagram hangs in the handler of a kind of datagram.
func (r *Transport) OnDatagram(kind int, h DatagramHandler) { r.datagrams[kind] = h }

// Run accepts conns and reads datagrams until ctx ends.
func (r *Transport) Run(ctx context.Context) {
	go r.readDatagrams()
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
			l := r.newConn("", c)
			go l.Serve(ctx)
		}
	}()
	go func() {
		<-ctx.Done()
		r.ln.Close()
		r.udp.Close()
	}()
}

func (r *Transport) readDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if n < 1 || int(buf[0]) >= kinds || r.datagrams[buf[0]] == nil {
			continue
		}
		r.datagrams[buf[0]](from.String(), buf[1:n])
	}
}

// SendDatagram sends a datagram; it may be lost.
func (r *Transport) SendDatagram(addr string, kind int, body msgp.Marshaler) {
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

// Dial gives the connection to addr, opening it if there is none.
func (r *Transport) Dial(ctx context.Context, addr string) (*Conn, error) {
	r.mu.Lock()
	l := r.conns[addr]
	r.mu.Unlock()
	if l != nil && !l.closed.Load() {
		return l, nil
	}
	l, err := r.DialFresh(ctx, addr)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	if old := r.conns[addr]; old != nil && !old.closed.Load() {
		r.mu.Unlock()
		l.Close()
		return old, nil
	}
	r.conns[addr] = l
	r.mu.Unlock()
	go l.Serve(context.Background())
	return l, nil
}

// DialFresh opens a connection of its own; the caller serves it.
func (r *Transport) DialFresh(ctx context.Context, addr string) (*Conn, error) {
	d := net.Dialer{Timeout: 800 * time.Millisecond, Control: tune, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "transport: dial")
	}
	return r.newConn(addr, c), nil
}

// Call asks addr and waits for the answer.
func (r *Transport) Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	l, err := r.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return l.Call(ctx, kind, body)
}

func (r *Transport) newConn(addr string, c net.Conn) *Conn {
	return &Conn{transport: r, addr: addr, conn: c, pending: map[int64]chan []byte{}, done: make(chan struct{})}
}

// Conn is one TCP connection between two nodes, used both ways.
type Conn struct {
	transport *Transport
	addr      string
	conn      net.Conn
	wmu       sync.Mutex
	mu        sync.Mutex
	pending   map[int64]chan []byte
	seq       int64
	closed    atomic.Bool
	done      chan struct{}
	OnPush    func(kind int, body []byte) // instead of the transport's own handlers
}

// Done is closed when the connection has ended.
func (l *Conn) Done() <-chan struct{} { return l.done }

// Remote is the address at the other end.
func (l *Conn) Remote() string { return l.conn.RemoteAddr().String() }

// Close ends the connection.
func (l *Conn) Close() {
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

func (l *Conn) write(f messages.Frame) error {
	b, err := f.MarshalMsg(make([]byte, 0, len(f.Body)+32))
	if err != nil {
		return err
	}
	return l.SendRaw(b)
}

// perByte is the time that a byte of a long write may take.
const perByte = 4 * time.Microsecond

// SendRaw writes encoded frames as they are.
func (l *Conn) SendRaw(b []byte) error {
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
func (l *Conn) Push(kind int, body []byte) error {
	return l.write(messages.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for its answer.
func (l *Conn) Call(ctx context.Context, kind int, body msgp.Marshaler) ([]byte, error) {
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

// Serve reads frames until the connection ends, and hands them on.
func (l *Conn) Serve(ctx context.Context) {
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
			} else if f.Kind > 0 && f.Kind < kinds && l.transport.pushes[f.Kind] != nil {
				l.transport.pushes[f.Kind](l, f.Body)
			}
			continue
		}
		if f.Kind <= 0 || f.Kind >= kinds || l.transport.calls[f.Kind] == nil {
			return
		}
		h := l.transport.calls[f.Kind]
		work := func() {
			out, err := h(ctx, l, f.Body)
			if err != nil {
				l.transport.log.V(1).Info("call failed", "kind", f.Kind, "err", err)
				return
			}
			_ = l.write(messages.Frame{Kind: f.Kind, Seq: f.Seq, Reply: true, Body: out})
		}
		if err := l.transport.pool.Submit(work); err != nil {
			go work()
		}
	}
}
