// Budget bounds retries. The budget is one for the whole system; a node spends a ratio
// of the requests that it received itself, and its share of the slack by the number of
// routers that it knows, with a margin for sliding windows and for nodes that restart.

package upstream

// Budget is not safe for concurrent use.
type Budget struct {
	Ratio    float64 // retries for each request
	Slack    float64 // retries beside those
	WindowUs int64   // the sliding window that both are counted in

	requests []int64 // when requests arrived
	retries  []int64 // when retries were sent
}

// Parts of its share that a node spends.
const (
	ratioMargin = 0.6
	slackMargin = 0.4
)

// Request counts a request for the service.
func (b *Budget) Request(nowUs int64) {
	b.requests = append(trim(b.requests, nowUs-b.WindowUs/2), nowUs)
}

// Spend reports whether a retry may be sent, and counts it.
func (b *Budget) Spend(nowUs int64, nodes int) bool {
	b.requests = trim(b.requests, nowUs-b.WindowUs/2)
	b.retries = trim(b.retries, nowUs-b.WindowUs)
	allowed := b.Ratio*ratioMargin*float64(len(b.requests)) + b.Slack*slackMargin/float64(max(nodes, 1))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, nowUs)
	return true
}

// trim drops the times before fromUs.
func trim(list []int64, fromUs int64) []int64 {
	i := 0
	for i < len(list) && list[i] < fromUs {
		i++
	}
	return append(list[:0], list[i:]...)
}
