// The attempts of a request: the decision of admission, a connection, the head, the
// stream, and what may follow when an attempt fails. Another attempt is made only
// where the runner said that it has not run the request, where nothing was sent, or
// where the route is repeatable; and only within tries, budget and time.

package router

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/upstream"
)

// attemptResult is how an attempt went.
type attemptResult int

const (
	resultAnswered  attemptResult = iota // the client has the whole answer
	resultNotSent                        // nothing reached the runner
	resultNotRun                         // the runner said that it has not run it
	resultUnknown                        // it was sent, and may have run
	resultBrokenOff                      // broken after a part had been passed on
	resultClientGone
	resultMoving // it goes on at another runner, whose place and link are there

	resultSent // it has been sent, and the answer is to be read
)

// maxUnsent bounds how many runners are tried whose links do not come up.
const maxUnsent = 4

// progress is how far a request has come.
type progress struct {
	stream *answerStream
	unsent int  // attempts of which nothing reached a runner
	ran    bool // it may have run somewhere
}

// run makes the attempts of a request, until it is answered or rejected.
func (e *exchange) run() {
	if !e.enter() {
		return
	}
	defer e.returnToken()
	e.c.admissionMu.Lock()
	e.c.budget(e.service).Request(e.startUs)
	e.c.admissionMu.Unlock()
	var state progress
	for e.attempt(&state) {
	}
	if state.stream != nil && state.stream.started && !state.stream.finished {
		e.ended = compliance.Cut
		e.cut()
	}
}

// attempt makes the next attempt. It reports whether another one follows.
func (e *exchange) attempt(state *progress) bool {
	decision := e.nextPlace()
	if decision.Admit == nil {
		e.rejectUnplaced(decision, state)
		return false
	}
	if !e.reenter(decision.Admit, state) {
		return false
	}
	e.checkRepeat(state)
	var end attemptResult
	end, state.stream = e.send(decision.Admit, state.stream)
	if end != resultAnswered && e.client.hasLeft() {
		end = resultClientGone
	}
	e.recordAttempt(end)
	switch end {
	case resultMoving:
		return true
	case resultAnswered:
		e.ended = compliance.Answered
		return false
	case resultClientGone:
		e.ended = compliance.Cut
		e.releaseNext()
		e.cut()
		return false
	}
	if !e.retries(end, decision.Admit.Runner.ID, state) {
		e.rejectFailed(state)
		return false
	}
	return true
}

// nextPlace is where the next attempt goes.
func (e *exchange) nextPlace() admission.Decision {
	if e.next != nil {
		return admission.Decision{Admit: e.next.adm}
	}
	return e.admit()
}

// retries tells whether another attempt follows one that failed.
func (e *exchange) retries(end attemptResult, runnerID string, state *progress) bool {
	if end == resultNotSent {
		return e.retriesUnsent(runnerID, state)
	}
	e.request.Avoid = append(e.request.Avoid, runnerID)
	if end != resultNotRun {
		state.ran = true
		if !e.route.Repeatable() {
			return false
		}
	}
	return e.attempts < max(e.route.Tries, 1) && !e.timeOver() && e.spendRetry()
}

// retriesUnsent is the same for an attempt of which nothing reached the runner: it
// counts neither as a try nor against the budget.
func (e *exchange) retriesUnsent(runnerID string, state *progress) bool {
	e.attempts--
	state.unsent++
	if state.unsent >= maxUnsent || e.timeOver() {
		return false
	}
	if e.changed {
		e.changed = false
		return true
	}
	e.request.Avoid = append(e.request.Avoid, runnerID)
	return true
}

// rejectUnplaced answers a request for which there is no place, unless a part of
// its answer has gone out.
func (e *exchange) rejectUnplaced(decision admission.Decision, state *progress) {
	switch {
	case state.stream != nil:
	case state.ran && e.c.clock() >= e.endUs:
		e.reject(504, decision.Reject, 0)
	case state.ran:
		e.reject(502, decision.Reject, 0)
	default:
		e.reject(decision.Status, decision.Reject, decision.AgainUs)
	}
}

// againUs is after how long a client may come back whose request found no runner.
const againUs = 100_000

// rejectFailed answers a request whose last attempt has failed. What may have run
// gets no status that promises that it has not.
func (e *exchange) rejectFailed(state *progress) {
	switch {
	case state.stream != nil && state.stream.started:
	case state.ran && e.timeOver():
		e.reject(504, "", 0)
	case state.ran:
		e.reject(502, "", 0)
	default:
		e.reject(503, "", againUs)
	}
}

