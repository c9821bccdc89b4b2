// Forwarding of a runner's response to the client: a body as a whole once it is complete, a stream
// event by event.

package router

import (
	"io"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/upstream"
)

// responseStream is the client's side of a streamed response. It outlives an attempt if another
// runner resumes the stream.
type responseStream struct {
	out           network.ExtWriter
	splitter      upstream.EventSplitter
	started       bool
	finished      bool
	isEventStream bool // only whole events are forwarded
}

// copyResponseHead copies the status and the end-to-end headers of a runner's response to the
// response to the client.
func (e *exchange) copyResponseHead(r *protocol.Response) {
	out := &e.rc.Response.Header
	out.SetStatusCode(r.StatusCode())
	out.SetNoDefaultContentType(true)
	extra := connectionHeaders(string(r.Header.Peek("Connection")))
	r.Header.VisitAll(func(k, val []byte) {
		if key := string(k); isForwarded(responseRules, extra, key) {
			out.Add(key, string(val))
		}
	})
	if e.router.closesAfterResponse(e.clientConn, e.rc) {
		out.SetConnectionClose(true)
	}
}

// maxCopiedBody is up to which size a body is copied to the response, in bytes.
const maxCopiedBody = 4 << 10

// maxBufferedBody limits a response that is buffered until it is complete, in bytes.
const maxBufferedBody = 64 << 20

// forwardBody reads the response completely and then forwards it. It forwards nothing and returns
// attempt.Unknown for an incomplete response, and for a 5xx response to a request that may be
// repeated.
func (e *exchange) forwardBody(adm *admission.Admission, conn *upstream.Conn, r *protocol.Response, stream *responseStream) attempt.Result {
	e.countUsage(r)
	body, err := upstream.ReadBody(r, maxBufferedBody, e.router.connPool.Budget())
	e.router.undelivered.remove(e.undelivered)
	if err != nil {
		conn.Close()
		e.releaseFailedAttempt(adm, conn, true)
		return attempt.Unknown
	}
	e.router.recordFirstToken(adm)
	status := r.StatusCode()
	e.router.recordAttemptOutcome(adm, conn, status < 500, true)
	e.router.releaseCapacityAndConn(adm, conn, r, true)
	switch {
	case stream != nil && stream.started:
		_ = body.Close()
		return attempt.Interrupted
	case status >= 500 && e.sequence.MayRepeat(e.retryPolicy()):
		_ = body.Close()
		return attempt.Unknown
	}
	e.copyResponseHead(r)
	setResponseBody(&e.rc.Response, body)
	return attempt.Answered
}

// setResponseBody has a body written to the client. A large one counts in the budget until then.
func setResponseBody(response *protocol.Response, body *upstream.Body) {
	if body.Size() > maxCopiedBody {
		response.SetBodyStream(body, body.Size()) // closes it once it is written
		return
	}
	response.SetBody(body.Bytes())
	_ = body.Close()
}

// recordFirstToken reports to the admission control that the attempt has produced output.
func (r *Router) recordFirstToken(adm *admission.Admission) {
	r.admissionMu.Lock()
	r.admission.RecordFirstToken(adm, r.clock())
	r.admissionMu.Unlock()
	signal(r.loadsChanged)
	r.wakeQueue()
}

// isStreamed reports whether the response is forwarded as it arrives. A response that is not an
// event stream is buffered until it is complete, whatever its framing: if it breaks off, the
// client has received nothing and a repeatable request is sent again. A partly forwarded response
// could not be continued with another runner's, as nothing marks the position.
func (e *exchange) isStreamed(r *protocol.Response) bool {
	return e.route.Kind == api.Streaming && r.StatusCode()/100 == 2 && r.Header.ContentLength() < 0
}

// forwardStream forwards a streamed response, event by event. The returned stream is nil if
// another attempt is to start the response anew.
func (e *exchange) forwardStream(adm *admission.Admission, conn *upstream.Conn, r *protocol.Response, stream *responseStream) (attempt.Result, *responseStream) {
	stream.splitter.DiscardIncomplete()
	defer stream.splitter.DiscardIncomplete()
	body := r.BodyStream()
	buf := make([]byte, 2048)
	first := true
	for {
		n, err := body.Read(buf)
		if n > 0 && first {
			first = false
			e.countUsage(r)
			e.router.recordFirstToken(adm)
		}
		switch result := e.forwardEvents(r, stream, buf[:n]); {
		case result == forwardClientGone:
			return e.releaseStream(adm, conn, attempt.ClientGone), stream
		case result == forwardFailed:
			return e.failStream(adm, conn, stream)
		case err == nil && stream.started && e.reserveMove(adm, stream):
			return e.releaseStream(adm, conn, attempt.Moving), stream
		case err == nil:
		case e.reserved != nil: // staysAtRunner has reserved another runner, as this one is unreachable
			result := e.releaseStream(adm, conn, attempt.Moving)
			if !stream.started {
				return result, nil
			}
			return result, stream
		case err != io.EOF:
			return e.failStream(adm, conn, stream)
		default:
			return e.finishStream(adm, conn, r, stream)
		}
	}
}

