// A single attempt: connecting, writing the request, and reading the response as far as it decides
// whether another attempt may follow.

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

// send sends the request to the admitted runner and forwards the response. However it ends, the
// capacity of the admission has been released when it returns.
func (e *exchange) send(adm *admission.Admission, stream *responseStream) (attempt.Result, *responseStream) {
	router := e.router
	e.sequence.Begin()
	conn, err := e.acquireConn(adm)
	if err != nil {
		router.releaseCapacity(adm, e.client.isGone())
		return attempt.NotSent, stream
	}
	defer e.client.attachConn(nil)
	if result := e.checkBeforeSending(adm, conn); result != attempt.Sent {
		conn.Close()
		router.releaseCapacity(adm, true)
		return result, stream
	}
	sent := router.sent.add(adm, conn, e.sequence.MayRepeat(e.retryPolicy()))
	sent.sentUs = router.clock()
	defer router.sent.remove(sent)
	e.spendToken()
	result := e.writeRequest(adm, conn, stream)
	if result == attempt.Sent {
		return e.receive(sent, stream)
	}
	conn.Close()
	if result == attempt.NotSent {
		e.refundToken()
	}
	return result, stream
}

// acquireConn returns the connection that was reserved for a moving stream, or a new one from the
// pool.
func (e *exchange) acquireConn(adm *admission.Admission) (*upstream.Conn, error) {
	if e.reserved != nil {
		conn := e.reserved.conn
		e.reserved = nil
		return conn, nil
	}
	return e.connect(adm)
}

// checkBeforeSending returns attempt.Sent if the request may be sent. The client may have left, or
// the runner may no longer be permitted, since admission.
func (e *exchange) checkBeforeSending(adm *admission.Admission, conn *upstream.Conn) attempt.Result {
	switch {
	case !e.attachRunnerConn(conn):
		return attempt.ClientGone
	case !e.router.stillAllowed(adm), !e.recheckPolicy(adm):
		return attempt.NotSent
	}
	return attempt.Sent
}

// receive reads the response to an attempt that has been sent, and forwards it unless the runner
// rejected the request.
func (e *exchange) receive(sent *sentAttempt, stream *responseStream) (attempt.Result, *responseStream) {
	router, adm, conn := e.router, sent.adm, sent.conn
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := e.readHead(sent, r); err != nil {
		if errors.Is(err, errWithdrawn) {
			router.releaseCapacity(adm, true)
		} else {
			e.releaseFailedAttempt(adm, conn, false) // a missing response counts as a failure of the runner
		}
		conn.Close()
		return attempt.Unknown, stream
	}
	if result := e.receiveRejection(adm, conn, r); result != attempt.Answered {
		return result, stream
	}
	if stream == nil {
		e.undelivered = router.undelivered.add(adm, conn, false)
		defer router.undelivered.remove(e.undelivered)
	}
	if e.isStreamed(r) {
		if stream == nil {
			stream = &responseStream{isEventStream: e.route.Kind == api.Streaming, splitter: upstream.NewEventSplitter(router.connPool.Budget())}
		}
		unwatch := e.watchStream(sent, stream)
		defer unwatch()
		return e.forwardStream(adm, conn, r, stream)
	}
	return e.forwardBody(adm, conn, r, stream), stream
}

// receiveRejection handles responses by which the runner rejects the request: those that state
// that it has not run, and those whose status implies it without the header that states it. It
// returns attempt.Answered for any other response.
func (e *exchange) receiveRejection(adm *admission.Admission, conn *upstream.Conn, r *protocol.Response) attempt.Result {
	router, status := e.router, r.StatusCode()
	switch {
	case status == statusWrongInstance:
		router.discardResponse(adm, conn, r)
		router.handleMisdirected(adm, hasOtherWeights(adm, r))
		e.refundToken()
		return attempt.NotExecuted
	case r.Header.Get(hNotRun) != "":
		router.discardResponse(adm, conn, r)
		router.admissionMu.Lock()
		router.admission.RecordRejection(adm, router.clock())
		router.admissionMu.Unlock()
		e.refundToken()
		return attempt.NotExecuted
	case impliesNotExecuted(status):
		// without the header the request may have run, whatever the status implies
		err := upstream.DiscardBody(r, maxDiscardedBody)
		router.recordAttemptOutcome(adm, conn, status < 500, true)
		router.releaseCapacityAndConn(adm, conn, r, err == nil)
		return attempt.Unknown
	}
	return attempt.Answered
}

