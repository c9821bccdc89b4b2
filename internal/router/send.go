// One attempt: a connection, the request that is written to it, and the answer as far as it
// decides whether another attempt may follow.

package router

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// send sends the request to the runner of an admission and passes its answer on. However it
// ends, the admission's capacity has been released by then.
func (e *exchange) send(adm *admission.Admission, stream *answerStream) (attempt.Result, *answerStream) {
	c := e.router
	e.sequence.Begin()
	link, err := e.takeLink(adm)
	if err != nil {
		c.done(adm, e.client.hasLeft())
		return attempt.NotSent, stream
	}
	defer e.client.use(nil)
	if end := e.checkBeforeSending(adm, link); end != attempt.Sent {
		link.Close()
		c.done(adm, true)
		return end, stream
	}
	sent := c.sent.add(adm, link, e.sequence.MayRepeat(e.repeatRules()))
	sent.sentUs = c.clock()
	defer c.sent.remove(sent)
	e.spendToken()
	end := e.writeRequest(adm, link, stream)
	if end == attempt.Sent {
		return e.receive(sent, stream)
	}
	link.Close()
	if end == attempt.NotSent {
		e.refundToken()
	}
	return end, stream
}

// takeLink returns the connection that waits for a stream on the move, or one to the runner.
func (e *exchange) takeLink(adm *admission.Admission) (*upstream.Conn, error) {
	if e.next != nil {
		link := e.next.link
		e.next = nil
		return link, nil
	}
	return e.connect(adm)
}

// checkBeforeSending returns attempt.Sent where the request may be sent: what was true at
// admission may have changed since.
func (e *exchange) checkBeforeSending(adm *admission.Admission, link *upstream.Conn) attempt.Result {
	switch {
	case !e.useLink(link):
		return attempt.ClientGone
	case !e.router.stillAllowed(adm), !e.recheckPolicy(adm):
		return attempt.NotSent
	}
	return attempt.Sent
}

// receive reads the answer to an attempt that has been sent, and passes it on where it says
// that the runner has begun it.
func (e *exchange) receive(sent *sentAttempt, stream *answerStream) (attempt.Result, *answerStream) {
	c, adm, link := e.router, sent.adm, sent.link
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := e.readHead(sent, r); err != nil {
		if errors.Is(err, errWithdrawn) {
			c.done(adm, true)
		} else {
			e.failed(adm, link, false) // silence, too, is a failure of the runner
		}
		link.Close()
		return attempt.Unknown, stream
	}
	if end := e.receiveRejection(adm, link, r); end != attempt.Answered {
		return end, stream
	}
	if stream == nil {
		e.held = c.held.add(adm, link, false)
		defer c.held.remove(e.held)
	}
	if e.streams(r) {
		if stream == nil {
			stream = &answerStream{cutting: e.route.Kind == api.Streaming}
		}
		unwatch := e.watchStream(sent, stream)
		defer unwatch()
		return e.passStream(adm, link, r, stream)
	}
	return e.passBody(adm, link, r, stream), stream
}

// receiveRejection reads an answer that says that the runner has not run the request, or
// promises it without saying so. It returns attempt.Answered for any other answer.
func (e *exchange) receiveRejection(adm *admission.Admission, link *upstream.Conn, r *protocol.Response) attempt.Result {
	c, status := e.router, r.StatusCode()
	switch {
	case status == statusWrongInstance:
		c.releaseUnwanted(adm, link, r)
		c.wrongInstance(adm, otherWeights(adm, r))
		e.refundToken()
		return attempt.NotRun
	case r.Header.Get(hNotRun) != "":
		c.releaseUnwanted(adm, link, r)
		c.admissionMu.Lock()
		c.admission.RecordRejection(adm, c.clock())
		c.admissionMu.Unlock()
		e.refundToken()
		return attempt.NotRun
	case promises(status):
		// no runner gives this promise without saying that it has not run it
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.ended(adm, link, status < 500, true)
		c.release(adm, link, r, err == nil)
		return attempt.Unknown
	}
	return attempt.Answered
}

