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
	budget    *upstream.Budget
	idle      map[*requestRunner][]*requestConn
	exchanges map[*incoming]*requestExchange
	open      map[*incoming]bool // requests whose clients wait for a response
}

func newRequestRouter(h *requestHistory, i int) *requestRouter {
	r := &requestRouter{history: h, name: fmt.Sprintf("r%d", i+1), process: NewProcess(h.kernel), open: map[*incoming]bool{}}
	r.begin()
	return r
}

func (r *requestRouter) begin() {
	r.process.Start()
	r.budget = &upstream.Budget{Ratio: retryRatio, Slack: retrySlack, WindowUs: retryWindowUs}
	r.idle, r.exchanges = map[*requestRunner][]*requestConn{}, map[*incoming]*requestExchange{}
}

// restart starts the process if it is not running.
func (r *requestRouter) restart() {
	if !r.process.Up() {
		r.begin()
	}
}

// end kills the process, which closes all its connections.
func (r *requestRouter) end() {
	r.process.Stop()
	for _, e := range r.sortedExchanges() {
		if e.conn != nil {
			e.conn.close()
		}
	}
	for _, runner := range r.history.runners {
		for _, conn := range r.idle[runner] {
			conn.close()
		}
	}
	open := r.open
	r.open = map[*incoming]bool{}
	ids := make([]*incoming, 0, len(open))
	for in := range open {
		ids = append(ids, in)
	}
	slices.SortFunc(ids, func(a, b *incoming) int { return strings.Compare(a.id, b.id) })
	for _, in := range ids {
		in.answer(0, "")
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
	router   *requestRouter
	in       *incoming
	sequence attempt.Sequence
	avoid    []*requestRunner
	endUs    int64 // by the router's clock
	conn     *requestConn
	runner   *requestRunner
	events   upstream.Events
	stream   strings.Builder // bytes sent to the client
	number   int             // of the current attempt; late events of earlier attempts are ignored by it
}

// serve starts to process a client's request.
func (r *requestRouter) serve(in *incoming) {
	if in.ended {
		return
	}
	h := r.history
	leftUs := in.client.untilUs - in.sentUs
	e := &requestExchange{router: r, in: in, endUs: r.process.NowUs() + leftUs}
	r.exchanges[in] = e
	r.budget.Request(r.process.NowUs())
	number := e.number
	r.process.After(leftUs, func() {
		if e.number >= number && !e.in.ended {
			e.timeOver()
		}
	})
	h.kernel.Note("%s takes %s", r.name, in.id)
	e.next()
}

// Spend consumes one retry from the router's budget and reports whether it was available.
func (e *requestExchange) Spend() bool {
	if e.router.history.defects.RetryWithoutBudget {
		return true
	}
	return e.router.budget.Spend(e.router.process.NowUs(), len(e.router.history.routers))
}

func (e *requestExchange) rules() attempt.Request {
	rules := e.in.client.rules()
	if e.router.history.defects.RepeatEffectful {
		rules.Repeatable = true
	}
	return rules
}

func (e *requestExchange) isOver() bool { return e.router.process.NowUs() >= e.endUs }

// next starts the next attempt.
func (e *requestExchange) next() {
	r, h := e.router, e.router.history
	if e.in.ended {
		return
	}
	runner := e.choose()
	if runner == nil || e.isOver() {
		e.finish(e.endStatus())
		return
	}
	e.number++
	number := e.number
	e.runner = runner
	e.sequence.Begin()
	if idle := r.idle[runner]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		r.idle[runner] = idle[:len(idle)-1]
		if conn.reusable() {
			e.send(conn)
			return
		}
		conn.close()
	}
	r.process.After(h.kernel.Between(200, requestPausesBelow), func() {
		if e.number != number || e.in.ended {
			return
		}
		conn := runner.accept(e)
		if conn == nil {
			e.failed(attempt.NotSent)
			return
		}
		e.send(conn)
	})
}

// choose returns a random runner that is not to be avoided for this request, or nil.
func (e *requestExchange) choose() *requestRunner {
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
	conn.exchange, conn.number = e, e.number
	conn.request(e.in, e.lastEvent())
}

func (e *requestExchange) lastEvent() string {
	if e.router.history.defects.ResumeFromStart {
		return ""
	}
	return e.events.LastID
}

// failed handles a failed attempt: it starts a retry or ends the request.
func (e *requestExchange) failed(result attempt.Result) {
	if e.in.ended {
		return
	}
	if e.conn != nil && result != attempt.NotExecuted {
		e.conn.close()
	}
	e.conn = nil
	e.events.Cut()
	next := e.sequence.Failed(e.rules(), result, e.isOver(), e)
	if next.AvoidRunner {
		e.avoid = append(e.avoid, e.runner)
	}
	if !next.Retry {
		e.finish(e.endStatus())
		return
	}
	e.next()
}

func (e *requestExchange) endStatus() int {
	if e.router.history.defects.PromiseAfterRun {
		return 503
	}
	return e.sequence.EndStatus(e.isOver())
}

// timeOver ends a request whose deadline has passed, whatever its state.
func (e *requestExchange) timeOver() {
	e.number++
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
	if e.stream.Len() > 0 {
		status = 0
	}
	e.in.answer(status, "")
}

// clientLeft cancels the attempt of a client that has disconnected.
func (r *requestRouter) clientLeft(in *incoming) {
	r.process.Deliver(func() {
		e := r.exchanges[in]
		if e == nil {
			return
		}
		delete(r.exchanges, in)
		e.number++
		if e.conn != nil {
			e.conn.close()
		}
	})
}

// received handles a response on the connection of the current attempt.
func (e *requestExchange) received(conn *requestConn, a runnerAnswer) {
	if a.id != e.in.id && !e.router.history.defects.MatchByOrder {
		conn.tainted = true // a late response to an earlier request is ignored
		return
	}
	switch {
	case a.event != "":
		e.receivedEvent(a.event)
	case a.notRun:
		e.release(conn)
		e.failed(attempt.NotExecuted)
	case a.status >= 500 && e.sequence.MayRepeat(e.rules()):
		e.failed(attempt.Unknown)
	default:
		e.release(conn)
		delete(e.router.exchanges, e.in)
		e.in.answer(a.status, e.stream.String()+a.body)
	}
}

// receivedEvent forwards complete events to the client.
func (e *requestExchange) receivedEvent(bytes string) {
	whole := e.events.Add([]byte(bytes))
	e.stream.Write(whole)
}

// release returns a connection to the idle pool after its response, or closes it if tainted.
func (e *requestExchange) release(conn *requestConn) {
	e.conn = nil
	conn.exchange = nil
	if conn.tainted {
		conn.close()
		return
	}
	e.router.idle[conn.runner] = append(e.router.idle[conn.runner], conn)
}
