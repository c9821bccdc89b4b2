package transport

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
)

// Errors of a request. After any of them the peer may still have executed the request;
// the transport never retries.
var (
	ErrClosed  = errors.New("transport: connection closed")
	ErrTimeout = errors.New("transport: no response in time")
	ErrRemote  = errors.New("transport: the peer could not respond")
)

const (
	// writeTimeout limits the time to write each writeBytes of a frame: a stalled connection
	// is closed, while a slow one stays open.
	writeTimeout = time.Second
	writeBytes   = 16 << 10

	readBufferBytes = 2048
	frameHeadBytes  = 32 // upper bound of the encoded size of a frame without its body
)

// Conn is one TCP connection between two nodes; both ends send requests on it.
// The methods are safe for concurrent use. One goroutine runs Serve; it calls
// the handlers of one-way frames directly, and submits requests to the
// transport's pool.
type Conn struct {
	transport *Transport
	addr      string // the peer's listening address; empty on an accepted connection
	conn      net.Conn
	pending   *pendingRequests
	closed    atomic.Bool
	// peerCompression is the newest Compression that the peer has announced that it reads.
	peerCompression atomic.Int32
	lastReadNs      atomic.Int64 // time of the last received bytes, since processStart; 0 if none
	done            chan struct{}

	// OnPush handles the one-way frames of this connection instead of the
	// transport's handlers. It is set before Serve.
	OnPush func(kind int, body []byte)

	writeMu sync.Mutex // guards writes to conn and the field below
	broken  bool       // a write failed, possibly in the middle of a frame
}

func (t *Transport) newConn(addr string, c net.Conn) *Conn {
	return &Conn{transport: t, addr: addr, conn: c, pending: newPendingRequests(), done: make(chan struct{})}
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// RemoteAddr returns the network address of the peer's end.
func (c *Conn) RemoteAddr() string { return c.conn.RemoteAddr().String() }

// Close closes the connection; its pending requests fail with ErrClosed.
func (c *Conn) Close() {
	if !c.closed.CompareAndSwap(false, true) {
		return
	}
	c.conn.Close()
	close(c.done)
	c.pending.failAll(ErrClosed)
}

func (c *Conn) write(f messages.Frame) error {
	encoded, err := EncodeFrame(f)
	if err != nil {
		return err
	}
	return c.writeFrames(f.Kind, encoded.BytesFor(c.PeerCompression()))
}

// PeerCompression returns the newest compression format that the peer has announced that it reads.
func (c *Conn) PeerCompression() Compression { return Compression(c.peerCompression.Load()) }

// SendRaw writes encoded updates unchanged; they count as one message of KindFeed.
// After a failed write nothing more is written: the peer would read it as the rest of
// the partly written frame.
func (c *Conn) SendRaw(b []byte) error { return c.writeFrames(KindFeed, b) }

// writeFrames writes encoded frames, which count as one message of the given kind.
func (c *Conn) writeFrames(kind int, b []byte) error {
	start := time.Now()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.broken {
		return ErrClosed
	}
	for chunk := range slices.Chunk(b, writeBytes) {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(chunk); err != nil {
			c.broken = true
			c.transport.traffic.failedWrites.Add(1)
			go c.Close()
			return errors.Wrap(ErrClosed, err.Error())
		}
	}
	c.transport.traffic.recordWrite(kind, len(b), time.Since(start))
	return nil
}

// Push sends a one-way frame.
func (c *Conn) Push(kind int, body []byte) error {
	return c.write(messages.Frame{Kind: kind, Body: body})
}

// Call sends a request and returns the body of its response. The error is, or
// wraps, one of ErrClosed, ErrTimeout (also if ctx is cancelled) and ErrRemote,
// or reports that the request could not be encoded.
func (c *Conn) Call(ctx context.Context, kind int, body msgp.Marshaler) ([]byte, error) {
	b, err := body.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: encode %s request", kindName(kind))
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout // for example after this process was suspended: the caller no longer waits
	}
	seq, ch := c.pending.add(kind)
	defer c.pending.remove(seq)
	if c.closed.Load() {
		return nil, ErrClosed
	}
	if err := c.write(messages.Frame{Kind: kind, Seq: seq, Body: b}); err != nil {
		return nil, err
	}
	select {
	case r := <-ch:
		return r.body, r.err
	case <-ctx.Done():
		return nil, ErrTimeout
	}
}