// releaseUnwanted reads the body of an answer that is not passed on, and releases the
// attempt's capacity and connection.
func (r *Router) releaseUnwanted(adm *admission.Admission, link *upstream.Conn, response *protocol.Response) {
	_, err := upstream.ReadBody(response, mostUnwanted)
	r.release(adm, link, response, err == nil)
}

// mostUnwanted bounds the body of an answer that is not passed on.
const mostUnwanted = 1 << 20

// writeRequest sends the request. Where it has not all been sent it says what that means:
// as long as no byte can have reached the runner, it has not run.
func (e *exchange) writeRequest(adm *admission.Admission, link *upstream.Conn, stream *answerStream) attempt.Result {
	c := e.router
	leftUs := e.endUs - c.clock()
	if leftUs <= closeLeadUs { // as after a freeze of this process
		c.done(adm, true)
		return attempt.NotSent
	}
	sent, err := link.Send(e.head(adm, leftUs, stream), e.rc.Request.Body(), e.deadline(-closeLeadUs))
	if err == nil {
		return attempt.Sent
	}
	e.failed(adm, link, false)
	if sent {
		return attempt.Unknown
	}
	return attempt.NotSent
}

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case 408, statusWrongInstance, 429, 503:
		return true
	}
	return false
}

// recheckPolicy checks at the moment of sending, against the configuration in force
// now, that a regulated request goes to a certified runner; a regime that came
// or went while the request waited counts as it is now. The salt was made for
// the regime at admission, so a change of regime sends the request back.
func (e *exchange) recheckPolicy(adm *admission.Admission) bool {
	if e.tenant == nil {
		return true
	}
	t := e.router.table.Load()
	now := t.RegimeOf(e.tenant.Name)
	if now == "" && e.request.Regime == "" {
		return true
	}
	if now != e.request.Regime {
		e.request.Regime, e.changed = now, true
		return false
	}
	_, certificate, ok := t.Allows(e.tenant.Name, sightOf(adm.Runner))
	if ok {
		e.note(compliance.Sent, &adm.Runner, certificate)
	}
	return ok
}

// connect returns a connection to a runner. It is given up when the client leaves, and when the
// runner's zone cannot be reached any more.
func (e *exchange) connect(adm *admission.Admission) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(e.endUs-e.router.clock(), 1000))*time.Microsecond)
	defer cancel()
	stop := e.client.onLeave(cancel)
	defer stop()
	making := &connecting{adm: adm, cancel: cancel}
	e.router.connects.begin(making)
	defer e.router.connects.end(making)
	return e.router.connPool.GetFor(ctx, adm.Runner.Addr, e.service, e.route.Repeatable())
}

// ended notes how an attempt that was sent ended at its runner. One that died on a
// link that had rested says something of the link, not of the runner.
func (r *Router) ended(adm *admission.Admission, link *upstream.Conn, good, answered bool) {
	if !good && !answered && link.RestedUs > 0 {
		r.connPool.Dead(link)
		return
	}
	if answered {
		r.connPool.Alive(link)
	}
	r.admissionMu.Lock()
	r.admission.RecordOutcome(adm, good, r.clock())
	r.admissionMu.Unlock()
}

// failed gives back the place of an attempt that broke off. It is the runner's
// failure unless the client has left, which ends the connection to the runner.
func (e *exchange) failed(adm *admission.Admission, link *upstream.Conn, answered bool) {
	if e.client.hasLeft() {
		e.router.done(adm, true)
		return
	}
	e.router.ended(adm, link, false, answered)
	e.router.done(adm, false)
}

func (r *Router) done(adm *admission.Admission, ok bool) {
	r.admissionMu.Lock()
	r.admission.Release(adm, ok, r.clock())
	r.admissionMu.Unlock()
	signal(r.loadsChanged)
	r.wakeQueue()
}

func (r *Router) release(adm *admission.Admission, link *upstream.Conn, response *protocol.Response, ok bool) {
	if ok {
		r.connPool.Put(adm.Runner.Addr, link, &response.Header)
	} else {
		link.Close()
	}
	r.done(adm, ok)
}
