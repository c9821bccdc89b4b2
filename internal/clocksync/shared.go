package clocksync

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
)

// Shared is a Clock that is safe for concurrent use. Its zero value is ready for use.
type Shared struct {
	mu    sync.Mutex
	clock Clock
}

// SetVotes sets Clock.Votes, so that this node's own offset counts in the median.
func (s *Shared) SetVotes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Votes = true
}

// Observe calls Clock.Observe.
func (s *Shared) Observe(timeOfDayUs, nowUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Observe(timeOfDayUs, nowUs)
}

// AddSample calls Clock.AddSample with the time of day of a controller, from its answer to a
// comparison of versions.
func (s *Shared) AddSample(addr string, answer messages.Versions, sentUs, answeredUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.AddSample(addr, answer.TimeUs, answer.TimeAgreed, sentUs, answeredUs)
}

// TimeUs calls Clock.TimeUs.
func (s *Shared) TimeUs(nowUs int64) (timeOfDayUs int64, synchronized bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.TimeUs(nowUs)
}
