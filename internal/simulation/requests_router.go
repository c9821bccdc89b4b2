package simulation

import (
	"fmt"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/attempt"
	"beechtide.org/beechtide/internal/upstream"
)

// requestRouter drives the attempts of its requests as the role does.
type requestRouter struct {
	history  *requestHistory
	name     string
	process  *Process
	frozenUs int64 // when it last froze, 0 for never
	thawedUs int64

	// What follows is gone with each life of the process.
	budget    *upstream.RetryBudget
	idle      map[*requestRunner][]*requestConn
	exchanges map[*incoming]*requestExchange
	open      map[*incoming]bool // whose clients wait
}

func newRequestRouter(h *requestHistory, i int) *requestRouter {
	r := &requestRouter{history: h, name: fmt.Sprintf("r%d", i+1), process: NewProcess(h.kernel), open: map[*incoming]bool{}}
	r.begin()
	return r
}

func (r *requestRouter) begin() {
	r.process.Start()
	r.budget = &upstream.RetryBudget{Ratio: retryRatio, Slack: retrySlack, WindowUs: retryWindowUs}
	r.idle, r.exchanges = map[*requestRunner][]*requestConn{}, map[*incoming]*requestExchange{}
}

// restart begins another life where there is none.
func (r *requestRouter) restart() {
	if !r.process.Up() {
		r.begin()
	}
}

// end kills the process: all of its connections end.
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

// requestExchange is one request at its router.
type requestExchange struct {
	router   *requestRouter
	in       *incoming
	sequence attempt.Sequence
	avoid    []*requestRunner
	endUs    int64 // by the router's clock
	conn     *requestConn
	runner   *requestRunner
	events   upstream.EventSplitter
	stream   strings.Builder // what the client has
	number   int             // of the present attempt, so that late events of another one are told apart
}

// serve takes a request of a client.
func (r *requestRouter) serve(in *incoming) {
	if in.ended {
		return
	}
	h := r.history
	leftUs := in.client.untilUs - in.sentUs
	e := &requestExchange{router: r, in: in, endUs: r.process.NowUs() + leftUs}
	r.exchanges[in] = e
	r.budget.RecordRequest(r.process.NowUs())
	number := e.number
	r.process.After(leftUs, func() {
		if e.number >= number && !e.in.ended {
			e.timeOver()
		}
	})
	h.kernel.Log("%s takes %s", r.name, in.id)
	e.next()
}

// Spend takes a retry from the router's budget.
func (e *requestExchange) Spend() bool {
	if e.router.history.defects.RetryWithoutBudget {
		return true
	}
	return e.router.budget.Spend(e.router.process.NowUs(), len(e.router.history.routers))
}

func (e *requestExchange) rules() attempt.Request {
	rules := e.in.client.rules()
	if e.router.history.defects.RetryNonIdempotent {
		rules.Repeatable = true
	}
	return rules
}

func (e *requestExchange) isOver() bool { return e.router.process.NowUs() >= e.endUs }

// next makes the next attempt.
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

// choose is the next runner: one that has not failed this request, where there is one.
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

// failed decides what follows an attempt that has failed.
func (e *requestExchange) failed(result attempt.Result) {
	if e.in.ended {
		return
	}
	if e.conn != nil && result != attempt.NotExecuted {
		e.conn.close()
	}
	e.conn = nil
	e.events.DiscardIncomplete()
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
	if e.router.history.defects.ReportNotRunAfterRun {
		return 503
	}
	return e.sequence.EndStatus(e.isOver())
}

// timeOver ends a request whose time is over, wherever it is.
func (e *requestExchange) timeOver() {
	e.number++
	if e.conn != nil {
		e.conn.close()
		e.conn = nil
		e.sequence.Failed(attempt.Request{}, attempt.Unknown, true, e)
	}
	e.finish(e.endStatus())
}

// finish ends a request with a status of the router's own; one whose answer has begun ends
// with its connection.
func (e *requestExchange) finish(status int) {
	delete(e.router.exchanges, e.in)
	if e.stream.Len() > 0 {
		status = 0
	}
	e.in.answer(status, "")
}

// clientLeft ends the attempt of a client that has left.
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

// received handles an answer on the connection of the present attempt.
func (e *requestExchange) received(conn *requestConn, a runnerAnswer) {
	if a.id != e.in.id && !e.router.history.defects.MatchResponsesByOrder {
		conn.tainted = true // a late answer to an earlier request: skipped
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

// receivedEvent passes on what makes whole events.
func (e *requestExchange) receivedEvent(bytes string) {
	whole := e.events.Add([]byte(bytes))
	e.stream.Write(whole)
}

// release puts a connection back, as nothing more is due on it.
func (e *requestExchange) release(conn *requestConn) {
	e.conn = nil
	conn.exchange = nil
	if conn.tainted {
		conn.close()
		return
	}
	e.router.idle[conn.runner] = append(e.router.idle[conn.runner], conn)
}
