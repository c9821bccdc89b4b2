package upstream

import (
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// firstWriteBytes is how much of a request is written before its response is read. The
// rest of a longer request is written concurrently, since a runner may respond before it
// has read the body.
const firstWriteBytes = 64 << 10

// Send writes a request. After an error, sent reports whether any byte may have reached
// the runner. Nothing is written after the deadline, which may have passed while this
// process was suspended.
func (c *Conn) Send(head *protocol.RequestHeader, body []byte, deadline time.Time) (sent bool, err error) {
	raw := head.AppendBytes(make([]byte, 0, 1024+len(body)))
	raw = append(raw, body...)
	_ = c.conn.SetDeadline(deadline)
	if !time.Now().Before(deadline) {
		return false, errors.Wrap(ErrTimeout, "the deadline passed before it was sent")
	}
	first := raw[:min(len(raw), firstWriteBytes)]
	written, err := c.conn.Write(first)
	if err != nil {
		return written > 0, errors.Wrap(ErrBroken, err.Error())
	}
	if rest := raw[len(first):]; len(rest) > 0 {
		c.sending.Store(true)
		go c.sendRest(rest)
	}
	return true, nil
}

// sendRest writes the rest of a request. After a failed write the connection stays marked
// as sending, so that it is not reused; reading the response reports the failure.
func (c *Conn) sendRest(rest []byte) {
	if _, err := c.conn.Write(rest); err == nil {
		c.sending.Store(false)
	}
}

// setUserTimeout sets the TCP user timeout: how long sent bytes may stay unacknowledged,
// or blocked by a full receive buffer of the runner, before the kernel closes the
// connection. The minimum is userTimeoutMs.
func (c *Conn) setUserTimeout(wait time.Duration) {
	socket, ok := c.conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(wait.Milliseconds(), userTimeoutMs)))
	})
	c.userTimeoutRaised = wait.Milliseconds() > userTimeoutMs
}
