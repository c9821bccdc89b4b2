// Comparisons of a router's versions with those of controllers other than its parent:
// which controllers are queried, and when missing state is fetched from them.

package dissemination

import (
	"slices"
	"sync"
	"time"
)

// Times of comparisons, as divisors of the setting convergeMs: the interval between two
// comparisons, the timeout of one, and the time without an update from the parent after
// which a router queries several controllers at once.
const (
	ComparisonIntervalDivisor = 5
	ComparisonTimeoutDivisor  = 2
	OverdueDivisor            = 4
)

const (
	// overdueQueryCount is the number of controllers queried at once when the parent's
	// update is overdue.
	overdueQueryCount = 3
	// maxConcurrentComparisons bounds the number of concurrent comparisons.
	maxConcurrentComparisons = 6
	// After fetchRunnersAfter consecutive comparisons in which the controller's runners
	// differed from this node's, all runners are fetched; if they still differ, again
	// after every further fetchRunnersInterval.
	fetchRunnersAfter, fetchRunnersInterval = 2, 4
)

// NewComparisons starts the rotation over the controllers at rotation; nodes pass different
// values so that they do not all query the same controller first.
func NewComparisons(rotation int) *Comparisons { return &Comparisons{rotation: rotation} }

// Comparisons tracks the comparisons in progress and the rotation over the controllers.
// The zero value is ready for use. It is safe for concurrent use.
type Comparisons struct {
	mu                    sync.Mutex
	rotation              int
	pending               map[string]bool // controllers that have not answered yet, by address
	consecutiveMismatches int             // consecutive answers whose runners differ from this node's

	fetching        bool    // missing state is being fetched from a peer
	awaitedVersions []int64 // versions that a controller had and this node lacked
	awaitedSinceUs  int64   // when awaitedVersions was set
}

// Next returns the addresses of the controllers to query now: one, or several if the
// parent's update is overdue. It skips controllers that have not answered yet, and the
// parent unless it is the only controller.
func (p *Comparisons) Next(controllers []string, parent string, overdue bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = map[string]bool{}
	}
	limit := 1
	if overdue {
		limit = overdueQueryCount
	}
	limit = min(limit, maxConcurrentComparisons-len(p.pending))
	var targets []string
	for range controllers {
		if len(targets) >= limit {
			break
		}
		p.rotation++
		addr := controllers[p.rotation%len(controllers)]
		if p.pending[addr] || addr == parent && len(controllers) > 1 {
			continue
		}
		p.pending[addr] = true
		targets = append(targets, addr)
	}
	return targets
}

// RecordResult records the result of a comparison: an answer, or a failure if answered is false.
func (p *Comparisons) RecordResult(addr string, answered, sameRunners bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, addr)
	switch {
	case answered && sameRunners:
		p.consecutiveMismatches = 0
	case answered:
		p.consecutiveMismatches++
	}
}

// RunnersFetchDue reports whether the next comparison fetches all runners.
func (p *Comparisons) RunnersFetchDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.consecutiveMismatches%fetchRunnersInterval == fetchRunnersAfter
}

// FetchDue reports whether this node should fetch missing state from a controller that
// answered with the versions remote. Updates normally arrive through the tree; only state
// that has not arrived within grace is fetched directly.
func (p *Comparisons) FetchDue(local, remote []int64, grace time.Duration, nowUs int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer := Behind(local, remote)
	if !Behind(local, p.awaitedVersions) {
		p.awaitedVersions = nil
		if newer {
			p.awaitedVersions, p.awaitedSinceUs = slices.Clone(remote), nowUs
		}
	}
	return newer && nowUs-p.awaitedSinceUs >= grace.Microseconds()
}

// Behind reports whether local is older than remote in any part. A version of 0 or less in
// remote means that the other node has no state for that part.
func Behind(local, remote []int64) bool {
	for part, version := range remote {
		if version > 0 && (part >= len(local) || local[part] < version) {
			return true
		}
	}
	return false
}

// StartFetch reserves the fetch of missing state for the caller. It returns false if a
// fetch is in progress. The caller releases it with EndFetch.
func (p *Comparisons) StartFetch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching {
		return false
	}
	p.fetching = true
	return true
}

// EndFetch releases the reservation of StartFetch, whether or not the fetch succeeded.
func (p *Comparisons) EndFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = false
}
