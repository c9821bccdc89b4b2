// Package transport sends messages between nodes. It does not interpret them: other
// packages register handlers by kind of message.
//
// A Transport owns one TCP listener and one UDP socket on the node's internal
// address. Requests, responses and one-way messages are sent as msgp frames over
// long-lived TCP connections, large ones compressed. Frames of one connection arrive in
// order, or the connection ends. Datagrams may be lost. A request is sent at most once:
// after an error the caller decides whether to retry.
//
// Handlers are registered before Run and not changed afterwards. A goroutine per
// connection runs Conn.Serve; one goroutine reads datagrams and calls their handlers
// sequentially; one accepts connections.
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

const (
	dialTimeout      = 800 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept, for example for lack of file descriptors

	// userTimeoutMs is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeoutMs  = 1500
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
)

// Handler handles a request and returns the body of the response; a nil body is an
// empty response. If it returns an error, the requester gets ErrRemote immediately.
type Handler func(ctx context.Context, from *Conn, body []byte) ([]byte, error)

// PushHandler handles a one-way frame. It is called sequentially for the frames of a
// connection and must not block.
type PushHandler func(from *Conn, body []byte)

// DatagramHandler handles a datagram from a network address. The body is valid only
// until the handler returns.
type DatagramHandler func(from string, body []byte)

// Transport manages the connections and the UDP socket of one node. It is safe for
// concurrent use after Run.
type Transport struct {
	addr     string
	log      logr.Logger
	pool     *ants.Pool // runs the request handlers
	udp      *net.UDPConn
	listener net.Listener

	// The handlers by kind; not changed once the transport runs.
	requestHandlers  [kindCount]Handler
	pushHandlers     [kindCount]PushHandler
	datagramHandlers [kindCount]DatagramHandler

	mu    sync.Mutex // guards conns
	conns map[string]*Conn

	traffic traffic
}

// New listens on addr, an IPv4 address with a port, for TCP and UDP. Requests
// are handled in the pool, which must not block when it is full.
func New(addr string, pool *ants.Pool, log logr.Logger) (*Transport, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: address %s", addr)
	}
	config := net.ListenConfig{Control: setSocketOptions}
	// The context only limits name resolution, and addr is an IP address.
	listener, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "transport: listen for TCP")
	}
	udp, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "transport: listen for UDP")
	}
	return &Transport{addr: addr, log: log, pool: pool, udp: udp, listener: listener, conns: map[string]*Conn{}}, nil
}

func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
	})
}

// Addr returns the node's internal address, as passed to New.
func (t *Transport) Addr() string { return t.addr }

// OnCall registers the handler for a kind of request.
func (t *Transport) OnCall(kind int, h Handler) { t.requestHandlers[kind] = h }

// OnPush registers the handler for a kind of one-way frame.
func (t *Transport) OnPush(kind int, h PushHandler) { t.pushHandlers[kind] = h }

// OnDatagram registers the handler for a kind of datagram.
func (t *Transport) OnDatagram(kind int, h DatagramHandler) { t.datagramHandlers[kind] = h }

// Run starts accepting connections and reading datagrams in the background, and
// returns immediately. Both stop when ctx ends.
func (t *Transport) Run(ctx context.Context) {
	go t.readDatagrams()
	go t.acceptConns(ctx)
	go func() {
		<-ctx.Done()
		t.Close()
	}()
}

// Close closes the listener and the UDP socket of this node before it returns. The end
// of Run's context does the same asynchronously.
func (t *Transport) Close() {
	t.listener.Close()
	t.udp.Close()
}

func (t *Transport) acceptConns(ctx context.Context) {
	for {
		c, err := t.listener.Accept()
		if err == nil {
			go t.newConn("", c).Serve(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

// Dial returns the shared connection to addr, and opens it if there is none.
func (t *Transport) Dial(ctx context.Context, addr string) (*Conn, error) {
	if c := t.openConn(addr); c != nil {
		return c, nil
	}
	c, err := t.DialUnshared(ctx, addr)
	if err != nil {
		return nil, err
	}
	if existing := t.shareConn(addr, c); existing != nil {
		c.Close()
		return existing, nil
	}
	// Other callers use the connection too, so it must outlive this caller's context.
	go c.Serve(context.Background())
	return c, nil
}

// openConn returns the open shared connection to addr, or nil.
func (t *Transport) openConn(addr string) *Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[addr]; c != nil && !c.closed.Load() {
		return c
	}
	return nil
}

// shareConn makes c the shared connection to addr, unless another caller has
// opened one in the meantime; it then returns that one.
func (t *Transport) shareConn(addr string, c *Conn) (existing *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing := t.conns[addr]; existing != nil && !existing.closed.Load() {
		return existing
	}
	t.conns[addr] = c
	return nil
}

// DialUnshared opens a connection that is not shared. The caller must run Serve on it and
// close it.
func (t *Transport) DialUnshared(ctx context.Context, addr string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setSocketOptions, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "transport: dial")
	}
	conn := t.newConn(addr, c)
	if err := conn.Push(KindReadsCompressed, readsCompressedBody()); err != nil {
		return nil, err
	}
	return conn, nil
}

// Call sends a request to addr over the shared connection; see Conn.Call.
func (t *Transport) Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	c, err := t.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, kind, body)
}

// CallUnshared sends a request to addr over a connection of its own; see Conn.Call. Its result is about
// the path as it is now: on a shared connection that was cut off, the kernel may send again
// only long after the path is whole.
func (t *Transport) CallUnshared(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error) {
	c, err := t.DialUnshared(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	go c.Serve(ctx)
	return c.Call(ctx, kind, body)
}
