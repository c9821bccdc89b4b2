package upstream

import (
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// firstWriteBytes is how much of a request is written before its response is read. The
// rest of a longer one is written meanwhile, since a runner may respond before it has
// read the body.
const firstWriteBytes = 64 << 10

// Send writes a request. After an error, sent reports whether any byte may have reached
// the runner. Nothing is written once the deadline has passed, as after this process
// stood still.
func (c *Conn) Send(head *protocol.RequestHeader, body []byte, deadline time.Time) (sent bool, err error) {
	raw := head.AppendBytes(make([]byte, 0, 1024+len(body)))
	raw = append(raw, body...)
	_ = c.conn.SetDeadline(deadline)
	if !time.Now().Before(deadline) {
		return false, errors.Wrap(ErrLate, "the deadline passed before it was sent")
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

// sendRest writes the rest of a request. If that fails the connection stays marked as
// sending, and reading the response shows what became of the request.
func (c *Conn) sendRest(rest []byte) {
	if _, err := c.conn.Write(rest); err == nil {
		c.sending.Store(false)
	}
}

// setUserTimeout sets how long bytes may stay unacknowledged, or unread by the
// runner, before the connection ends.
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
