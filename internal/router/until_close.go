package router

import (
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// untilCloseWriter writes a stream to an HTTP/1.0 client, which does not support chunked transfer
// coding: the end of the connection ends the response.
type untilCloseWriter struct {
	response    *protocol.Response
	out         network.Writer
	headWritten bool
}

// Write writes b, preceded by the head on the first call.
func (w *untilCloseWriter) Write(b []byte) (int, error) {
	if !w.headWritten {
		w.headWritten = true
		w.response.Header.SetConnectionClose(true)
		if _, err := w.out.WriteBinary(w.head()); err != nil {
			return 0, err
		}
	}
	return w.out.WriteBinary(b)
}

// head returns the head of a response without a length. hertz would set a transfer coding, which
// HTTP/1.0 clients do not support.
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

// Finalize ends the response. The connection is closed after it.
func (w *untilCloseWriter) Finalize() error {
	if _, err := w.Write(nil); err != nil {
		return err
	}
	return w.out.Flush()
}
