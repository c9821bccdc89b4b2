// How long the core has been stable, as observed by this controller: the set of live controllers,
// and which of them answer its direct calls. Membership probes are relayed by routers around a
// partition between two controllers and do not detect it, so direct calls are checked as well.

package controller

import "sync"

// unreachableAfterUs is the time without an answer to a direct call after which a controller counts
// as unreachable.
const unreachableAfterUs = 1_200_000

type stability struct {
	mu            sync.Mutex
	view          string
	lastReachedUs map[string]int64
	cut           map[string]bool
	stableSinceUs int64
}

// observe records the current set of live controllers of the core.
func (s *stability) observe(view string, nowUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view != s.view {
		s.view, s.stableSinceUs = view, nowUs
	}
}

// recordCall records a direct call and whether it was answered.
func (s *stability) recordCall(addr string, ok bool, nowUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReachedUs == nil {
		s.lastReachedUs, s.cut = map[string]int64{}, map[string]bool{}
	}
	if _, known := s.lastReachedUs[addr]; !known {
		s.lastReachedUs[addr] = nowUs
	}
	if ok {
		s.lastReachedUs[addr] = nowUs
	}
	if cut := nowUs-s.lastReachedUs[addr] > unreachableAfterUs; cut != s.cut[addr] {
		s.cut[addr], s.stableSinceUs = cut, nowUs
	}
}

// isCut reports whether all direct calls to a controller have failed for longer than the limit.
func (s *stability) isCut(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[addr]
}

// stableForUs returns the time since the core, or the reachability of one of its members, last
// changed.
func (s *stability) stableForUs(nowUs int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nowUs - s.stableSinceUs
}
