// Model "requests": a request passes through a router, which makes attempts at runners and
// returns the response. The retry decisions (attempt.Sequence), the retry budget and the
// splitting of streams into events are the production code; connections, runners and clients
// are modelled.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/attempt"
)

// Sizes and durations of a history of requests.
const (
	requestsFaultsUs  = 12 * Second
	requestsCalmUs    = 5 * Second
	requestDeadlineUs = 1_500 * Millisecond
	// requestLateUs is the longest time after its deadline that a request may end, unless its
	// router was frozen.
	requestLateUs      = 100 * Millisecond
	requestConnectUs   = 50 * Millisecond
	requestRetryGapUs  = 100 * Millisecond // longest wait before a client retries
	clientTries        = 3
	runnerQueue        = 3
	maxStreamEvents    = 6
	retryWindowUs      = 5 * Second
	retryRatio         = 0.2
	retrySlack         = 12
	mostRequestTries   = 3
	requestPausesBelow = 40 * Millisecond
)

// requestKind determines whether and how a route's requests may be retried.
type requestKind int

const (
	idempotentRequest requestKind = iota
	effectfulRequest
	resumableStream
	requestKinds
)

// requestHistory is the state of one simulated history of requests.
type requestHistory struct {
	kernel  *Kernel
	network *Network
	routers []*requestRouter
	runners []*requestRunner
	checks  *requestChecks
	defects Defects
	serial  int
	healed  bool
}

// PlayRequests simulates the request history of a seed.
func PlayRequests(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	h := &requestHistory{kernel: k, network: NewNetwork(k), defects: options.Defects}
	h.checks = newRequestChecks(h)
	for i := range 2 + k.Below(3) {
		h.routers = append(h.routers, newRequestRouter(h, i))
	}
	for i := range 2 + k.Below(4) {
		h.runners = append(h.runners, newRequestRunner(h, i))
	}
	h.plan()
	h.arrive(k.Between(10*Millisecond, 60*Millisecond))
	k.RunUntil(requestsFaultsUs)
	h.heal()
	k.RunUntil(requestsFaultsUs + requestsCalmUs)
	h.checks.end()
	h.checks.counts.RequestHistories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.checks.counts}
}

// arrive makes clients send requests at random intervals.
func (h *requestHistory) arrive(meanUs int64) {
	h.kernel.After(h.kernel.Between(0, 2*meanUs), func() {
		if h.kernel.NowUs() > requestsFaultsUs+requestsCalmUs-2*requestDeadlineUs {
			return
		}
		h.serial++
		c := &requestClient{
			history: h, name: fmt.Sprintf("q%d", h.serial), kind: requestKind(h.kernel.Below(int(requestKinds))),
			tries: 1 + h.kernel.Below(mostRequestTries), untilUs: h.kernel.NowUs() + requestDeadlineUs,
		}
		c.try(1)
		h.arrive(meanUs)
	})
}

// requestClient is a client with one request, which it may send up to clientTries times. Each
// try has its own id.
type requestClient struct {
	history *requestHistory
	name    string
	kind    requestKind
	tries   int // the route's maximum number of attempts
	untilUs int64
}

// incoming is one try of a client, as received by its router.
type incoming struct {
	client *requestClient
	id     string
	number int // of the try
	router *requestRouter
	sentUs int64
	ended  bool
	left   bool // the client has closed its connection
}

// try sends the request to a random router over a new connection.
func (c *requestClient) try(number int) {
	h, k := c.history, c.history.kernel
	in := &incoming{client: c, id: fmt.Sprintf("%s-%d", c.name, number), number: number, router: h.routers[k.Below(len(h.routers))], sentUs: k.NowUs()}
	h.checks.sent(in)
	in.router.process.Deliver(func() { in.router.serve(in) })
	if !in.router.process.Up() {
		in.ended = true
		in.tryAgain()
		return
	}
	in.router.open[in] = true
	if k.Chance(50) {
		k.After(k.Between(Millisecond, requestDeadlineUs), func() { in.leave() })
	}
	k.After(c.untilUs-k.NowUs()+requestLateUs, func() { h.checks.overdue(in) })
}

