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

// Errors of a request. After any of them the peer may have carried the request
// out; the transport never retries.
var (
	ErrClosed  = errors.New("transport: connection closed")
	ErrTimeout = errors.New("transport: no response in time")
	ErrRemote  = errors.New("transport: the peer could not respond")
)

const (
	// writeTimeout bounds the writing of writeBytes: a connection on which nothing gets
	// through for that long ends, and a slow one does not.
	writeTimeout = time.Second
	writeBytes   = 16 << 10

	readBufferBytes = 2048
	frameHeadBytes  = 32 // room for all of a frame but its body
)

// Conn is one TCP connection between two nodes; both ends send requests on it.
// The methods are safe for concurrent use. One goroutine runs Serve; it calls
// the handlers of one-way frames itself, and has requests handled in the
// transport's pool.
type Conn struct {
	transport *Transport
	addr      string // the peer's listening address; empty on an accepted connection
	conn      net.Conn
	pending   *pendingRequests
	closed    atomic.Bool
	// peerReads is the newest compression that the peer has said it reads.
	peerReads  atomic.Int32
	lastReadNs atomic.Int64 // when bytes last arrived, after processStart; 0 for never
	done       chan struct{}

	// OnPush handles the one-way frames of this connection instead of the
	// transport's handlers. It is set before Serve.
	OnPush func(kind int, body []byte)

	writeMu sync.Mutex // guards writes to conn and the field below
	broken  bool       // a write ended in the middle of a frame, or may have
}

func (t *Transport) newConn(addr string, c net.Conn) *Conn {
	return &Conn{transport: t, addr: addr, conn: c, pending: newPendingRequests(), done: make(chan struct{})}
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Remote is the address of the peer's end.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

// Close ends the connection; the requests that wait on it end with ErrClosed.
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
	return c.writeFrames(f.Kind, encoded.BytesFor(c.Reads()))
}

// Reads returns the newest compression that the peer has said it reads.
func (c *Conn) Reads() Compression { return Compression(c.peerReads.Load()) }

// SendRaw writes encoded updates as they are; they count as one message of KindFeed.
// After a write that failed nothing more is written: the peer would read it as the
// rest of the frame before.
func (c *Conn) SendRaw(b []byte) error { return c.writeFrames(KindFeed, b) }

// writeFrames writes encoded frames, which count as one message of a kind.
func (c *Conn) writeFrames(kind int, b []byte) error {
	start := time.Now()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.broken {
		return ErrClosed
	}
	for part := range slices.Chunk(b, writeBytes) {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(part); err != nil {
			c.broken = true
			c.transport.traffic.failedWrites.Add(1)
			go c.Close()
			return errors.Wrap(ErrClosed, err.Error())
		}
	}
	c.transport.traffic.written(kind, len(b), time.Since(start))
	return nil
}

// Push sends a one-way frame.
func (c *Conn) Push(kind int, body []byte) error {
	return c.write(messages.Frame{Kind: kind, Body: body})
}

// Call sends a request and returns the body of its response. The error is, or
// wraps, one of ErrClosed, ErrTimeout (also where ctx is cancelled) and
// ErrRemote, or tells that the request could not be encoded.
func (c *Conn) Call(ctx context.Context, kind int, body msgp.Marshaler) ([]byte, error) {
	b, err := body.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: encode %s request", kindName(kind))
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout // the process was stopped for a while: nobody waits for the response
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

// Serve reads frames and handles them until the connection ends. Handlers of
// requests get ctx.
func (c *Conn) Serve(ctx context.Context) {
	defer c.Close()
	in := newFrameReader(msgp.NewReaderSize(&arrivals{c.conn, &c.lastReadNs}, readBufferBytes))
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

// arrivals notes when bytes arrive.
type arrivals struct {
	from   io.Reader
	lastNs *atomic.Int64
}

// Read reads from the connection.
func (a *arrivals) Read(b []byte) (int, error) {
	n, err := a.from.Read(b)
	if n > 0 {
		a.lastNs.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// processStart is the zero of a monotonic clock.
var processStart = time.Now()

// SilentFor returns for how long nothing has arrived from the peer, be it a part of a
// frame.
func (c *Conn) SilentFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReadNs.Load())
}

// handle handles one frame. It returns false where the peer breaks the protocol
// and the connection has to end.
func (c *Conn) handle(ctx context.Context, f messages.Frame) bool {
	c.transport.traffic.received.count(f.Kind, len(f.Body))
	switch {
	case f.Reply:
		return c.pending.complete(f.Seq, f.Kind, result{body: f.Body})
	case f.Kind == KindFailed:
		seq, kind, ok := decodeFailure(f.Body)
		return ok && c.pending.complete(seq, kind, result{err: ErrRemote})
	case f.Kind == KindReadsCompressed:
		c.notePeerReads(compressionOf(f.Body))
	case f.Seq == 0:
		c.handleOneWay(f)
	default:
		c.handleRequest(ctx, f)
	}
	return true
}

// notePeerReads responds in kind where the peer has dialled.
func (c *Conn) notePeerReads(newest Compression) {
	if before := c.peerReads.Swap(int32(newest)); before == int32(noCompression) && c.addr == "" {
		_ = c.Push(KindReadsCompressed, readsCompressedBody())
	}
}

// handleOneWay handles a frame without a response; one of a kind without a
// handler is ignored.
func (c *Conn) handleOneWay(f messages.Frame) {
	if c.OnPush != nil {
		c.OnPush(f.Kind, f.Body)
		return
	}
	if f.Kind > 0 && f.Kind < kindCount && c.transport.pushHandlers[f.Kind] != nil {
		c.transport.pushHandlers[f.Kind](c, f.Body)
	}
}

// handleRequest responds to a request in the pool, or in a goroutine of its own
// where the pool is full, so that a long request does not hold up reading.
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

// respondFailure tells the peer that a request gets no response. It is a one-way
// frame of its own kind, not a response, since nodes of earlier releases ignore
// unknown one-way frames.
func (c *Conn) respondFailure(f messages.Frame) error {
	body := msgp.AppendInt(msgp.AppendInt64(nil, f.Seq), f.Kind)
	return c.Push(KindFailed, body)
}

// decodeFailure reads the body of a frame of KindFailed: sequence number and
// kind of the request.
func decodeFailure(body []byte) (seq int64, kind int, ok bool) {
	seq, rest, err := msgp.ReadInt64Bytes(body)
	if err != nil {
		return 0, 0, false
	}
	kind, rest, err = msgp.ReadIntBytes(rest)
	return seq, kind, err == nil && len(rest) == 0
}
