package upstream

import (
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// keepAlive reports whether the connection stays open after this response, and records
// the keep-alive timeout that the runner announced.
func (c *Conn) keepAlive(h *protocol.ResponseHeader) bool {
	if h.ConnectionClose() || !h.IsHTTP11() {
		return false
	}
	seconds, announced := keepAliveTimeout(h.Get("Keep-Alive"))
	if !announced {
		return true
	}
	c.keepAliveUs = seconds * 1_000_000
	return seconds > 0
}

// keepAliveTimeout parses the timeout parameter, in seconds, of a Keep-Alive header.
func keepAliveTimeout(header string) (seconds int64, announced bool) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			return n, true
		}
	}
	return 0, false
}
