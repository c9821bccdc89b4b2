package simulation

import (
	"fmt"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/upstream"
)

// requestRouter makes the attempts of its requests as the router role does.
type requestRouter struct {
	history  *requestHistory
	name     string
	process  *Process
	frozenUs int64 // when it last froze, 0 for never
	thawedUs int64

	// The following fields are lost when the process restarts.
	budget       *upstream.RetryBudget
	idleConns    map[*requestRunner][]*requestConn
	exchanges    map[*incoming]*requestExchange
	openRequests map[*incoming]bool // requests whose clients wait for a response
}

func newRequestRouter(h *requestHistory, i int) *requestRouter {
	r := &requestRouter{history: h, name: fmt.Sprintf("r%d", i+1), process: NewProcess(h.kernel), openRequests: map[*incoming]bool{}}
	r.start()
	return r
}

func (r *requestRouter) start() {
	r.process.Start()
	r.budget = &upstream.RetryBudget{Ratio: retryRatio, Slack: retrySlack, WindowUs: retryWindowUs}
	r.idleConns, r.exchanges = map[*requestRunner][]*requestConn{}, map[*incoming]*requestExchange{}
}

// restart starts the process if it is not running.
func (r *requestRouter) restart() {
	if !r.process.Up() {
		r.start()
	}
}

// kill kills the process, which closes all its connections.
func (r *requestRouter) kill() {
	r.process.Stop()
	for _, e := range r.sortedExchanges() {
		if e.conn != nil {
			e.conn.close()
		}
	}
	for _, runner := range r.history.runners {
		for _, conn := range r.idleConns[runner] {
			conn.close()
		}
	}
	open := r.openRequests
	r.openRequests = map[*incoming]bool{}
	ids := make([]*incoming, 0, len(open))
	for in := range open {
		ids = append(ids, in)
	}
	slices.SortFunc(ids, func(a, b *incoming) int { return strings.Compare(a.id, b.id) })
	for _, in := range ids {
		in.respond(0, "")
	}
}

func (r *requestRouter) sortedExchanges() []*requestExchange {
	list := make([]*requestExchange, 0, len(r.exchanges))
	for _, e := range r.exchanges {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *requestExchange) int { return strings.Compare(a.in.id, b.in.id) })
	return list
}

// requestExchange is the state of one request at its router.
type requestExchange struct {
	router        *requestRouter
	in            *incoming
	sequence      attempt.Sequence
	avoid         []*requestRunner
	deadlineUs    int64 // by the router's clock
	conn          *requestConn
	runner        *requestRunner
	events        upstream.EventSplitter
	sent          strings.Builder // bytes sent to the client
	attemptNumber int             // incremented per attempt; events of earlier attempts are ignored
}

// serve starts to process a client's request.
func (r *requestRouter) serve(in *incoming) {
	if in.ended {
		return
	}
	h := r.history
	leftUs := in.client.deadlineUs - in.sentUs
	e := &requestExchange{router: r, in: in, deadlineUs: r.process.NowUs() + leftUs}
	r.exchanges[in] = e
	r.budget.RecordRequest(r.process.NowUs())
	number := e.attemptNumber
	r.process.After(leftUs, func() {
		if e.attemptNumber >= number && !e.in.ended {
			e.expire()
		}
	})
	h.kernel.Log("%s takes %s", r.name, in.id)
	e.startAttempt()
}

// Spend consumes one retry from the router's budget and reports whether it was available.
func (e *requestExchange) Spend() bool {
	if e.router.history.defects.RetryWithoutBudget {
		return true
	}
	return e.router.budget.Spend(e.router.process.NowUs(), len(e.router.history.routers))
}

func (e *requestExchange) retryRules() attempt.Request {
	rules := e.in.client.retryRules()
	if e.router.history.defects.RetryNonIdempotent {
		rules.Repeatable = true
	}
	return rules
}

func (e *requestExchange) deadlinePassed() bool { return e.router.process.NowUs() >= e.deadlineUs }

// startAttempt starts the next attempt.
func (e *requestExchange) startAttempt() {
	r, h := e.router, e.router.history
	if e.in.ended {
		return
	}
	runner := e.chooseRunner()
	if runner == nil || e.deadlinePassed() {
		e.finish(e.endStatus())
		return
	}
	e.attemptNumber++
	number := e.attemptNumber
	e.runner = runner
	e.sequence.Begin()
	if idle := r.idleConns[runner]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		r.idleConns[runner] = idle[:len(idle)-1]
		if conn.reusable() {
			e.send(conn)
			return
		}
		conn.close()
	}
	r.process.After(h.kernel.Between(200, maxRequestConnectUs), func() {
		if e.attemptNumber != number || e.in.ended {
			return
		}
		conn := runner.accept(e)
		if conn == nil {
			e.handleFailure(attempt.NotSent)
			return
		}
		e.send(conn)
	})
}

