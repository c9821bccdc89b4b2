package upstream

import (
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// sentAtOnce is how much of a request is written before its answer is read. The rest
// of a longer one is written meanwhile, as a runner may answer before it has read
// the body.
const sentAtOnce = 64 << 10

// Send writes a request. sent tells, when it failed, whether a single byte may have
// reached the runner: then it counts as sent. Nothing is written once the deadline
// has passed, as after a freeze of this process.
func (l *Conn) Send(head *protocol.RequestHeader, body []byte, deadline time.Time) (sent bool, err error) {
	raw := head.AppendBytes(make([]byte, 0, 1024+len(body)))
	raw = append(raw, body...)
	_ = l.conn.SetDeadline(deadline)
	if !time.Now().Before(deadline) {
		return false, errors.Wrap(ErrLate, "before it was sent")
	}
	first := raw[:min(len(raw), sentAtOnce)]
	written, err := l.conn.Write(first)
	if err != nil {
		return written > 0, errors.Wrap(ErrBroken, err.Error())
	}
	if rest := raw[len(first):]; len(rest) > 0 {
		l.sending.Store(true)
		go l.sendRest(rest)
	}
	return true, nil
}

// sendRest writes the rest of a request. Where that fails the conn stays marked, and
// reading the answer tells what became of the request.
func (l *Conn) sendRest(rest []byte) {
	if _, err := l.conn.Write(rest); err == nil {
		l.sending.Store(false)
	}
}

// setUserTimeout sets how long bytes may stay unacknowledged, or unread by the
// runner, before the conn counts as broken.
func (l *Conn) setUserTimeout(wait time.Duration) {
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(wait.Milliseconds(), userTimeoutMs)))
	})
	l.patient = wait.Milliseconds() > userTimeoutMs
}
