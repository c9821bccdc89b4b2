// A runner's response is passed on to the client: in one piece where its length is
// known, event by event where it is a stream.

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

// answerStream is the client's side of a streamed answer; it outlives an attempt
// where another runner takes the stream up.
type answerStream struct {
	out      network.ExtWriter
	events   upstream.Events
	started  bool
	finished bool
	cutting  bool // the answer is a series of events
}

func (e *exchange) answerHead(r *protocol.Response) {
	out := &e.rc.Response.Header
	out.SetStatusCode(r.StatusCode())
	out.SetNoDefaultContentType(true)
	extra := named(string(r.Header.Peek("Connection")))
	r.Header.VisitAll(func(k, val []byte) {
		if key := string(k); passes(answerRules, extra, key) {
			out.Add(key, string(val))
		}
	})
	if e.router.closesWithAnswer(e.conn, e.rc) {
		out.SetConnectionClose(true)
	}
}

// mostBody bounds an answer that is held until it is whole.
const mostBody = 64 << 20

// passBody passes on an answer of known length, once it is whole.
func (e *exchange) passBody(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) attempt.Result {
	e.countUsage(r)
	b, err := upstream.ReadBody(r, mostBody)
	e.router.held.remove(e.held)
	if err != nil {
		link.Close()
		e.failed(adm, link, true)
		return attempt.Unknown
	}
	e.router.firstToken(adm)
	status := r.StatusCode()
	e.router.ended(adm, link, status < 500, true)
	e.router.release(adm, link, r, true)
	if stream != nil && stream.started {
		return attempt.BrokenOff
	}
	if status >= 500 && e.sequence.MayRepeat(e.repeatRules()) {
		return attempt.Unknown
	}
	e.answerHead(r)
	e.rc.Response.SetBody(b)
	return attempt.Answered
}

func (r *Router) firstToken(adm *admission.Admission) {
	r.admissionMu.Lock()
	r.admission.RecordFirstToken(adm, r.clock())
	r.admissionMu.Unlock()
	signal(r.loadsChanged)
	r.wakeQueue()
}

// streams tells whether an answer is passed on as it comes. One that is no series of
// events is held until it is whole, whatever its framing: where it is broken off, the
// client has seen nothing of it, and a request that may be repeated is sent again. Of a
// part that the client has, nothing says where another runner's answer would go on.
func (e *exchange) streams(r *protocol.Response) bool {
	return e.route.Kind == api.Streaming && r.StatusCode()/100 == 2 && r.Header.ContentLength() < 0
}

// passStream passes on a streamed answer, event by event.
func (e *exchange) passStream(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) (attempt.Result, *answerStream) {
	stream.events.Cut()
	body := r.BodyStream()
	buf := make([]byte, 2048)
	first := true
	for {
		n, err := body.Read(buf)
		if n > 0 && first {
			first = false
			e.countUsage(r)
			e.router.firstToken(adm)
		}
		switch {
		case n > 0 && !e.passBytes(r, stream, buf[:n]):
			return e.abandonStream(adm, link, attempt.ClientGone), stream
		case err == nil && stream.started && e.moves(adm, stream):
			return e.abandonStream(adm, link, attempt.Moving), stream
		case err == nil:
		case e.next != nil: // it left a runner that cannot be reached
			result := e.abandonStream(adm, link, attempt.Moving)
			if !stream.started {
				return result, nil
			}
			return result, stream
		case err != io.EOF:
			return e.breakOffStream(adm, link, stream)
		default:
			return e.endStream(adm, link, r, stream)
		}
	}
}

// passBytes passes on what has been read, as far as it makes whole events. It returns
// false if the client takes nothing more.
func (e *exchange) passBytes(r *protocol.Response, stream *answerStream, b []byte) bool {
	if stream.cutting {
		b = stream.events.Add(b)
	}
	return len(b) == 0 || e.write(r, stream, b)
}

// abandonStream ends an attempt whose runner is well.
func (e *exchange) abandonStream(adm *admission.Admission, link *upstream.Conn, result attempt.Result) attempt.Result {
	link.Close()
	e.router.done(adm, true)
	return result
}

// breakOffStream ends an attempt whose runner has broken the answer off.
func (e *exchange) breakOffStream(adm *admission.Admission, link *upstream.Conn, stream *answerStream) (attempt.Result, *answerStream) {
	link.Close()
	e.failed(adm, link, true)
	if stream.started {
		return attempt.BrokenOff, stream
	}
	return attempt.Unknown, nil
}

// endStream ends an answer that the runner has ended. Where its end is that of the
// connection, nothing but a whole event tells it from a crash.
func (e *exchange) endStream(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) (attempt.Result, *answerStream) {
	rest := stream.events.Rest()
	partial := len(rest) > 0 && stream.cutting
	if partial && upstream.EndsWithConn(r) {
		return e.breakOffStream(adm, link, stream)
	}
	if partial && !e.write(r, stream, rest) {
		return e.abandonStream(adm, link, attempt.ClientGone), stream
	}
	if !stream.started {
		e.begin(r, stream)
	}
	stream.finished = stream.out.Finalize() == nil && e.rc.Flush() == nil
	e.router.ended(adm, link, true, true)
	e.router.release(adm, link, r, true)
	return attempt.Answered, stream
}

func (e *exchange) begin(r *protocol.Response, stream *answerStream) {
	e.answerHead(r)
	if e.rc.Request.Header.IsHTTP11() {
		stream.out = resp.NewChunkedBodyWriter(&e.rc.Response, e.rc.GetWriter())
	} else {
		stream.out = &untilCloseWriter{response: &e.rc.Response, out: e.rc.GetWriter()}
	}
	e.rc.Response.HijackWriter(stream.out)
	stream.started = true
	if e.router.held.remove(e.held) { // it has begun just in time
		e.held.link.Resume(e.deadline(lateUs))
	}
}

func (e *exchange) write(r *protocol.Response, stream *answerStream, b []byte) bool {
	if !stream.started {
		e.begin(r, stream)
	}
	if _, err := stream.out.Write(b); err != nil {
		return false
	}
	return stream.out.Flush() == nil
}

// cut ends the client's connection so that the answer cannot be taken for whole.
func (e *exchange) cut() {
	if conn := e.rc.GetConn(); conn != nil {
		conn.Close()
	}
	e.rc.Response.Header.SetConnectionClose(true)
}
