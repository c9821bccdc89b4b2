package simulation

import (
	"fmt"
	"strconv"
)

// runnerResponse is a runner's response, or an event of a streamed response.
type runnerResponse struct {
	id     string // of the request
	status int
	notRun bool
	body   string
	event  string // bytes of a stream, possibly an incomplete event
}

// requestRunner executes requests, one at a time per connection.
type requestRunner struct {
	history *requestHistory
	addr    string
	process *Process

	losesResponses, duplicatesResponses bool
	slowFactor                          int64

	// The following fields are lost when the process restarts.
	conns   []*requestConn
	running int
	waiting int
}

// requestConn is a connection from a router to a runner. Messages arrive in order, or the
// connection ends. When one side closes it, the other notices after a delay.
type requestConn struct {
	runner          *requestRunner
	router          *requestRouter
	exchange        *requestExchange // that waits for a response on it
	attemptNumber   int              // attempt number of the exchange
	open            bool             // state at the router
	serving         bool             // state at the runner
	tainted         bool             // it carried a response that matched no current request
	unexpectedBytes bool             // bytes arrived while it was idle
	lastArrivalUs   int64            // arrival time of the latest response
}

func newRequestRunner(h *requestHistory, i int) *requestRunner {
	r := &requestRunner{history: h, addr: fmt.Sprintf("s%d", i+1), process: NewProcess(h.kernel), slowFactor: 1}
	r.start()
	return r
}

func (r *requestRunner) start() {
	r.process.Start()
	r.conns, r.running, r.waiting = nil, 0, 0
}

// restart starts the process if it is not running.
func (r *requestRunner) restart() {
	if !r.process.Up() {
		r.start()
	}
}

// crash simulates a crash: running requests end and all connections are reset.
func (r *requestRunner) crash() {
	r.process.Stop()
	r.resetConnections()
}

func (r *requestRunner) resetConnections() {
	for _, conn := range r.conns {
		conn.serving = false
		r.history.kernel.After(r.history.kernel.Between(200, 5*Millisecond), conn.reset)
	}
	r.conns = nil
}

// accept opens a connection. The operating system accepts it even if the process is frozen.
func (r *requestRunner) accept(e *requestExchange) *requestConn {
	if !r.process.Up() {
		return nil
	}
	conn := &requestConn{runner: r, router: e.router, open: true, serving: true}
	r.conns = append(r.conns, conn)
	return conn
}

// reusable reports whether an idle connection is open and has received no unexpected bytes.
func (c *requestConn) reusable() bool { return c.open && !c.unexpectedBytes && !c.tainted }

// close closes the connection at the router. The runner notices after a delay and then drops
// requests that it has not started.
func (c *requestConn) close() {
	c.open, c.exchange = false, nil
	k := c.router.history.kernel
	k.After(k.Between(200, 5*Millisecond), func() { c.serving = false })
}

// reset ends the connection at the router and fails the attempt that uses it.
func (c *requestConn) reset() {
	if !c.open {
		return
	}
	c.open = false
	e, number := c.exchange, c.attemptNumber
	c.exchange = nil
	if e == nil {
		return
	}
	e.router.process.Deliver(func() {
		if e.attemptNumber == number && e.conn == c {
			e.handleFailure(unknownOrBroken(e))
		}
	})
}

// sendRequest delivers a request to the runner after a network delay.
func (c *requestConn) sendRequest(in *incoming, lastEvent string) {
	k := c.router.history.kernel
	k.After(k.Between(200, 5*Millisecond), func() {
		if !c.runner.process.Up() || !c.serving {
			c.reset()
			return
		}
		c.runner.process.Deliver(func() { c.runner.receive(c, in, lastEvent) })
	})
}

// receive queues a request for execution, or rejects it if the queue is full.
func (r *requestRunner) receive(c *requestConn, in *incoming, lastEvent string) {
	if !c.serving {
		return
	}
	r.history.checks.recordArrival(in)
	if r.waiting >= runnerQueueLimit {
		r.respond(c, runnerResponse{id: in.id, status: 503, notRun: true})
		return
	}
	r.waiting++
	r.process.After(r.history.kernel.Between(0, 30*Millisecond)*r.slowFactor, func() {
		r.waiting--
		if !c.serving {
			return // the connection has ended
		}
		r.history.checks.recordStart(in)
		r.run(c, in, lastEvent)
	})
}

func (r *requestRunner) run(c *requestConn, in *incoming, lastEvent string) {
	k := r.history.kernel
	if in.client.kind == resumableStream {
		first := 1
		if lastEvent != "" {
			last, _ := strconv.Atoi(lastEvent)
			first = last + 1
		}
		r.streamFrom(c, in, first)
		return
	}
	r.process.After(k.Between(Millisecond, 120*Millisecond)*r.slowFactor, func() {
		status := 200
		if k.Chance(30) {
			status = 500
		}
		r.respond(c, runnerResponse{id: in.id, status: status, body: "answer to " + in.id})
	})
}

// streamFrom sends the events of a stream from the given number on, and then the end of the
// response. With a chance of 40 in 1000 per event it breaks off in the middle of the event.
func (r *requestRunner) streamFrom(c *requestConn, in *incoming, number int) {
	k := r.history.kernel
	r.process.After(k.Between(Millisecond, 30*Millisecond)*r.slowFactor, func() {
		switch {
		case !c.serving:
		case number > maxStreamEvents:
			r.respond(c, runnerResponse{id: in.id, status: 200})
		case k.Chance(40):
			r.respond(c, runnerResponse{id: in.id, event: fmt.Sprintf("id: %d\nda", number)})
			c.serving = false
			k.After(6*Millisecond, c.reset)
		default:
			r.respond(c, runnerResponse{id: in.id, event: fmt.Sprintf("id: %d\ndata: %s\n\n", number, in.id)})
			r.streamFrom(c, in, number+1)
		}
	})
}

// respond sends a response. Under a fault it is lost with its connection, or is delivered a
// second time later, when the router may expect the response to another request.
func (r *requestRunner) respond(c *requestConn, a runnerResponse) {
	k := r.history.kernel
	if r.losesResponses && k.Chance(400) {
		c.serving = false
		k.After(k.Between(Millisecond, 5*Millisecond), c.reset)
		return
	}
	c.deliver(a, k.Between(200, 4*Millisecond))
	if r.duplicatesResponses && a.event == "" && k.Chance(300) {
		c.deliver(a, k.Between(Millisecond, 60*Millisecond))
	}
}

// deliver delivers a response to the router, in order with earlier ones.
func (c *requestConn) deliver(a runnerResponse, delayUs int64) {
	k := c.router.history.kernel
	c.lastArrivalUs = max(c.lastArrivalUs, k.NowUs()+delayUs)
	k.After(c.lastArrivalUs-k.NowUs(), func() {
		if !c.open {
			return
		}
		e, number := c.exchange, c.attemptNumber
		if e == nil {
			c.unexpectedBytes = true
			return
		}
		c.router.process.Deliver(func() {
			if e.attemptNumber == number && e.conn == c && !e.in.ended {
				e.handleResponse(c, a)
			}
		})
	})
}
