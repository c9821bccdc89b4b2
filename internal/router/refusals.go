// Responses to requests that hertz never receives, because they violate HTTP or a size limit.

package router

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/http1"
)

const response100 = "HTTP/1.1 100 Continue\r\n\r\n"

const (
	// lingerTime and lingerBytes limit how long and how much is read from a client after its
	// request was refused. Without that, a client that is still sending would lose the response
	// to a TCP reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalWait limits the writing of a refusal.
	refusalWait = time.Second
)

// refusalCounts counts the refused requests by status.
type refusalCounts struct {
	mu      sync.Mutex
	refused map[int]int64
}

func (c *refusalCounts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[int]int64{}
	}
	c.refused[status]++
}

// byStatus returns a copy of the counts by status.
func (c *refusalCounts) byStatus() map[int]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int64, len(c.refused))
	for status, count := range c.refused {
		out[status] = count
	}
	return out
}

// refuse answers a refused request and closes the connection.
func (c *timedConn) refuse(refusal *http1.Error) {
	c.listener.refusals.add(refusal.Status)
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

// linger discards what the client still sends, so that the client can read the response.
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
