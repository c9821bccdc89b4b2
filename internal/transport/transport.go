// Package transport carries messages between nodes. A Transport owns one TCP
// listener and one UDP socket on an internal address. Calls and pushes go over
// long-lived TCP connections in msgp frames; datagrams may be lost. What the
// messages mean is up to the handlers that other packages register.
package transport

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
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
	KindFailed // a call could not be answered
	KindDraining
	kinds
)

// Handler answers a call. A nil body with a nil error is an empty answer; after
// an error the caller is told at once that there will be none.
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
