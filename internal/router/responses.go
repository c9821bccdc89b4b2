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

func (v *visit) answerHead(r *protocol.Response) {
	out := &v.rc.Response.Header
	out.SetStatusCode(r.StatusCode())
	out.SetNoDefaultContentType(true)
	extra := named(string(r.Header.Peek("Connection")))
	r.Header.VisitAll(func(k, val []byte) {
		if key := string(k); passes(answerRules, extra, key) {
			out.Add(key, string(val))
		}
	})
	if v.c.closesWithAnswer(v.rc) {
		out.SetConnectionClose(true)
	}
}

// mostBody bounds an answer that is held until it is whole.
const mostBody = 64 << 20

// passBody passes on an answer of known length, once it is whole.
func (v *visit) passBody(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) ending {
	b, err := upstream.ReadBody(r, mostBody)
	v.c.held.remove(v.held)
	if err != nil {
		link.Close()
		v.failed(adm, link, true)
		return unknown
	}
	v.c.first(adm)
	status := r.StatusCode()
	v.c.ended(adm, link, status < 500, true)
	v.c.giveBack(adm, link, r, true)
	if stream != nil && stream.started {
		return brokeOff
	}
	if status >= 500 && v.route.Repeatable() && v.attempts < max(v.route.Tries, 1) {
		return unknown
	}
	v.answerHead(r)
	v.rc.Response.SetBody(b)
	return whole
}

func (c *Router) first(adm *admission.Admission) {
	c.dmu.Lock()
	c.admission.FirstToken(adm, c.clock())
	c.dmu.Unlock()
	poke(c.stir)
	c.wake()
}

// streams tells whether an answer is passed on as it comes. One that is no series of
// events is held until it is whole, whatever its framing: where it is broken off, the
// client has seen nothing of it, and a request that may be repeated is sent again. Of a
// part that the client has, nothing says where another runner's answer would go on.
func (v *visit) streams(r *protocol.Response) bool {
	return v.route.Kind == api.Streaming && r.StatusCode()/100 == 2 && r.Header.ContentLength() < 0
}

// passStream passes on a streamed answer, event by event.
func (v *visit) passStream(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) (ending, *answerStream) {
	c := v.c
	if stream == nil {
		stream = &answerStream{cutting: v.route.Kind == api.Streaming}
	}
	stream.events.Cut()
	body := r.BodyStream()
	buf := make([]byte, 2048)
	first := true
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if first {
				first = false
				c.first(adm)
			}
			b := buf[:n]
			if stream.cutting {
				b = stream.events.Add(b)
			}
			if len(b) > 0 {
				if !v.write(r, stream, b) {
					link.Close()
					c.done(adm, true)
					return clientGone, stream
				}
			}
		}
		if err == nil {
			if stream.started && v.moves(adm, stream) {
				link.Close()
				c.done(adm, true)
				return moving, stream
			}
			continue
		}
		if err != io.EOF {
			link.Close()
			v.failed(adm, link, true)
			if stream.started {
				return brokeOff, stream
			}
			return unknown, nil
		}
		rest := stream.events.Rest()
		if len(rest) > 0 && stream.cutting && upstream.EndsWithConn(r) {
			link.Close()
			v.failed(adm, link, true) // nothing but a whole event tells an end from a crash
			if stream.started {
				return brokeOff, stream
			}
			return unknown, nil
		}
		if len(rest) > 0 && stream.cutting {
			if !v.write(r, stream, rest) {
				link.Close()
				c.done(adm, true)
				return clientGone, stream
			}
		}
		if !stream.started {
			v.begin(r, stream)
		}
		stream.finished = stream.out.Finalize() == nil && v.rc.Flush() == nil
		c.ended(adm, link, true, true)
		c.giveBack(adm, link, r, true)
		return whole, stream
	}
}

func (v *visit) begin(r *protocol.Response, stream *answerStream) {
	v.answerHead(r)
	stream.out = resp.NewChunkedBodyWriter(&v.rc.Response, v.rc.GetWriter())
	v.rc.Response.HijackWriter(stream.out)
	stream.started = true
	if v.c.held.remove(v.held) { // it has begun just in time
		v.held.link.Resume(v.deadline(lateUs))
	}
}

func (v *visit) write(r *protocol.Response, stream *answerStream, b []byte) bool {
	if !stream.started {
		v.begin(r, stream)
	}
	if _, err := stream.out.Write(b); err != nil {
		return false
	}
	return stream.out.Flush() == nil
}

// cut ends the client's connection so that the answer cannot be taken for whole.
func (v *visit) cut() {
	if conn := v.rc.GetConn(); conn != nil {
		conn.Close()
	}
	v.rc.Response.Header.SetConnectionClose(true)
}
