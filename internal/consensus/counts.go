// Counters of rounds and reads, for the metrics.

package consensus

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/histogram"
)

// Counts counts the rounds and quorum reads that a member has run. It is safe for
// concurrent use, and the zero value is ready for use.
type Counts struct {
	// RoundDurations are the durations of rounds with any outcome.
	RoundDurations histogram.Durations

	rounds [Rejected + 1]atomic.Int64
	reads  [Undecided + 1]atomic.Int64
}

// Rounds returns the number of rounds by outcome. A round that was still in progress at
// its timeout is counted as "no quorum".
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

// Reads returns the number of quorum reads by result.
func (c *Counts) Reads() map[string]int64 {
	out := map[string]int64{}
	for result := range c.reads {
		out[ReadResult(result).String()] = c.reads[result].Load()
	}
	return out
}

// Counts returns the counters of this member.
func (r *Registers) Counts() *Counts { return &r.counts }
