// Package transport carries messages between nodes. It knows nothing of what
// they mean: other packages register handlers by kind of message.
//
// A Transport owns one TCP listener and one UDP socket on the node's internal
// address. Requests with their responses and one-way frames go over long-lived
// TCP connections in msgp frames, large ones compressed; datagrams may get lost. Frames of one
// connection arrive in order, or the connection ends. A request is sent at most
// once: after an error the caller decides whether to retry.
//
// Handlers are registered before Run and not changed afterwards. A goroutine for
// each connection runs Conn.Serve; one goroutine reads datagrams and calls their
// handlers, one after the other; one accepts connections.
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
	acceptRetryDelay = 10 * time.Millisecond // after an accept that failed, as without file descriptors

	// userTimeoutMs is after how long bytes that the peer did not acknowledge
	// end a connection.
	userTimeoutMs  = 1500
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
)

// Handler responds to a request with a body; a nil body is an empty response.
// After an error the requester is told at once that there will be no response.
type Handler func(ctx context.Context, from *Conn, body []byte) ([]byte, error)

// PushHandler handles a one-way frame. It is called for one frame of a
// connection after the other and must not block.
type PushHandler func(from *Conn, body []byte)

// DatagramHandler handles a datagram from a network address. The body is valid
// until it returns.
type DatagramHandler func(from string, body []byte)

// Transport is one node's end of all its connections. It is safe for concurrent
// use once it runs.
type Transport struct {
	addr     string
	log      logr.Logger
	pool     *ants.Pool // handles requests
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
	// The context bounds the look-up of a name only; addr holds none.
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

// Addr is the node's own internal address, as given to New.
func (t *Transport) Addr() string { return t.addr }

// OnCall registers the handler of a kind of request.
func (t *Transport) OnCall(kind int, h Handler) { t.requestHandlers[kind] = h }

// OnPush registers the handler of a kind of one-way frame.
func (t *Transport) OnPush(kind int, h PushHandler) { t.pushHandlers[kind] = h }

// OnDatagram registers the handler of a kind of datagram.
func (t *Transport) OnDatagram(kind int, h DatagramHandler) { t.datagramHandlers[kind] = h }

// Run starts to accept connections and to read datagrams, and returns at once;
// both end with ctx.
func (t *Transport) Run(ctx context.Context) {
	go t.readDatagrams()
	go t.acceptConns(ctx)
	go func() {
		<-ctx.Done()
		t.Close()
	}()
}

// Close gives up the addresses of this node. It has done so when it returns; the end
// of Run's context does the same a little later.
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

// Dial returns the connection to addr that all callers share, and opens it if
// there is none.
func (t *Transport) Dial(ctx context.Context, addr string) (*Conn, error) {
	if c := t.openConn(addr); c != nil {
		return c, nil
	}
	c, err := t.DialFresh(ctx, addr)
	if err != nil {
		return nil, err
	}
	if earlier := t.shareConn(addr, c); earlier != nil {
		c.Close()
		return earlier, nil
	}
	// Other callers use the connection too: it outlives this caller's context.
	go c.Serve(context.Background())
	return c, nil
}

// openConn gives the shared connection to addr, or nil.
func (t *Transport) openConn(addr string) *Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[addr]; c != nil && !c.closed.Load() {
		return c
	}
	return nil
}

// shareConn makes c the shared connection to addr, unless another caller has
// opened one meanwhile, which it returns.
func (t *Transport) shareConn(addr string, c *Conn) (earlier *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if earlier := t.conns[addr]; earlier != nil && !earlier.closed.Load() {
		return earlier
	}
	t.conns[addr] = c
	return nil
}

// DialFresh opens a connection that is not shared. The caller runs its Serve and
// closes it.
func (t *Transport) DialFresh(ctx context.Context, addr string) (*Conn, error) {
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