// spendRetry takes a further attempt from the budget, if there is one.
func (e *exchange) spendRetry() bool {
	e.c.admissionMu.Lock()
	defer e.c.admissionMu.Unlock()
	return e.c.budget(e.service).Spend(e.c.clock(), int(e.c.nodes.Load()))
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
func (e *exchange) admit() admission.Decision {
	c := e.c
	ch := make(chan admission.Decision, 1)
	e.request.Ref = c.slab.Put(func(r admission.Decision) { ch <- r })
	now := c.clock()
	e.request.LeftUs = e.endUs - now
	c.admissionMu.Lock()
	r := c.admission.Submit(e.request, now)
	if r.Reject == admission.RejectQueue || r.Reject == admission.RejectTokens {
		if shed, ok := c.admission.ShedFor(e.request, now); ok {
			defer c.slab.Resume(shed.Ref, shed)
			r = c.admission.Submit(e.request, now)
		}
	}
	fresh := c.admission.HasFresh()
	c.admissionMu.Unlock()
	if fresh {
		signal(c.prefixesPending)
	}
	signal(c.loadsChanged)
	if !r.Hold {
		c.slab.Drop(e.request.Ref)
		return r
	}
	c.wakeQueue()
	return e.awaitDecision(ch)
}

// awaitDecision waits in the queue. A request that nothing was sent of leaves it as soon as
// the router drains, if it may outlast the router.
func (e *exchange) awaitDecision(decision <-chan admission.Decision) admission.Decision {
	drainBegun := e.c.drainBegun
	for {
		select {
		case r := <-decision:
			return r
		case <-e.client.leftChannel():
			return e.abandon(decision, "")
		case <-e.c.lastAnswers:
			return e.abandon(decision, rejectDraining)
		case <-drainBegun:
			if e.attempts == 0 && !e.c.shutdown.Load().forwards(e.endUs) {
				return e.abandon(decision, rejectDraining)
			}
			drainBegun = nil
		}
	}
}

// abandon takes a request out of the queue whose client has left, or whose router ends.
// A decision that was already on its way stands.
func (e *exchange) abandon(decision <-chan admission.Decision, reason admission.Reason) admission.Decision {
	c := e.c
	if !c.slab.Drop(e.request.Ref) {
		return <-decision
	}
	c.admissionMu.Lock()
	c.admission.Abandon(e.request)
	c.admissionMu.Unlock()
	return admission.Decision{Ref: e.request.Ref, Status: 503, Reject: reason, AgainUs: drainRetryUs}
}

// send sends the request to the runner of an admission and passes its answer on. However it
// ends, the admission's capacity has been released by then.
func (e *exchange) send(adm *admission.Admission, stream *answerStream) (attemptResult, *answerStream) {
	c := e.c
	e.attempts++
	link, err := e.takeLink(adm.Runner.Addr)
	if err != nil {
		c.done(adm, e.client.hasLeft())
		return resultNotSent, stream
	}
	defer e.client.use(nil)
	if end := e.checkBeforeSending(adm, link); end != resultSent {
		link.Close()
		c.done(adm, true)
		return end, stream
	}
	sent := c.sent.add(adm, link, e.route.Repeatable() && e.attempts < max(e.route.Tries, 1))
	defer c.sent.remove(sent)
	e.spendToken()
	end := e.writeRequest(adm, link, stream)
	if end == resultSent {
		return e.receive(sent, stream)
	}
	link.Close()
	if end == resultNotSent {
		e.refundToken()
	}
	return end, stream
}

// takeLink returns the connection that waits for a stream on the move, or one to the address.
func (e *exchange) takeLink(addr string) (*upstream.Conn, error) {
	if e.next != nil {
		link := e.next.link
		e.next = nil
		return link, nil
	}
	return e.connect(addr)
}

// checkBeforeSending returns resultSent where the request may be sent: what was true at
// admission may have changed since.
func (e *exchange) checkBeforeSending(adm *admission.Admission, link *upstream.Conn) attemptResult {
	switch {
	case !e.useLink(link):
		return resultClientGone
	case !e.c.stillAllowed(adm), !e.recheckPolicy(adm):
		return resultNotSent
	}
	return resultSent
}

// receive reads the answer to an attempt that has been sent, and passes it on where it says
// that the runner has begun it.
func (e *exchange) receive(sent *sentAttempt, stream *answerStream) (attemptResult, *answerStream) {
	c, adm, link := e.c, sent.adm, sent.link
	r := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(r)
	if err := e.readHead(sent, r); err != nil {
		if errors.Is(err, errWithdrawn) {
			c.done(adm, true)
		} else {
			e.failed(adm, link, false) // silence, too, is a failure of the runner
		}
		link.Close()
		return resultUnknown, stream
	}
	if end := e.receiveRejection(adm, link, r); end != resultAnswered {
		return end, stream
	}
	if stream == nil {
		e.held = c.held.add(adm, link, false)
		defer c.held.remove(e.held)
	}
	if e.streams(r) {
		return e.passStream(adm, link, r, stream)
	}
	return e.passBody(adm, link, r, stream), stream
}

// receiveRejection reads an answer that says that the runner has not run the request, or
// promises it without saying so. It returns resultAnswered for any other answer.
func (e *exchange) receiveRejection(adm *admission.Admission, link *upstream.Conn, r *protocol.Response) attemptResult {
	c, status := e.c, r.StatusCode()
	switch {
	case status == statusWrongInstance:
		c.releaseUnwanted(adm, link, r)
		c.wrongInstance(adm, otherWeights(adm, r))
		e.refundToken()
		return resultNotRun
	case r.Header.Get(hNotRun) != "":
		c.releaseUnwanted(adm, link, r)
		c.admissionMu.Lock()
		c.admission.Full(adm, c.clock())
		c.admissionMu.Unlock()
		e.refundToken()
		return resultNotRun
	case promises(status):
		// no runner gives this promise without saying that it has not run it
		_, err := upstream.ReadBody(r, mostUnwanted)
		c.ended(adm, link, status < 500, true)
		c.release(adm, link, r, err == nil)
		return resultUnknown
	}
	return resultAnswered
}

// releaseUnwanted reads the body of an answer that is not passed on, and releases the
// attempt's capacity and connection.
func (c *Router) releaseUnwanted(adm *admission.Admission, link *upstream.Conn, r *protocol.Response) {
	_, err := upstream.ReadBody(r, mostUnwanted)
	c.release(adm, link, r, err == nil)
}

// mostUnwanted bounds the body of an answer that is not passed on.
const mostUnwanted = 1 << 20

// writeRequest sends the request. Where it has not all been sent it says what that means:
// as long as no byte can have reached the runner, it has not run.
func (e *exchange) writeRequest(adm *admission.Admission, link *upstream.Conn, stream *answerStream) attemptResult {
	c := e.c
	leftUs := e.endUs - c.clock()
	if leftUs <= closeLeadUs { // as after a freeze of this process
		c.done(adm, true)
		return resultNotSent
	}
	sent, err := link.Send(e.head(adm, leftUs, stream), e.rc.Request.Body(), e.deadline(-closeLeadUs))
	if err == nil {
		return resultSent
	}
	e.failed(adm, link, false)
	if sent {
		return resultUnknown
	}
	return resultNotSent
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
	t := e.c.table.Load()
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

func (e *exchange) connect(addr string) (*upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(e.endUs-e.c.clock(), 1000))*time.Microsecond)
	defer cancel()
	stop := e.client.onLeave(cancel)
	defer stop()
	return e.c.connPool.GetFor(ctx, addr, e.service, e.route.Repeatable())
}