// chooseRunner returns a random runner that is not to be avoided for this request, or nil.
func (e *requestExchange) chooseRunner() *requestRunner {
	h := e.router.history
	start := h.kernel.Below(len(h.runners))
	for i := range h.runners {
		if runner := h.runners[(start+i)%len(h.runners)]; !slices.Contains(e.avoid, runner) {
			return runner
		}
	}
	return nil
}

// send writes the request to a connection.
func (e *requestExchange) send(conn *requestConn) {
	e.conn = conn
	conn.exchange, conn.attemptNumber = e, e.attemptNumber
	conn.sendRequest(e.in, e.lastEvent())
}

func (e *requestExchange) lastEvent() string {
	if e.router.history.defects.ResumeFromStart {
		return ""
	}
	return e.events.LastID
}

// handleFailure handles a failed attempt: it starts a retry or ends the request.
func (e *requestExchange) handleFailure(result attempt.Result) {
	if e.in.ended {
		return
	}
	if e.conn != nil && result != attempt.NotExecuted {
		e.conn.close()
	}
	e.conn = nil
	e.events.DiscardIncomplete()
	next := e.sequence.Failed(e.retryRules(), result, e.deadlinePassed(), e)
	if next.AvoidRunner {
		e.avoid = append(e.avoid, e.runner)
	}
	if !next.Retry {
		e.finish(e.endStatus())
		return
	}
	e.startAttempt()
}

func (e *requestExchange) endStatus() int {
	if e.router.history.defects.ReportNotRunAfterRun {
		return 503
	}
	return e.sequence.EndStatus(e.deadlinePassed())
}

// expire ends a request whose deadline has passed, whatever its state.
func (e *requestExchange) expire() {
	e.attemptNumber++
	if e.conn != nil {
		e.conn.close()
		e.conn = nil
		e.sequence.Failed(attempt.Request{}, attempt.Unknown, true, e)
	}
	e.finish(e.endStatus())
}

// finish ends a request with a status set by the router. If part of the response has been sent,
// the connection is closed instead.
func (e *requestExchange) finish(status int) {
	delete(e.router.exchanges, e.in)
	if e.sent.Len() > 0 {
		status = 0
	}
	e.in.respond(status, "")
}

// clientDisconnected cancels the attempt of a client that has disconnected.
func (r *requestRouter) clientDisconnected(in *incoming) {
	r.process.Deliver(func() {
		e := r.exchanges[in]
		if e == nil {
			return
		}
		delete(r.exchanges, in)
		e.attemptNumber++
		if e.conn != nil {
			e.conn.close()
		}
	})
}

// handleResponse handles a response on the connection of the current attempt.
func (e *requestExchange) handleResponse(conn *requestConn, a runnerResponse) {
	if a.id != e.in.id && !e.router.history.defects.MatchResponsesByOrder {
		conn.tainted = true // a late response to an earlier request is ignored
		return
	}
	switch {
	case a.event != "":
		e.handleEvent(a.event)
	case a.notRun:
		e.release(conn)
		e.handleFailure(attempt.NotExecuted)
	case a.status >= 500 && e.sequence.MayRepeat(e.retryRules()):
		e.handleFailure(attempt.Unknown)
	default:
		e.release(conn)
		delete(e.router.exchanges, e.in)
		e.in.respond(a.status, e.sent.String()+a.body)
	}
}

// handleEvent forwards complete events to the client.
func (e *requestExchange) handleEvent(bytes string) {
	complete, err := e.events.Add([]byte(bytes))
	if err != nil {
		e.router.history.kernel.Fail("an event is too large: %v", err)
		return
	}
	e.sent.Write(complete)
}

// release returns a connection to the idle pool after its response, or closes it if tainted.
func (e *requestExchange) release(conn *requestConn) {
	e.conn = nil
	conn.exchange = nil
	if conn.tainted {
		conn.close()
		return
	}
	e.router.idleConns[conn.runner] = append(e.router.idleConns[conn.runner], conn)
}