// leave closes the client's connection before the response.
func (in *incoming) leave() {
	if !in.ended {
		in.left, in.ended = true, true
		delete(in.router.open, in)
		if in.router.process.Up() {
			in.router.clientLeft(in)
		}
	}
}

// answer ends a try with a response, or with a closed connection if the status is 0.
func (in *incoming) answer(status int, body string) {
	if in.ended {
		return
	}
	in.ended = true
	delete(in.router.open, in)
	in.client.history.checks.answered(in, status, body)
	c := in.client
	promised := status == 503 || status == 429
	repeats := promised || (status == 0 || status >= 500) && c.kind != effectfulRequest
	if repeats {
		in.tryAgain()
	}
}

// tryAgain schedules the client's next try if it has tries and time left.
func (in *incoming) tryAgain() {
	c, k := in.client, in.client.history.kernel
	if in.number < clientTries && k.NowUs()+requestRetryGapUs < c.untilUs {
		k.After(k.Between(0, requestRetryGapUs), func() { c.try(in.number + 1) })
	}
}

// rules returns the retry rules of the request's route.
func (c *requestClient) rules() attempt.Request {
	return attempt.Request{Repeatable: c.kind != effectfulRequest, MaxAttempts: c.tries}
}

// plan schedules the faults of a history at random times.
func (h *requestHistory) plan() {
	k := h.kernel
	for range 2 + k.Below(8) {
		k.After(k.Between(Second/2, requestsFaultsUs), func() {
			if !h.healed {
				h.fault(k.Between(20*Millisecond, 2*Second))
			}
		})
	}
}

func (h *requestHistory) fault(forUs int64) {
	k := h.kernel
	router, runner := h.routers[k.Below(len(h.routers))], h.runners[k.Below(len(h.runners))]
	switch k.Below(8) {
	case 0:
		k.Note("%s crashes", runner.addr)
		runner.end()
		h.later(forUs, runner.restart)
	case 1:
		k.Note("%s freezes for %d us", runner.addr, forUs)
		runner.process.Freeze()
		h.later(forUs, runner.process.Thaw)
	case 2:
		k.Note("connections of %s are reset", runner.addr)
		runner.resetConnections()
	case 3:
		k.Note("%s loses answers for %d us", runner.addr, forUs)
		runner.losesAnswers = true
		h.later(forUs, func() { runner.losesAnswers = false })
	case 4:
		k.Note("%s answers twice for %d us", runner.addr, forUs)
		runner.answersTwice = true
		h.later(forUs, func() { runner.answersTwice = false })
	case 5:
		k.Note("%s freezes for %d us", router.name, forUs)
		router.process.Freeze()
		router.frozenUs = k.NowUs()
		h.later(forUs, func() { router.thawedUs = k.NowUs(); router.process.Thaw() })
	case 6:
		k.Note("%s is killed", router.name)
		router.end()
		h.later(forUs, router.restart)
	default:
		k.Note("%s is slow for %d us", runner.addr, forUs)
		runner.slow = 10
		h.later(forUs, func() { runner.slow = 1 })
	}
}

// later ends a fault after forUs, unless all faults have been healed before.
func (h *requestHistory) later(forUs int64, end func()) {
	h.kernel.After(forUs, func() {
		if !h.healed {
			end()
		}
	})
}

func (h *requestHistory) heal() {
	h.kernel.Note("everything heals")
	h.healed = true
	for _, r := range h.runners {
		r.losesAnswers, r.answersTwice, r.slow = false, false, 1
		r.process.Thaw()
		r.restart()
	}
	for _, r := range h.routers {
		if r.process.frozen {
			r.thawedUs = h.kernel.NowUs()
		}
		r.process.Thaw()
		r.restart()
	}
}
