// Counts of rounds and reads, for the metrics.

package consensus

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/histogram"
)

// Counts counts the rounds and reads that a member has run. It is safe for concurrent
// use, and the zero value is ready for use.
type Counts struct {
	// RoundDurations is how long rounds took, whatever their outcome.
	RoundDurations histogram.Durations

	rounds [Rejected + 1]atomic.Int64
	reads  [Undecided + 1]atomic.Int64
}

// Rounds is how many rounds ended, by outcome. A round that is still in progress had
// no quorum in time.
func (c *Counts) Rounds() map[string]int64 {
	out := map[string]int64{}
	for outcome := range c.rounds {
		name := Outcome(outcome).String()
		if Outcome(outcome) == InProgress {
			name = "no quorum"
		}
		out[name] = c.rounds[outcome].Load()
	}
	return out
}

// Reads is how often the members of a group were asked for the newest value, by
// result.
func (c *Counts) Reads() map[string]int64 {
	out := map[string]int64{}
	for result := range c.reads {
		out[Finding(result).String()] = c.reads[result].Load()
	}
	return out
}

// Counts returns the counts of this member.
func (r *Registers) Counts() *Counts { return &r.counts }
