// The attempts of a request: the admission control's ruling, a link, the head, the stream,
// and what may follow when a attempt fails. A further attempt goes out only where the
// runner said that it has not run the request, where nothing was sent, or where
// the request may be repeated; and only within tries, budget and time.
package router

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// ending is how a attempt went.
type ending int

const (
	whole    ending = iota // the client has the whole answer
	notSent                // nothing reached the runner
	notRun                 // the runner said that it has not run it
	unknown                // it was sent, and may have run
	brokeOff               // broken after a part had been passed on
	clientGone
	moving // it goes on at another runner, whose place and link are there

	sentWhole // it has been sent, and the answer is to be read
)

// maxUnsent bounds how many runners are tried whose links do not come up.
const maxUnsent = 4

func (v *visit) run() {
	c := v.c
	now := v.startUs
	c.dmu.Lock()
	c.budget(v.service).Request(now)
	c.dmu.Unlock()
	tries := max(v.route.Tries, 1)
	unsent := 0
	ran := false // it may have run somewhere
	var stream *answerStream
	defer func() {
		if stream != nil && stream.started && !stream.finished {
			v.ended = compliance.Cut
			v.cut()
		}
	}()
	for {
		var ruling admission.Ruling
		if v.next != nil {
			ruling.Admit = v.next.adm
		} else {
			ruling = v.admit()
		}
		if ruling.Admit == nil {
			switch {
			case stream != nil:
				return
			case ran:
				v.deny(502, ruling.Deny, 0)
			default:
				v.deny(ruling.Status, ruling.Deny, ruling.AgainUs)
			}
			return
		}
		end, out := v.send(ruling.Admit, stream)
		stream = out
		switch end {
		case moving:
			continue
		case whole:
			v.ended = compliance.Answered
			return
		case clientGone:
			v.ended = compliance.Cut
			return
		case notSent:
			v.attempts--
			if unsent++; unsent < maxUnsent && c.clock() < v.endUs {
				if v.changed {
					v.changed = false
					continue
				}
				v.ask.Avoid = append(v.ask.Avoid, ruling.Admit.Runner.ID)
				continue
			}
		case notRun:
			v.ask.Avoid = append(v.ask.Avoid, ruling.Admit.Runner.ID)
		case unknown, brokeOff:
			ran = true
			v.ask.Avoid = append(v.ask.Avoid, ruling.Admit.Runner.ID)
		}
		again := v.attempts < tries && c.clock() < v.endUs && end != notSent
		if end == unknown || end == brokeOff {
			again = again && v.route.Repeatable()
		}
		if again {
			c.dmu.Lock()
			again = c.budget(v.service).Spend(c.clock(), int(c.nodes.Load()))
			c.dmu.Unlock()
		}
		if again {
			continue
		}
		switch {
		case stream != nil && stream.started:
		case ran && c.clock() >= v.endUs:
			v.deny(504, "", 0)
		case ran:
			v.deny(502, "", 0)
		default:
			v.deny(503, "", 100_000)
		}
		return
	}
}

func (c *Router) budget(service string) *upstream.Budget {
	b := c.budgets[service]
	if b == nil {
		s := c.set.Bounds
		b = &upstream.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, WindowUs: int64(s.RetryWindowS * 1e6)}
		c.budgets[service] = b
	}
	return b
}

// admit asks the admission control, and waits where the request is held.
func (v *visit) admit() admission.Ruling {
	c := v.c
	ch := make(chan admission.Ruling, 1)
	v.ask.Ref = c.slab.Put(func(r admission.Ruling) { ch <- r })
	now := c.clock()
	v.ask.LeftUs = v.endUs - now
	c.dmu.Lock()
	r := c.door.Arrive(v.ask, now)
	if r.Deny == admission.DenyPending || r.Deny == admission.DenyTokens {
		if shed, ok := c.door.ShedFor(v.ask, now); ok {
			defer c.slab.Resume(shed.Ref, shed)
			r = c.door.Arrive(v.ask, now)
		}
	}
	fresh := c.door.HasFresh()
	c.dmu.Unlock()
	if fresh {
		poke(c.fresh)
	}
	poke(c.stir)
	if !r.Hold {
		c.slab.Drop(v.ask.Ref)
		return r
	}
	c.wake()
	return <-ch
}

