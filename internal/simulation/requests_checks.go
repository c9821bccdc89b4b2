package simulation

import (
	"fmt"
	"strings"

	"beechtide.org/beechtide/internal/attempt"
)

// unknownOrBroken returns the result of an attempt whose connection ended: the request may have
// run, and part of its response may have been sent to the client.
func unknownOrBroken(e *requestExchange) attempt.Result {
	if e.sent.Len() > 0 {
		return attempt.Interrupted
	}
	return attempt.Unknown
}

// requestChecks records the events of each request and checks the invariants.
type requestChecks struct {
	history   *requestHistory
	records   map[string]*requestRecord
	sentUs    []int64 // send times of requests
	retriesUs []int64 // arrival times at runners of attempts after the first
	counts    Counts
}

// requestRecord records the events of one try of a client.
type requestRecord struct {
	arrivals, runs int
	notRunReported bool // the client received 503 or 429: it has not run and never will
}

func newRequestChecks(h *requestHistory) *requestChecks {
	return &requestChecks{history: h, records: map[string]*requestRecord{}}
}

func (c *requestChecks) recordSent(in *incoming) {
	c.records[in.id] = &requestRecord{}
	c.sentUs = append(c.sentUs, c.history.kernel.NowUs())
	c.counts.RequestsSent++
}

// recordArrival is called when a runner receives a request.
func (c *requestChecks) recordArrival(in *incoming) {
	seen := c.records[in.id]
	seen.arrivals++
	if seen.arrivals > 1 {
		c.retriesUs = append(c.retriesUs, c.history.kernel.NowUs())
		c.counts.RequestRetries++
		c.checkBudget()
	}
}

// checkBudget compares the retries of the last window with the limit that the requests allow.
func (c *requestChecks) checkBudget() {
	nowUs := c.history.kernel.NowUs()
	requests, retries := 0, 0
	for _, at := range c.sentUs {
		if at > nowUs-retryWindowUs*3/2 {
			requests++
		}
	}
	for _, at := range c.retriesUs {
		if at > nowUs-retryWindowUs {
			retries++
		}
	}
	if allowed := retryRatio*float64(requests) + retrySlack; float64(retries) > allowed {
		c.history.kernel.Fail("%d retries in %d us, %.1f are allowed", retries, retryWindowUs, allowed)
	}
}

// recordStart is called when a runner starts to execute a request.
func (c *requestChecks) recordStart(in *incoming) {
	seen := c.records[in.id]
	seen.runs++
	c.counts.RequestsRun++
	if in.client.kind != effectfulRequest {
		return
	}
	if seen.runs > 1 {
		c.history.kernel.Fail("%s runs twice", in.id)
	}
	if seen.notRunReported {
		c.history.kernel.Fail("%s runs after it was answered that it never will", in.id)
	}
}

// checkResponse is called when a client receives a response or its connection ends.
func (c *requestChecks) checkResponse(in *incoming, status int, body string) {
	seen, k := c.records[in.id], c.history.kernel
	k.Log("%s is answered %d", in.id, status)
	switch {
	case status == 503 || status == 429:
		seen.notRunReported = true
		c.counts.RequestsRejected++
		if seen.runs > 0 && in.client.kind == effectfulRequest {
			k.Fail("%s is answered %d after it has run", in.id, status)
		}
	case status == 200:
		c.counts.RequestsAnswered++
		if want := c.expectedBody(in); body != want {
			k.Fail("%s gets %q, not %q", in.id, body, want)
		}
	case status == 500 && body != "answer to "+in.id && in.client.kind != resumableStream:
		k.Fail("%s gets the failure of another request: %q", in.id, body)
	}
}

// expectedBody returns the complete response body of a request.
func (c *requestChecks) expectedBody(in *incoming) string {
	if in.client.kind != resumableStream {
		return "answer to " + in.id
	}
	var out strings.Builder
	for number := 1; number <= maxStreamEvents; number++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", number, in.id)
	}
	return out.String()
}

// checkDeadline is called requestGraceUs after a client's deadline and checks that the request has
// ended by then, unless its router was frozen in between.
func (c *requestChecks) checkDeadline(in *incoming) {
	r := in.router
	stood := r.process.frozen || r.thawedUs >= in.sentUs
	if !in.ended && !stood {
		c.history.kernel.Fail("%s has no end %d us after its deadline", in.id, requestGraceUs)
	}
}

// end checks that requests were answered, without which the other checks would be vacuous.
func (c *requestChecks) end() {
	if c.history.kernel.failure == "" && c.counts.RequestsSent > 50 && c.counts.RequestsAnswered == 0 {
		c.history.kernel.Fail("%d requests and no answer", c.counts.RequestsSent)
	}
}