// Serve reads frames and handles them until the connection ends. Request handlers
// receive ctx.
func (c *Conn) Serve(ctx context.Context) {
	defer c.Close()
	in := newFrameReader(msgp.NewReaderSize(&arrivalReader{c.conn, &c.lastReadNs}, readBufferBytes))
	for {
		f, err := in.next()
		if err == nil && f.Kind == KindCompressed {
			f, err = decompressFrame(f.Body)
		}
		if err != nil || !c.handle(ctx, f) {
			return
		}
	}
}

// arrivalReader is a reader that records when bytes arrive.
type arrivalReader struct {
	in         io.Reader
	lastReadNs *atomic.Int64
}

// Read reads from the connection.
func (a *arrivalReader) Read(b []byte) (int, error) {
	n, err := a.in.Read(b)
	if n > 0 {
		a.lastReadNs.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// processStart is the reference time of Conn.lastReadNs.
var processStart = time.Now()

// SilentFor returns the time since the last bytes from the peer arrived, including bytes of
// an incomplete frame.
func (c *Conn) SilentFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReadNs.Load())
}

// handle handles one frame. It returns false if the peer violated the protocol and the
// connection must be closed.
func (c *Conn) handle(ctx context.Context, f messages.Frame) bool {
	c.transport.traffic.received.count(f.Kind, len(f.Body))
	switch {
	case f.Reply:
		return c.pending.complete(f.Seq, f.Kind, result{body: f.Body})
	case f.Kind == KindFailed:
		seq, kind, ok := decodeFailure(f.Body)
		return ok && c.pending.complete(seq, kind, result{err: ErrRemote})
	case f.Kind == KindReadsCompressed:
		c.recordPeerCompression(compressionOf(f.Body))
	case f.Seq == 0:
		c.handleOneWay(f)
	default:
		c.handleRequest(ctx, f)
	}
	return true
}

// recordPeerCompression records the compression format that the peer reads. On an accepted
// connection it responds to the first announcement with that of this node.
func (c *Conn) recordPeerCompression(newest Compression) {
	if before := c.peerCompression.Swap(int32(newest)); before == int32(noCompression) && c.addr == "" {
		_ = c.Push(KindReadsCompressed, readsCompressedBody())
	}
}

// handleOneWay handles a one-way frame; frames of a kind without a handler are
// ignored.
func (c *Conn) handleOneWay(f messages.Frame) {
	if c.OnPush != nil {
		c.OnPush(f.Kind, f.Body)
		return
	}
	if f.Kind > 0 && f.Kind < kindCount && c.transport.pushHandlers[f.Kind] != nil {
		c.transport.pushHandlers[f.Kind](c, f.Body)
	}
}

// handleRequest responds to a request in the pool, or in a new goroutine if the pool
// is full, so that a long request does not block reading.
func (c *Conn) handleRequest(ctx context.Context, f messages.Frame) {
	if f.Kind <= 0 || f.Kind >= kindCount || c.transport.requestHandlers[f.Kind] == nil {
		_ = c.respondFailure(f)
		return
	}
	respond := func() { c.respond(ctx, c.transport.requestHandlers[f.Kind], f) }
	if err := c.transport.pool.Submit(respond); err != nil {
		go respond()
	}
}

func (c *Conn) respond(ctx context.Context, handler Handler, f messages.Frame) {
	body, err := handler(ctx, c, f.Body)
	if err != nil {
		c.transport.log.V(1).Info("request failed", "kind", kindName(f.Kind), "err", err)
		_ = c.respondFailure(f)
		return
	}
	_ = c.write(messages.Frame{Kind: f.Kind, Seq: f.Seq, Reply: true, Body: body})
}

// respondFailure informs the peer that a request failed and gets no response. It sends
// a one-way frame of KindFailed instead of a response, since nodes of earlier releases
// ignore unknown one-way frames.
func (c *Conn) respondFailure(f messages.Frame) error {
	body := msgp.AppendInt(msgp.AppendInt64(nil, f.Seq), f.Kind)
	return c.Push(KindFailed, body)
}

// decodeFailure parses the body of a KindFailed frame: the sequence number and kind
// of the request.
func decodeFailure(body []byte) (seq int64, kind int, ok bool) {
	seq, rest, err := msgp.ReadInt64Bytes(body)
	if err != nil {
		return 0, 0, false
	}
	kind, rest, err = msgp.ReadIntBytes(rest)
	return seq, kind, err == nil && len(rest) == 0
}
