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
	requestsFaultsUs   = 12 * Second
	requestsRecoveryUs = 5 * Second
	requestDeadlineUs  = 1_500 * Millisecond
	// requestGraceUs is the longest time after its deadline that a request may end, unless its
	// router was frozen.
	requestGraceUs         = 100 * Millisecond
	requestConnectUs       = 50 * Millisecond
	maxRequestRetryDelayUs = 100 * Millisecond // longest wait before a client retries
	maxClientTries         = 3
	runnerQueueLimit       = 3
	maxStreamEvents        = 6
	retryWindowUs          = 5 * Second
	retryRatio             = 0.2
	retrySlack             = 12
	maxRequestAttempts     = 3
	maxRequestConnectUs    = 40 * Millisecond
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
	kernel      *Kernel
	network     *Network
	routers     []*requestRouter
	runners     []*requestRunner
	checks      *requestChecks
	defects     Defects
	lastRequest int
	healed      bool
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
	h.scheduleFaults()
	h.generateRequests(k.Between(10*Millisecond, 60*Millisecond))
	k.RunUntil(requestsFaultsUs)
	h.heal()
	k.RunUntil(requestsFaultsUs + requestsRecoveryUs)
	h.checks.end()
	h.checks.counts.RequestHistories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.checks.counts}
}

// generateRequests makes clients send requests at random intervals.
func (h *requestHistory) generateRequests(meanUs int64) {
	h.kernel.After(h.kernel.Between(0, 2*meanUs), func() {
		if h.kernel.NowUs() > requestsFaultsUs+requestsRecoveryUs-2*requestDeadlineUs {
			return
		}
		h.lastRequest++
		c := &requestClient{
			history: h, name: fmt.Sprintf("q%d", h.lastRequest), kind: requestKind(h.kernel.Below(int(requestKinds))),
			maxAttempts: 1 + h.kernel.Below(maxRequestAttempts), deadlineUs: h.kernel.NowUs() + requestDeadlineUs,
		}
		c.sendTry(1)
		h.generateRequests(meanUs)
	})
}

// requestClient is a client with one request, which it may send up to maxClientTries times. Each
// try has its own id.
type requestClient struct {
	history     *requestHistory
	name        string
	kind        requestKind
	maxAttempts int // the route's maximum number of attempts
	deadlineUs  int64
}

// incoming is one try of a client, as received by its router.
type incoming struct {
	client       *requestClient
	id           string
	tryNumber    int // starting at 1
	router       *requestRouter
	sentUs       int64
	ended        bool
	disconnected bool // the client has closed its connection
}

// sendTry sends the request to a random router over a new connection.
func (c *requestClient) sendTry(number int) {
	h, k := c.history, c.history.kernel
	in := &incoming{client: c, id: fmt.Sprintf("%s-%d", c.name, number), tryNumber: number, router: h.routers[k.Below(len(h.routers))], sentUs: k.NowUs()}
	h.checks.recordSent(in)
	in.router.process.Deliver(func() { in.router.serve(in) })
	if !in.router.process.Up() {
		in.ended = true
		in.scheduleRetry()
		return
	}
	in.router.openRequests[in] = true
	if k.Chance(50) {
		k.After(k.Between(Millisecond, requestDeadlineUs), func() { in.disconnect() })
	}
	k.After(c.deadlineUs-k.NowUs()+requestGraceUs, func() { h.checks.checkDeadline(in) })
}

// disconnect closes the client's connection before the response.
func (in *incoming) disconnect() {
	if !in.ended {
		in.disconnected, in.ended = true, true
		delete(in.router.openRequests, in)
		if in.router.process.Up() {
			in.router.clientDisconnected(in)
		}
	}
}

// respond ends a try with a response, or with a closed connection if the status is 0.
func (in *incoming) respond(status int, body string) {
	if in.ended {
		return
	}
	in.ended = true
	delete(in.router.openRequests, in)
	in.client.history.checks.checkResponse(in, status, body)
	c := in.client
	notRun := status == 503 || status == 429
	retries := notRun || (status == 0 || status >= 500) && c.kind != effectfulRequest
	if retries {
		in.scheduleRetry()
	}
}

// scheduleRetry schedules the client's next try if it has tries and time left.
func (in *incoming) scheduleRetry() {
	c, k := in.client, in.client.history.kernel
	if in.tryNumber < maxClientTries && k.NowUs()+maxRequestRetryDelayUs < c.deadlineUs {
		k.After(k.Between(0, maxRequestRetryDelayUs), func() { c.sendTry(in.tryNumber + 1) })
	}
}

// retryRules returns the retry rules of the request's route.
func (c *requestClient) retryRules() attempt.Request {
	return attempt.Request{Repeatable: c.kind != effectfulRequest, MaxAttempts: c.maxAttempts}
}

// scheduleFaults schedules the faults of a history at random times.
func (h *requestHistory) scheduleFaults() {
	k := h.kernel
	for range 2 + k.Below(8) {
		k.After(k.Between(Second/2, requestsFaultsUs), func() {
			if !h.healed {
				h.injectFault(k.Between(20*Millisecond, 2*Second))
			}
		})
	}
}

func (h *requestHistory) injectFault(forUs int64) {
	k := h.kernel
	router, runner := h.routers[k.Below(len(h.routers))], h.runners[k.Below(len(h.runners))]
	switch k.Below(8) {
	case 0:
		k.Log("%s crashes", runner.addr)
		runner.crash()
		h.endFaultAfter(forUs, runner.restart)
	case 1:
		k.Log("%s freezes for %d us", runner.addr, forUs)
		runner.process.Freeze()
		h.endFaultAfter(forUs, runner.process.Thaw)
	case 2:
		k.Log("connections of %s are reset", runner.addr)
		runner.resetConnections()
	case 3:
		k.Log("%s loses answers for %d us", runner.addr, forUs)
		runner.losesResponses = true
		h.endFaultAfter(forUs, func() { runner.losesResponses = false })
	case 4:
		k.Log("%s answers twice for %d us", runner.addr, forUs)
		runner.duplicatesResponses = true
		h.endFaultAfter(forUs, func() { runner.duplicatesResponses = false })
	case 5:
		k.Log("%s freezes for %d us", router.name, forUs)
		router.process.Freeze()
		router.frozenUs = k.NowUs()
		h.endFaultAfter(forUs, func() { router.thawedUs = k.NowUs(); router.process.Thaw() })
	case 6:
		k.Log("%s is killed", router.name)
		router.kill()
		h.endFaultAfter(forUs, router.restart)
	default:
		k.Log("%s is slow for %d us", runner.addr, forUs)
		runner.slowFactor = 10
		h.endFaultAfter(forUs, func() { runner.slowFactor = 1 })
	}
}

// endFaultAfter ends a fault after forUs, unless all faults have been healed before.
func (h *requestHistory) endFaultAfter(forUs int64, end func()) {
	h.kernel.After(forUs, func() {
		if !h.healed {
			end()
		}
	})
}

func (h *requestHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed = true
	for _, r := range h.runners {
		r.losesResponses, r.duplicatesResponses, r.slowFactor = false, false, 1
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
