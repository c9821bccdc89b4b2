// Comparisons with controllers beside the tree: whom a router asks for its versions,
// and when.

package dissemination

import "sync"

// Times of comparisons, as parts of convergeMs: how often one begins, how long one
// may take, and after how long without its parent's update a router queries several
// at once.
const (
	ComparisonParts     = 5
	ComparisonWaitParts = 2
	OverdueParts        = 4
)

const (
	// overdueAtOnce is how many controllers are asked at once when the parent's
	// update is overdue.
	overdueAtOnce = 3
	// mostComparisons bounds how many go on at a time.
	mostComparisons = 6
	// takeRunnersAfter is after how many comparisons in a row with other runners
	// than this node's all of them are fetched.
	takeRunnersAfter, takeRunnersEvery = 2, 4
)

// NewComparisons starts at a turn of the caller's choice, so that not all nodes query the
// same controller first.
func NewComparisons(turn int) *Comparisons { return &Comparisons{turn: turn} }

// Comparisons are those under way, and whose turn is next. The zero value is ready for use,
// and safe for concurrent use.
type Comparisons struct {
	mu      sync.Mutex
	turn    int
	asked   map[string]bool // who has not answered yet
	differs int             // answers in a row with other runners than here
}

// Next returns whom to query now: one controller, or several where the parent's update is
// overdue. The parent is skipped where there are others, and so is a controller that has
// not answered yet.
func (p *Comparisons) Next(controllers []string, parent string, overdue bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked = map[string]bool{}
	}
	most := 1
	if overdue {
		most = overdueAtOnce
	}
	most = min(most, mostComparisons-len(p.asked))
	var out []string
	for range controllers {
		if len(out) >= most {
			break
		}
		p.turn++
		addr := controllers[p.turn%len(controllers)]
		if p.asked[addr] || addr == parent && len(controllers) > 1 {
			continue
		}
		p.asked[addr] = true
		out = append(out, addr)
	}
	return out
}

// Ended records an answer, or that there is none.
func (p *Comparisons) Ended(addr string, answered, sameRunners bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, addr)
	switch {
	case answered && sameRunners:
		p.differs = 0
	case answered:
		p.differs++
	}
}

// WantRunners reports whether the next comparison fetches all runners.
func (p *Comparisons) WantRunners() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.differs%takeRunnersEvery == takeRunnersAfter
}