// discardResponse reads the body of a response that is not forwarded, and releases the attempt's
// capacity and connection.
func (r *Router) discardResponse(adm *admission.Admission, conn *upstream.Conn, response *protocol.Response) {
	err := upstream.DiscardBody(response, maxDiscardedBody)
	r.releaseCapacityAndConn(adm, conn, response, err == nil)
}

// maxDiscardedBody limits the body of a response that is not forwarded, in bytes.
const maxDiscardedBody = 1 << 20

// writeRequest writes the request. If that fails it releases the capacity and returns
// attempt.NotSent if no byte can have reached the runner, attempt.Unknown otherwise.
func (e *exchange) writeRequest(adm *admission.Admission, conn *upstream.Conn, stream *responseStream) attempt.Result {
	router := e.router
	leftUs := e.deadlineUs - router.clock()
	if leftUs <= withdrawLeadUs { // for example after this process was paused
		router.releaseCapacity(adm, true)
		return attempt.NotSent
	}
	sent, err := conn.Send(e.attemptHeader(adm, leftUs, stream), e.rc.Request.Body(), e.deadlineTime(-withdrawLeadUs))
	if err == nil {
		return attempt.Sent
	}
	e.releaseFailedAttempt(adm, conn, false)
	if sent {
		return attempt.Unknown
	}
	return attempt.NotSent
}

// impliesNotExecuted reports whether a status promises to the client that the request has not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case 408, statusWrongInstance, 429, 503:
		return true
	}
	return false
}

// recheckPolicy checks, immediately before sending and against the current configuration, that a
// regulated request goes to a runner certified for the tenant's regime. If the tenant's regime has
// changed since admission it returns false and records the new one, since the cache salt was
// derived from the old regime; the request is then admitted anew.
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
		e.request.Regime, e.regimeChanged = now, true
		return false
	}
	_, certificate, ok := t.Allows(e.tenant.Name, complianceRunner(adm.Runner))
	if ok {
		e.recordAudit(compliance.Sent, &adm.Runner, certificate)
	}
	return ok
}

// connect returns a connection to the runner. Connecting is cancelled at the request's deadline,
// when the client leaves, and when the runner's zone becomes unreachable.
func (e *exchange) connect(adm *admission.Admission) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(e.deadlineUs-e.router.clock(), 1000))*time.Microsecond)
	defer cancel()
	unregister := e.client.onGone(cancel)
	defer unregister()
	pending := &pendingConnect{adm: adm, cancel: cancel}
	e.router.pendingConnects.begin(pending)
	defer e.router.pendingConnects.end(pending)
	return e.router.connPool.GetFor(ctx, adm.Runner.Addr, e.service, e.route.Repeatable())
}

// recordAttemptOutcome records whether the runner completed an attempt. A failure without any
// response on a connection that had been idle is attributed to the connection, not to the runner.
func (r *Router) recordAttemptOutcome(adm *admission.Admission, conn *upstream.Conn, succeeded, responded bool) {
	if !succeeded && !responded && conn.IdleUs > 0 {
		r.connPool.RecordDead(conn)
		return
	}
	if responded {
		r.connPool.RecordAlive(conn)
	}
	r.admissionMu.Lock()
	r.admission.RecordOutcome(adm, succeeded, r.clock())
	r.admissionMu.Unlock()
}

// releaseFailedAttempt releases the capacity of an attempt that broke off. It counts as a failure
// of the runner, unless the client has left: then this router closed the connection to the runner.
func (e *exchange) releaseFailedAttempt(adm *admission.Admission, conn *upstream.Conn, responded bool) {
	if e.client.isGone() {
		e.router.releaseCapacity(adm, true)
		return
	}
	e.router.recordAttemptOutcome(adm, conn, false, responded)
	e.router.releaseCapacity(adm, false)
}

// releaseCapacity releases the capacity of an admission. ok reports whether the attempt ended
// without a failure of the runner.
func (r *Router) releaseCapacity(adm *admission.Admission, ok bool) {
	r.admissionMu.Lock()
	r.admission.Release(adm, ok, r.clock())
	r.admissionMu.Unlock()
	signal(r.loadsChanged)
	r.wakeQueue()
}

// releaseCapacityAndConn releases the capacity of an admission. It returns the connection to the
// pool if ok, and closes it otherwise.
func (r *Router) releaseCapacityAndConn(adm *admission.Admission, conn *upstream.Conn, response *protocol.Response, ok bool) {
	if ok {
		r.connPool.Put(adm.Runner.Addr, conn, &response.Header)
	} else {
		conn.Close()
	}
	r.releaseCapacity(adm, ok)
}