// answerStream is the client's side of a streamed answer; it outlives a attempt
// where another runner takes the stream up.
type answerStream struct {
	out      network.ExtWriter
	events   upstream.Events
	started  bool
	finished bool
	cutting  bool // the answer is a series of events
}

func (v *visit) send(adm *admission.Admission, stream *answerStream) (ending, *answerStream) {
	c := v.c
	v.attempts++
	var link *upstream.Conn
	var err error
	if v.next != nil {
		link, v.next = v.next.link, nil
	} else if link, err = v.link(adm.Runner.Addr); err != nil {
		c.done(adm, false)
		return notSent, stream
	}
	if n, ok := c.registry.Snapshot().ByID[adm.Runner.ID]; !ok || n.Draining || c.isAbsent(adm) {
		link.Close()
		c.done(adm, true)
		return notSent, stream
	}
	if !v.mayGo(adm) {
		link.Close()
		c.done(adm, true)
		return notSent, stream
	}
	end, deadline := v.put(adm, link, stream)
	if end != sentWhole {
		link.Close()
		return end, stream
	}
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := link.HeadFor(v.id, r, deadline); err != nil {
		c.ended(adm, link, false, false) // silence, too, is a failure of the runner
		link.Close()
		c.done(adm, false)
		return unknown, stream
	}
	status := r.StatusCode()
	if status == statusWrongInstance {
		link.Close()
		c.done(adm, true)
		c.wrongInstance(adm)
		return notRun, stream
	}
	if r.Header.Get(hNotRun) != "" {
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.giveBack(adm, link, r, err == nil)
		c.dmu.Lock()
		c.door.Full(adm, c.clock())
		c.dmu.Unlock()
		return notRun, stream
	}
	if promises(status) {
		// no runner gives this promise without saying that it has not run it
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.ended(adm, link, status < 500, true)
		c.giveBack(adm, link, r, err == nil)
		return unknown, stream
	}
	if status/100 == 2 && r.Header.ContentLength() < 0 {
		end, stream = v.passStream(adm, link, r, stream)
	} else {
		end = v.passBody(adm, link, r, stream)
	}
	return end, stream
}

// lateUs is how long after the client's deadline an answer may still be read.
const lateUs = 150_000

// mostUnwanted bounds the body of an answer that is not passed on.
const mostUnwanted = 1 << 20

// put sends the request. Where it has not all been sent it says what that means:
// as long as no byte can have reached the runner, it has not run.
func (v *visit) put(adm *admission.Admission, link *upstream.Conn, stream *answerStream) (ending, time.Time) {
	c := v.c
	leftUs := v.endUs - c.clock()
	if leftUs <= 0 { // as after a freeze of this process
		c.done(adm, true)
		return notSent, time.Time{}
	}
	deadline := time.Now().Add(time.Duration(leftUs+lateUs) * time.Microsecond)
	sent, err := link.Send(v.head(adm, leftUs, stream), v.rc.Request.Body(), deadline)
	if err == nil {
		return sentWhole, deadline
	}
	c.ended(adm, link, false, false)
	c.done(adm, false)
	if sent {
		return unknown, deadline
	}
	return notSent, deadline
}

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case 408, statusWrongInstance, 429, 503:
		return true
	}
	return false
}

// mayGo checks at the moment of sending, against the configuration in force
// now, that a regulated request goes to a certified runner; a regime that came
// or went while the request waited counts as it is now. The salt was made for
// the regime at admission, so a change of regime sends the request back.
func (v *visit) mayGo(adm *admission.Admission) bool {
	if v.tenant == nil {
		return true
	}
	t := v.c.table.Load()
	now := t.RegimeOf(v.tenant.Name)
	if now == "" && v.ask.Regime == "" {
		return true
	}
	if now != v.ask.Regime {
		v.ask.Regime, v.changed = now, true
		return false
	}
	_, certificate, ok := t.Allows(v.tenant.Name, sightOf(adm.Runner))
	if ok {
		v.note(compliance.Sent, &adm.Runner, certificate)
	}
	return ok
}

