// Checks of a response by itself: that it belongs to its request and is complete.

package load

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"beechtide.org/beechtide/internal/standin"
)

// readBody reads a response to its end and records a defect in record.Fault. It returns an
// error if the response was truncated.
func (c *client) readBody(record *Record, response *http.Response) error {
	if response.StatusCode/100 == 2 {
		record.Fault = checkHead(record, response)
		if record.Kind.Class.IsStream() {
			return readEvents(record, response.Body)
		}
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 || record.Fault != "" {
		return nil
	}
	if want := standin.ResponseBody(record.Attempt, record.Seal, record.Checksum); string(raw) != want {
		record.Fault = fmt.Sprintf("body %q in place of %q", raw, want)
	}
	return nil
}

func checkHead(record *Record, response *http.Response) string {
	if id := response.Header.Get("Beechtide-Attempt-Id"); id != record.Attempt {
		return fmt.Sprintf("response bears the attempt id %q", id)
	}
	if record.Seal == "" {
		return "success without a seal"
	}
	return ""
}

// readEvents reads a stream and counts its complete events, which must arrive in order and
// exactly once. A stream that ends regularly must contain all of them.
func readEvents(record *Record, body io.Reader) error {
	var pending []byte
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		pending = parseEvents(record, append(pending, buffer[:n]...))
		if err == io.EOF {
			checkEnd(record, pending)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func parseEvents(record *Record, pending []byte) (rest []byte) {
	for {
		end := bytes.Index(pending, []byte("\n\n"))
		if end < 0 {
			return pending
		}
		record.Events++
		event, want := string(pending[:end+2]), standin.Event(record.Attempt, record.Events)
		if event != want && record.Fault == "" {
			record.Fault = fmt.Sprintf("event %q in place of %q", event, want)
		}
		pending = pending[end+2:]
	}
}

func checkEnd(record *Record, pending []byte) {
	if record.Fault != "" {
		return
	}
	if record.Events != record.Kind.Tokens || len(pending) > 0 {
		record.Fault = fmt.Sprintf("stream ends as complete after %d of %d events", record.Events, record.Kind.Tokens)
	}
}
