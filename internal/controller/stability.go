// For how long the core has been stable, as this controller sees it: who is alive, and
// whom it reaches itself. Probes go round a partition between two controllers by way
// of routers and do not see it, so direct calls count as well.

package controller

import "sync"

// unreachedUs is after how long without an answer a controller counts as not
// reached.
const unreachedUs = 1_200_000

type stability struct {
	mu      sync.Mutex
	view    string
	reached map[string]int64
	cut     map[string]bool
	sinceUs int64
}

// observe records who is alive now.
func (s *stability) observe(view string, nowUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view != s.view {
		s.view, s.sinceUs = view, nowUs
	}
}

// recordCall records a direct call and whether it was answered.
func (s *stability) recordCall(addr string, ok bool, nowUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached == nil {
		s.reached, s.cut = map[string]int64{}, map[string]bool{}
	}
	if _, known := s.reached[addr]; !known {
		s.reached[addr] = nowUs
	}
	if ok {
		s.reached[addr] = nowUs
	}
	if cut := nowUs-s.reached[addr] > unreachedUs; cut != s.cut[addr] {
		s.cut[addr], s.sinceUs = cut, nowUs
	}
}

// isCut tells whether direct calls to a controller have failed for long.
func (s *stability) isCut(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[addr]
}

// stableForUs returns for how long the view has not changed.
func (s *stability) stableForUs(nowUs int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nowUs - s.sinceUs
}
