package simulation

import (
	"fmt"
	"strconv"
)

// runnerAnswer is an answer of a runner, or an event of a streamed one.
type runnerAnswer struct {
	id     string // of the request that it belongs to
	status int
	notRun bool
	body   string
	event  string // bytes of a stream, perhaps a part of an event
}

// requestRunner runs requests, one on a connection at a time.
type requestRunner struct {
	history *requestHistory
	addr    string
	process *Process

	losesAnswers, answersTwice bool
	slow                       int64

	// What follows is gone with each life of the process.
	conns   []*requestConn
	running int
	waiting int
}

// requestConn is a connection from a router to a runner. What either end sends arrives in
// order, or the connection ends; the end of one is seen by the other after a while.
type requestConn struct {
	runner   *requestRunner
	router   *requestRouter
	exchange *requestExchange // that waits for an answer on it
	number   int              // the attempt of the exchange
	open     bool             // as the router sees it
	serving  bool             // as the runner sees it
	tainted  bool             // it has carried bytes that belong to no request
	arrived  bool             // bytes have arrived that nobody waits for
	lastUs   int64            // when the newest answer arrives
}

func newRequestRunner(h *requestHistory, i int) *requestRunner {
	r := &requestRunner{history: h, addr: fmt.Sprintf("s%d", i+1), process: NewProcess(h.kernel), slow: 1}
	r.begin()
	return r
}

func (r *requestRunner) begin() {
	r.process.Start()
	r.conns, r.running, r.waiting = nil, 0, 0
}

// restart begins another life where there is none.
func (r *requestRunner) restart() {
	if !r.process.Up() {
		r.begin()
	}
}

// end is a crash: what runs ends, and all connections are reset.
func (r *requestRunner) end() {
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

// accept opens a connection, which the machine does without its process.
func (r *requestRunner) accept(e *requestExchange) *requestConn {
	if !r.process.Up() {
		return nil
	}
	conn := &requestConn{runner: r, router: e.router, open: true, serving: true}
	r.conns = append(r.conns, conn)
	return conn
}

// reusable reports whether an idle connection is open and nothing has arrived on it.
func (c *requestConn) reusable() bool { return c.open && !c.arrived && !c.tainted }

// close ends the connection at the router; the runner sees it a little later, and drops what
// it has not begun.
func (c *requestConn) close() {
	c.open, c.exchange = false, nil
	k := c.router.history.kernel
	k.After(k.Between(200, 5*Millisecond), func() { c.serving = false })
}

// reset is the end of the connection as the router sees it.
func (c *requestConn) reset() {
	if !c.open {
		return
	}
	c.open = false
	e, number := c.exchange, c.number
	c.exchange = nil
	if e == nil {
		return
	}
	e.router.process.Deliver(func() {
		if e.number == number && e.conn == c {
			e.failed(unknownOrBroken(e))
		}
	})
}

// request carries a request to the runner.
func (c *requestConn) request(in *incoming, lastEvent string) {
	k := c.router.history.kernel
	k.After(k.Between(200, 5*Millisecond), func() {
		if !c.runner.process.Up() || !c.serving {
			c.reset()
			return
		}
		c.runner.process.Deliver(func() { c.runner.receive(c, in, lastEvent) })
	})
}

// receive takes a request: it runs, waits for a slot, or is turned away.
func (r *requestRunner) receive(c *requestConn, in *incoming, lastEvent string) {
	if !c.serving {
		return
	}
	r.history.checks.arrived(in)
	if r.waiting >= runnerQueue {
		r.respond(c, runnerAnswer{id: in.id, status: 503, notRun: true})
		return
	}
	r.waiting++
	r.process.After(r.history.kernel.Between(0, 30*Millisecond)*r.slow, func() {
		r.waiting--
		if !c.serving {
			return // its connection has ended
		}
		r.history.checks.runs(in)
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
	r.process.After(k.Between(Millisecond, 120*Millisecond)*r.slow, func() {
		status := 200
		if k.Chance(30) {
			status = 500
		}
		r.respond(c, runnerAnswer{id: in.id, status: status, body: "answer to " + in.id})
	})
}

// streamFrom sends the events of a stream from one on, and its end. At times it breaks off, in
// the middle of an event.
func (r *requestRunner) streamFrom(c *requestConn, in *incoming, number int) {
	k := r.history.kernel
	r.process.After(k.Between(Millisecond, 30*Millisecond)*r.slow, func() {
		switch {
		case !c.serving:
		case number > maxStreamEvents:
			r.respond(c, runnerAnswer{id: in.id, status: 200})
		case k.Chance(40):
			r.respond(c, runnerAnswer{id: in.id, event: fmt.Sprintf("id: %d\nda", number)})
			c.serving = false
			k.After(6*Millisecond, c.reset)
		default:
			r.respond(c, runnerAnswer{id: in.id, event: fmt.Sprintf("id: %d\ndata: %s\n\n", number, in.id)})
			r.streamFrom(c, in, number+1)
		}
	})
}

// respond sends an answer. In trouble it is lost with its connection, or comes a second time
// later, in the place of another one.
func (r *requestRunner) respond(c *requestConn, a runnerAnswer) {
	k := r.history.kernel
	if r.losesAnswers && k.Chance(400) {
		c.serving = false
		k.After(k.Between(Millisecond, 5*Millisecond), c.reset)
		return
	}
	c.deliver(a, k.Between(200, 4*Millisecond))
	if r.answersTwice && a.event == "" && k.Chance(300) {
		c.deliver(a, k.Between(Millisecond, 60*Millisecond))
	}
}

// deliver brings an answer to the router, after those before it.
func (c *requestConn) deliver(a runnerAnswer, delayUs int64) {
	k := c.router.history.kernel
	c.lastUs = max(c.lastUs, k.NowUs()+delayUs)
	k.After(c.lastUs-k.NowUs(), func() {
		if !c.open {
			return
		}
		e, number := c.exchange, c.number
		if e == nil {
			c.arrived = true
			return
		}
		c.router.process.Deliver(func() {
			if e.number == number && e.conn == c && !e.in.ended {
				e.received(c, a)
			}
		})
	})
}