func (v *visit) link(addr string) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(v.endUs-v.c.clock(), 1000))*time.Microsecond)
	defer cancel()
	return v.c.connPool.GetFor(ctx, addr, v.service, v.route.Repeatable())
}

// ended notes how a attempt that was sent ended at its runner. One that died on a
// link that had rested says something of the link, not of the runner.
func (c *Router) ended(adm *admission.Admission, link *upstream.Conn, good, answered bool) {
	if !good && !answered && link.RestedUs > 0 {
		c.connPool.Dead(link)
		return
	}
	if answered {
		c.connPool.Alive(link)
	}
	c.dmu.Lock()
	c.door.Ended(adm, good, c.clock())
	c.dmu.Unlock()
}

func (c *Router) done(adm *admission.Admission, ok bool) {
	c.dmu.Lock()
	c.door.Done(adm, ok, c.clock())
	c.dmu.Unlock()
	poke(c.stir)
	c.wake()
}

func (c *Router) giveBack(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, ok bool) {
	if ok {
		c.connPool.Put(adm.Runner.Addr, link, &r.Header)
	} else {
		link.Close()
	}
	c.done(adm, ok)
}

// head makes the head of a attempt by the rules for headers.
func (v *visit) head(adm *admission.Admission, leftUs int64, stream *answerStream) *protocol.RequestHeader {
	in := &v.rc.Request.Header
	h := &protocol.RequestHeader{}
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(in.Method())
	h.SetRequestURIBytes(in.RequestURI())
	h.SetHostBytes(in.Host())
	extra := named(string(in.Peek("Connection")))
	in.VisitAll(func(k, val []byte) {
		key := string(k)
		if strings.EqualFold(key, hLastEvent) && stream != nil && stream.events.LastID != "" {
			return
		}
		if passes(requestRules, extra, key) {
			h.Add(key, string(val))
		}
	})
	body := len(v.rc.Request.Body())
	if body > 0 || !in.IsGet() && !in.IsHead() {
		h.SetContentLength(body)
	}
	h.Set(hTimeLeft, strconv.FormatInt(max(leftUs/1000, 1), 10))
	h.Set(hTarget, adm.Runner.ID)
	if v.tenant != nil {
		h.Set(hTenant, v.tenant.Name)
	}
	if v.ask.Model != "" {
		h.Set(hSalt, adm.Salt)
		h.Set(hUrgency, strconv.Itoa(urgency(v)))
		if adm.Source != "" {
			h.Set(hSource, adm.Source)
		}
		if adm.Sink != "" {
			h.Set(hSink, adm.Sink)
		}
		if adm.Version > 0 {
			h.Set(hExpected, strconv.FormatInt(adm.Version, 10))
		}
	}
	if stream != nil && stream.events.LastID != "" {
		h.Set(hLastEvent, stream.events.LastID)
	}
	return h
}

func urgency(v *visit) int {
	u := 1 + min(v.route.Rank, 1)
	if v.tenant != nil {
		u += 2 * v.tenant.Rank
	}
	return min(max(u, 0), 9)
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
	if v.c.leaving.Load() {
		out.SetConnectionClose(true)
	}
}

// mostBody bounds an answer that is held until it is whole.
const mostBody = 64 << 20

// passBody passes on an answer of known length, once it is whole.
func (v *visit) passBody(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, stream *answerStream) ending {
	b, err := upstream.ReadBody(r, mostBody)
	if err != nil {
		v.c.ended(adm, link, false, true)
		v.c.giveBack(adm, link, r, false)
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
	c.door.FirstToken(adm, c.clock())
	c.dmu.Unlock()
	poke(c.stir)
	c.wake()
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
			c.ended(adm, link, false, true)
			link.Close()
			c.done(adm, false)
			if stream.started {
				return brokeOff, stream
			}
			return unknown, nil
		}
		if rest := stream.events.Rest(); len(rest) > 0 && stream.cutting {
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
