package simulation

import (
	"fmt"
	"strings"

	"beechtide.org/beechtide/internal/attempt"
)

// unknownOrBroken is the result of an attempt whose connection ended: it may have run, and a
// part of its answer may have gone out.
func unknownOrBroken(e *requestExchange) attempt.Result {
	if e.stream.Len() > 0 {
		return attempt.Interrupted
	}
	return attempt.Unknown
}

// requestChecks keeps what was seen of each request.
type requestChecks struct {
	history *requestHistory
	seen    map[string]*requestSeen
	sentUs  []int64 // when requests were sent
	extraUs []int64 // when attempts beyond the first arrived at runners
	counts  Counts
}

// requestSeen is what was seen of one try of a client.
type requestSeen struct {
	arrivals, runs int
	promised       bool // it was answered that it has not run and never will
}

func newRequestChecks(h *requestHistory) *requestChecks {
	return &requestChecks{history: h, seen: map[string]*requestSeen{}}
}

func (c *requestChecks) sent(in *incoming) {
	c.seen[in.id] = &requestSeen{}
	c.sentUs = append(c.sentUs, c.history.kernel.NowUs())
	c.counts.RequestsSent++
}

// arrived is called where a runner gets a request.
func (c *requestChecks) arrived(in *incoming) {
	seen := c.seen[in.id]
	seen.arrivals++
	if seen.arrivals > 1 {
		c.extraUs = append(c.extraUs, c.history.kernel.NowUs())
		c.counts.RequestRetries++
		c.checkBudget()
	}
}

// checkBudget holds the retries of the last window against the requests.
func (c *requestChecks) checkBudget() {
	nowUs := c.history.kernel.NowUs()
	requests, retries := 0, 0
	for _, at := range c.sentUs {
		if at > nowUs-retryWindowUs*3/2 {
			requests++
		}
	}
	for _, at := range c.extraUs {
		if at > nowUs-retryWindowUs {
			retries++
		}
	}
	if allowed := retryRatio*float64(requests) + retrySlack; float64(retries) > allowed {
		c.history.kernel.Fail("%d retries in %d us, %.1f are allowed", retries, retryWindowUs, allowed)
	}
}

// runs is called where a runner begins a request.
func (c *requestChecks) runs(in *incoming) {
	seen := c.seen[in.id]
	seen.runs++
	c.counts.RequestsRun++
	if in.client.kind != effectfulRequest {
		return
	}
	if seen.runs > 1 {
		c.history.kernel.Fail("%s runs twice", in.id)
	}
	if seen.promised {
		c.history.kernel.Fail("%s runs after it was answered that it never will", in.id)
	}
}

// answered is called where a client gets an answer, or sees its connection end.
func (c *requestChecks) answered(in *incoming, status int, body string) {
	seen, k := c.seen[in.id], c.history.kernel
	k.Log("%s is answered %d", in.id, status)
	switch {
	case status == 503 || status == 429:
		seen.promised = true
		c.counts.RequestsRejected++
		if seen.runs > 0 && in.client.kind == effectfulRequest {
			k.Fail("%s is answered %d after it has run", in.id, status)
		}
	case status == 200:
		c.counts.RequestsAnswered++
		if want := c.wholeAnswer(in); body != want {
			k.Fail("%s gets %q, not %q", in.id, body, want)
		}
	case status == 500 && body != "answer to "+in.id && in.client.kind != resumableStream:
		k.Fail("%s gets the failure of another request: %q", in.id, body)
	}
}

// wholeAnswer is the whole body of the answer to a request.
func (c *requestChecks) wholeAnswer(in *incoming) string {
	if in.client.kind != resumableStream {
		return "answer to " + in.id
	}
	var out strings.Builder
	for number := 1; number <= maxStreamEvents; number++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", number, in.id)
	}
	return out.String()
}

// overdue is called when a client's deadline has passed: its request has ended by then,
// unless its router stood still.
func (c *requestChecks) overdue(in *incoming) {
	r := in.router
	stood := r.process.frozen || r.thawedUs >= in.sentUs
	if !in.ended && !stood {
		c.history.kernel.Fail("%s has no end %d us after its deadline", in.id, requestLateUs)
	}
}

// end checks that enough happened for the checks to mean something.
func (c *requestChecks) end() {
	if c.history.kernel.failure == "" && c.counts.RequestsSent > 50 && c.counts.RequestsAnswered == 0 {
		c.history.kernel.Fail("%d requests and no answer", c.counts.RequestsSent)
	}
}
