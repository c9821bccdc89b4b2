// The time limit of a request: its client's deadline or its route's cutoff, whichever
// is earlier, counted from its first byte. The configuration at its beginning applies
// to its end.

package router

import (
	"math"
	"strconv"
	"time"
)

// lastWrite is how long the answer to a request whose time is over may take to be
// written.
const lastWrite = 200 * time.Millisecond

// endOf gives when a request is over that began at startUs; timeLeft is the
// client's header, in milliseconds.
func endOf(startUs, cutoffUs int64, timeLeft string) int64 {
	ms, err := strconv.ParseFloat(timeLeft, 64)
	if err != nil || math.IsNaN(ms) || ms*1000 >= float64(cutoffUs) {
		return startUs + cutoffUs
	}
	return startUs + int64(max(ms, 0)*1000)
}

// requestAge is how long ago the request that has just been read began to arrive.
func (c *timedConn) requestAge() time.Duration {
	if c == nil || c.begun.IsZero() {
		return 0
	}
	return time.Since(c.begun)
}

// answerUntil bounds the writing of the answer to the request in hand.
func (c *timedConn) answerUntil(end time.Time) {
	if c != nil {
		c.answerBy = end
	}
}

// writeDeadline is when a write that begins now is given up: the client reads too
// slowly, or the request's time is over.
func (c *timedConn) writeDeadline() time.Time {
	now := time.Now()
	byClient := now.Add(writeWait)
	if c.answerBy.IsZero() || c.answerBy.After(byClient) {
		return byClient
	}
	if soon := now.Add(lastWrite); c.answerBy.Before(soon) {
		return soon
	}
	return c.answerBy
}
