package traffic

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is what one play measured.
type Result struct {
	Arrivals     []int // requests that were sent to each runner
	Queued       int   // requests that waited in a router
	DecidedTwice int   // requests that got two decisions, which must not be
	TokensRead   int   // prompt tokens that runners read
	Classes      []ClassResult
	Cut          CutResult
}

// ClassResult is what became of the requests of one class. A request whose first token
// does not come before the play ends is in Sent only.
type ClassResult struct {
	Name           string
	Sent, Rejected int
	InAim          int
	FirstTokenUs   []int64 // time from arrival
	Paused         int     // responses with a pause of maxPauseUs between events
}

// maxPauseUs is the longest pause between two events of a response that is in time, while
// the runner reads prompts without a gap.
const maxPauseUs = 600_000

func (c *ClassResult) ended(longestPauseUs int64) {
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

func (c *ClassResult) firstToken(us int64, class Class) {
	c.FirstTokenUs = append(c.FirstTokenUs, us)
	if us <= class.Aim.Microseconds() {
		c.InAim++
	}
}

// ShareInAim is the share of the requests whose first token came in time.
func (c *ClassResult) ShareInAim() float64 { return float64(c.InAim) / float64(max(c.Sent, 1)) }

// Quantile returns the time to the first token that a share q of the requests did not
// exceed; 0 without any.
func (c *ClassResult) Quantile(q float64) time.Duration {
	if len(c.FirstTokenUs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.FirstTokenUs))
	return time.Duration(sorted[int(q*float64(len(sorted)-1))]) * time.Microsecond
}

// Imbalance is the number of requests at the busiest runner over the mean.
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

// Figures are the result in a form for machines.
type Figures struct {
	Imbalance  float64        `json:"imbalance"` // requests at the busiest runner over the mean
	Queued     int            `json:"queued"`
	TokensRead int            `json:"tokensRead"`
	Classes    []ClassFigures `json:"classes"`
}

// ClassFigures are those of one class. Times are those to the first token.
type ClassFigures struct {
	Name     string  `json:"name"`
	Sent     int     `json:"sent"`
	InAim    int     `json:"inAim"`
	Paused   int     `json:"paused"`
	Rejected int     `json:"rejected"`
	P50Ms    float64 `json:"p50Ms"`
	P95Ms    float64 `json:"p95Ms"`
	P99Ms    float64 `json:"p99Ms"`
}

// Figures returns the result in a form for machines.
func (r *Result) Figures() Figures {
	f := Figures{Imbalance: r.Imbalance(), Queued: r.Queued, TokensRead: r.TokensRead}
	for i := range r.Classes {
		c := &r.Classes[i]
		f.Classes = append(f.Classes, ClassFigures{
			Name: c.Name, Sent: c.Sent, InAim: c.InAim, Paused: c.Paused, Rejected: c.Rejected,
			P50Ms: inMs(c.Quantile(0.5)), P95Ms: inMs(c.Quantile(0.95)), P99Ms: inMs(c.Quantile(0.99)),
		})
	}
	return f
}

func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// String is a table of the figures.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "busiest runner %.2f of the mean; %d queued; %d tokens read\n", r.Imbalance(), r.Queued, r.TokensRead)
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(&b, "%-14s %6d sent  %6d in aim (%.3f)  %5d paused  %5d rejected  first token %v p50, %v p95, %v p99\n", c.Name, c.Sent, c.InAim, c.ShareInAim(), c.Paused, c.Rejected, round(c.Quantile(0.5)), round(c.Quantile(0.95)), round(c.Quantile(0.99)))
	}
	if r.Cut.Sent > 0 {
		fmt.Fprintf(&b, "during the partition %.3f of %d requests in aim, after it %.3f of %d\n", r.Cut.ShareInAim(), r.Cut.Sent, r.Cut.AfterInAimShare(), r.Cut.AfterSent)
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