// ended notes how an attempt that was sent ended at its runner. One that died on a
// link that had rested says something of the link, not of the runner.
func (c *Router) ended(adm *admission.Admission, link *upstream.Conn, good, answered bool) {
	if !good && !answered && link.RestedUs > 0 {
		c.connPool.Dead(link)
		return
	}
	if answered {
		c.connPool.Alive(link)
	}
	c.admissionMu.Lock()
	c.admission.Ended(adm, good, c.clock())
	c.admissionMu.Unlock()
}

// failed gives back the place of an attempt that broke off. It is the runner's
// failure unless the client has left, which ends the connection to the runner.
func (e *exchange) failed(adm *admission.Admission, link *upstream.Conn, answered bool) {
	if e.client.hasLeft() {
		e.c.done(adm, true)
		return
	}
	e.c.ended(adm, link, false, answered)
	e.c.done(adm, false)
}

func (c *Router) done(adm *admission.Admission, ok bool) {
	c.admissionMu.Lock()
	c.admission.Done(adm, ok, c.clock())
	c.admissionMu.Unlock()
	signal(c.loadsChanged)
	c.wakeQueue()
}

func (c *Router) release(adm *admission.Admission, link *upstream.Conn, r *protocol.Response, ok bool) {
	if ok {
		c.connPool.Put(adm.Runner.Addr, link, &r.Header)
	} else {
		link.Close()
	}
	c.done(adm, ok)
}
