package router

import (
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// untilCloseWriter writes a stream to a client of HTTP/1.0, which knows no chunks: the answer
// ends with its connection.
type untilCloseWriter struct {
	response *protocol.Response
	out      network.Writer
	begun    bool
}

// Write writes the head before the first bytes.
func (w *untilCloseWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.begun = true
		w.response.Header.SetConnectionClose(true)
		if _, err := w.out.WriteBinary(w.head()); err != nil {
			return 0, err
		}
	}
	return w.out.WriteBinary(b)
}

// head is the head of an answer that has no length: the library would name a transfer coding,
// which these clients do not know.
func (w *untilCloseWriter) head() []byte {
	status := w.response.StatusCode()
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	w.response.Header.VisitAll(func(name, value []byte) {
		switch lower(string(name)) {
		case "content-length", "transfer-encoding", "connection":
		default:
			b = fmt.Appendf(b, "%s: %s\r\n", name, value)
		}
	})
	return append(b, "Connection: close\r\n\r\n"...)
}

// Flush sends what has been written.
func (w *untilCloseWriter) Flush() error { return w.out.Flush() }

// Finalize ends the answer; the connection ends with it.
func (w *untilCloseWriter) Finalize() error {
	if _, err := w.Write(nil); err != nil {
		return err
	}
	return w.out.Flush()
}
