// Budget bounds retries. The budget is one for the whole system; a node spends a ratio
// of the requests that it received itself, and its share of the slack by the number of
// routers that it knows, with a margin for sliding windows and for nodes that restart.

package upstream

// Budget is not safe for concurrent use.
type Budget struct {
	Ratio    float64
	Slack    float64
	WindowUs int64
	first    []int64
	further  []int64
}

// Parts of the budget that a node dares to spend.
const (
	ratioMargin = 0.6
	slackMargin = 0.4
)

// Request counts a request for the service.
func (b *Budget) Request(nowUs int64) {
	b.first = append(trim(b.first, nowUs-b.WindowUs/2), nowUs)
}

// Spend tells whether a further attempt may go out, and counts it.
func (b *Budget) Spend(nowUs int64, nodes int) bool {
	b.first = trim(b.first, nowUs-b.WindowUs/2)
	b.further = trim(b.further, nowUs-b.WindowUs)
	most := b.Ratio*ratioMargin*float64(len(b.first)) + b.Slack*slackMargin/float64(max(nodes, 1))
	if float64(len(b.further)+1) > most {
		return false
	}
	b.further = append(b.further, nowUs)
	return true
}

func trim(list []int64, fromUs int64) []int64 {
	i := 0
	for i < len(list) && list[i] < fromUs {
		i++
	}
	return append(list[:0], list[i:]...)
}
