package traffic

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result holds the measurements of one simulation run.
type Result struct {
	Arrivals        []int // requests that were sent to each runner
	Queued          int   // requests that waited in a router
	DecidedTwice    int   // requests with two decisions; must be 0
	PrefilledTokens int   // prompt tokens prefilled by runners
	Classes         []ClassResult
	Cut             CutResult
}

// ClassResult counts the outcomes of the requests of one class. A request whose first token
// is not generated before the run ends counts only in Sent, unless it was rejected.
type ClassResult struct {
	Name           string
	Sent, Rejected int
	OnTime         int
	FirstTokenUs   []int64 // from arrival to first token
	Paused         int     // responses with a pause of maxPauseUs between events
}

// maxPauseUs is the longest acceptable time for which a runner prefills prompts without a
// gap while a response is decoded.
const maxPauseUs = 600_000

func (c *ClassResult) recordEnd(longestPauseUs int64) {
	if longestPauseUs > maxPauseUs {
		c.Paused++
	}
}

func newResult(options Options) Result {
	result := Result{}
	for _, c := range options.Classes {
		result.Classes = append(result.Classes, ClassResult{Name: c.Name})
	}
	return result
}

func (c *ClassResult) recordFirstToken(us int64, class Class) {
	c.FirstTokenUs = append(c.FirstTokenUs, us)
	if us <= class.FirstTokenTarget.Microseconds() {
		c.OnTime++
	}
}

// OnTimeShare returns the share of the requests whose first token was on time.
func (c *ClassResult) OnTimeShare() float64 { return float64(c.OnTime) / float64(max(c.Sent, 1)) }

// Quantile returns the quantile q of the time to the first token; 0 without any tokens.
func (c *ClassResult) Quantile(q float64) time.Duration {
	if len(c.FirstTokenUs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.FirstTokenUs))
	return time.Duration(sorted[int(q*float64(len(sorted)-1))]) * time.Microsecond
}

// Imbalance returns the number of requests at the busiest runner divided by the mean.
func (r *Result) Imbalance() float64 {
	total := 0
	for _, n := range r.Arrivals {
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(r.Arrivals)) * float64(len(r.Arrivals)) / float64(total)
}

// Figures is the machine-readable form of a result.
type Figures struct {
	Imbalance       float64        `json:"imbalance"` // requests at the busiest runner divided by the mean
	Queued          int            `json:"queued"`
	PrefilledTokens int            `json:"tokensRead"`
	Classes         []ClassFigures `json:"classes"`
}

// ClassFigures are the figures of one class. P50Ms, P95Ms and P99Ms are quantiles of the
// time to the first token.
type ClassFigures struct {
	Name     string  `json:"name"`
	Sent     int     `json:"sent"`
	OnTime   int     `json:"inAim"`
	Paused   int     `json:"paused"`
	Rejected int     `json:"rejected"`
	P50Ms    float64 `json:"p50Ms"`
	P95Ms    float64 `json:"p95Ms"`
	P99Ms    float64 `json:"p99Ms"`
}

// Figures returns the machine-readable form of the result.
func (r *Result) Figures() Figures {
	f := Figures{Imbalance: r.Imbalance(), Queued: r.Queued, PrefilledTokens: r.PrefilledTokens}
	for i := range r.Classes {
		c := &r.Classes[i]
		f.Classes = append(f.Classes, ClassFigures{
			Name: c.Name, Sent: c.Sent, OnTime: c.OnTime, Paused: c.Paused, Rejected: c.Rejected,
			P50Ms: milliseconds(c.Quantile(0.5)), P95Ms: milliseconds(c.Quantile(0.95)), P99Ms: milliseconds(c.Quantile(0.99)),
		})
	}
	return f
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// String returns a table of the figures.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "busiest runner %.2f of the mean; %d queued; %d tokens read\n", r.Imbalance(), r.Queued, r.PrefilledTokens)
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(&b, "%-14s %6d sent  %6d in aim (%.3f)  %5d paused  %5d rejected  first token %v p50, %v p95, %v p99\n", c.Name, c.Sent, c.OnTime, c.OnTimeShare(), c.Paused, c.Rejected, roundToMs(c.Quantile(0.5)), roundToMs(c.Quantile(0.95)), roundToMs(c.Quantile(0.99)))
	}
	if r.Cut.Sent > 0 {
		fmt.Fprintf(&b, "during the partition %.3f of %d requests in aim, after it %.3f of %d\n", r.Cut.OnTimeShare(), r.Cut.Sent, r.Cut.AfterOnTimeShare(), r.Cut.AfterSent)
	}
	return b.String()
}

func roundToMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
