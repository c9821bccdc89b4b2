// Comparisons with controllers beside the tree: whom a router asks for its versions,
// and when.

package dissemination

import (
	"slices"
	"sync"
	"time"
)

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

	fetching bool    // missing state is being fetched from a peer
	awaited  []int64 // versions that a controller had and this node had not
	sinceUs  int64   // when that was found
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

// FetchDue reports whether a node fetches what it lacks from a controller that has
// answered with its versions. As long as its parent delivers, updates come down the tree;
// only what has not come within grace is fetched beside it.
func (p *Comparisons) FetchDue(mine, theirs []int64, grace time.Duration, nowUs int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer := Behind(mine, theirs)
	if !Behind(mine, p.awaited) {
		p.awaited = nil
		if newer {
			p.awaited, p.sinceUs = slices.Clone(theirs), nowUs
		}
	}
	return newer && nowUs-p.sinceUs >= grace.Microseconds()
}

// Behind reports whether a node with the versions mine lacks something that another one
// has. A version of 0 or less is none.
func Behind(mine, theirs []int64) bool {
	for part, version := range theirs {
		if version > 0 && (part >= len(mine) || mine[part] < version) {
			return true
		}
	}
	return false
}

// StartFetch makes the caller the one that fetches what this node lacks; false where a
// fetch is under way. The caller ends it by EndFetch.
func (p *Comparisons) StartFetch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching {
		return false
	}
	p.fetching = true
	return true
}

// EndFetch ends a fetch, whatever came of it.
func (p *Comparisons) EndFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = false
}