// forwardResult is what became of bytes of a stream.
type forwardResult int

const (
	forwarded         forwardResult = iota // or kept until their event is complete
	forwardClientGone                      // writing to the client failed
	forwardFailed                          // the runner's event is too large
)

// forwardEvents forwards the bytes read so far as whole events.
func (e *exchange) forwardEvents(r *protocol.Response, stream *responseStream, b []byte) forwardResult {
	if stream.isEventStream {
		var err error
		if b, err = stream.splitter.Add(b); err != nil {
			return forwardFailed
		}
	}
	if len(b) > 0 && !e.writeStream(r, stream, b) {
		return forwardClientGone
	}
	return forwarded
}

// releaseStream closes the runner's connection and releases the capacity of an attempt that ends
// without a failure of the runner.
func (e *exchange) releaseStream(adm *admission.Admission, conn *upstream.Conn, result attempt.Result) attempt.Result {
	conn.Close()
	e.router.releaseCapacity(adm, true)
	return result
}

// failStream ends an attempt whose runner broke the response off.
func (e *exchange) failStream(adm *admission.Admission, conn *upstream.Conn, stream *responseStream) (attempt.Result, *responseStream) {
	conn.Close()
	e.releaseFailedAttempt(adm, conn, true)
	if stream.started {
		return attempt.Interrupted, stream
	}
	return attempt.Unknown, nil
}

// finishStream ends a response that the runner has ended. If the response is delimited by the end
// of the connection, an incomplete last event is the only sign that the runner crashed.
func (e *exchange) finishStream(adm *admission.Admission, conn *upstream.Conn, r *protocol.Response, stream *responseStream) (attempt.Result, *responseStream) {
	rest := stream.splitter.Incomplete()
	partial := len(rest) > 0 && stream.isEventStream
	if partial && upstream.EndsWithConn(r) {
		return e.failStream(adm, conn, stream)
	}
	if partial && !e.writeStream(r, stream, rest) {
		return e.releaseStream(adm, conn, attempt.ClientGone), stream
	}
	if !stream.started {
		e.beginStream(r, stream)
	}
	stream.finished = stream.out.Finalize() == nil && e.rc.Flush() == nil
	e.router.recordAttemptOutcome(adm, conn, true, true)
	e.router.releaseCapacityAndConn(adm, conn, r, true)
	return attempt.Answered, stream
}

// beginStream writes the head of the response to the client and stops withdrawals of the attempt
// for an undelivered response.
func (e *exchange) beginStream(r *protocol.Response, stream *responseStream) {
	e.copyResponseHead(r)
	if e.rc.Request.Header.IsHTTP11() {
		stream.out = resp.NewChunkedBodyWriter(&e.rc.Response, e.rc.GetWriter())
	} else {
		stream.out = &untilCloseWriter{response: &e.rc.Response, out: e.rc.GetWriter()}
	}
	e.rc.Response.HijackWriter(stream.out)
	stream.started = true
	if e.router.undelivered.remove(e.undelivered) { // interrupted while this response began: read on
		e.undelivered.conn.Resume(e.deadlineTime(lateReadUs))
	}
}

// writeStream writes and flushes a part of the response. It returns false if the client cannot be
// written to.
func (e *exchange) writeStream(r *protocol.Response, stream *responseStream, b []byte) bool {
	if !stream.started {
		e.beginStream(r, stream)
	}
	if _, err := stream.out.Write(b); err != nil {
		return false
	}
	return stream.out.Flush() == nil
}

// closeClientConn closes the client's connection, so that the client does not take an incomplete
// response for a complete one.
func (e *exchange) closeClientConn() {
	if conn := e.rc.GetConn(); conn != nil {
		conn.Close()
	}
	e.rc.Response.Header.SetConnectionClose(true)
}
