// Refusals of requests that hertz never sees: those that break HTTP or a limit on sizes.

package router

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/http1"
)

const answer100 = "HTTP/1.1 100 Continue\r\n\r\n"

const (
	// lingerTime and lingerBytes bound how long, and how much, is read of a client whose
	// request was refused: one that still sends would lose the answer to a reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalWait bounds the writing of a refusal.
	refusalWait = time.Second
)

// frontCounts are the refusals by status.
type frontCounts struct {
	mu      sync.Mutex
	refused map[int]int64
}

func (c *frontCounts) refuse(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[int]int64{}
	}
	c.refused[status]++
}

// byStatus returns the refusals by status.
func (c *frontCounts) byStatus() map[int]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int64, len(c.refused))
	for status, count := range c.refused {
		out[status] = count
	}
	return out
}

// refuse answers a request that is not taken, and ends the connection.
func (c *timedConn) refuse(refusal *http1.Error) {
	c.l.counts.refuse(refusal.Status)
	body := refusal.Reason + "\n"
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		refusal.Status, http.StatusText(refusal.Status), len(body), body)
	_ = c.SetWriteDeadline(time.Now().Add(refusalWait))
	_, err := c.Conn.Write([]byte(answer))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		_ = half.CloseWrite()
		c.linger()
	}
	c.Close()
}

// linger reads what a client still sends, so that it can read the answer.
func (c *timedConn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	var b [2048]byte
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(b[:])
		if left -= n; err != nil {
			return
		}
	}
}

var _ net.Conn = (*timedConn)(nil)
