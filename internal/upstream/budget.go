// This file implements the retry budget. The configured budget applies to the whole
// system. Each node may retry a ratio of the requests that it received itself, plus an
// equal share of the slack among the known routers. Both are reduced by a margin that
// covers sliding windows and restarted nodes.

package upstream

// RetryBudget limits the retries that one node sends for one service. It is not safe for
// concurrent use.
type RetryBudget struct {
	Ratio    float64 // retries allowed per request
	Slack    float64 // retries allowed in addition, independent of the request count
	WindowUs int64   // length of the sliding window for both

	requestTimesUs []int64 // arrival times of requests
	retryTimesUs   []int64 // send times of retries
}

// Fractions of its share that a node uses.
const (
	ratioFraction = 0.6
	slackFraction = 0.4
)

// RecordRequest records the arrival of a request for the service.
func (b *RetryBudget) RecordRequest(nowUs int64) {
	b.requestTimesUs = append(removeBefore(b.requestTimesUs, nowUs-b.WindowUs/2), nowUs)
}

// Spend reports whether the budget allows another retry, and if so records it.
func (b *RetryBudget) Spend(nowUs int64, nodes int) bool {
	b.requestTimesUs = removeBefore(b.requestTimesUs, nowUs-b.WindowUs/2)
	b.retryTimesUs = removeBefore(b.retryTimesUs, nowUs-b.WindowUs)
	allowed := b.Ratio*ratioFraction*float64(len(b.requestTimesUs)) + b.Slack*slackFraction/float64(max(nodes, 1))
	if float64(len(b.retryTimesUs)+1) > allowed {
		return false
	}
	b.retryTimesUs = append(b.retryTimesUs, nowUs)
	return true
}

// removeBefore removes the times before fromUs from a sorted list, in place.
func removeBefore(timesUs []int64, fromUs int64) []int64 {
	i := 0
	for i < len(timesUs) && timesUs[i] < fromUs {
		i++
	}
	return append(timesUs[:0], timesUs[i:]...)
}
