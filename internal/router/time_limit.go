// The deadline of a request: its client's time limit or its route's cutoff, whichever is earlier,
// counted from its first byte. The configuration at its beginning applies until its end.

package router

import (
	"math"
	"strconv"
	"time"
)

// lateWriteTimeout is how long writing the response may take once the request's deadline has
// passed.
const lateWriteTimeout = 200 * time.Millisecond

// requestDeadlineUs returns the deadline of a request that began at startUs. timeLeft is the
// client's header, in milliseconds; an unparseable one is ignored.
func requestDeadlineUs(startUs, cutoffUs int64, timeLeft string) int64 {
	ms, err := strconv.ParseFloat(timeLeft, 64)
	if err != nil || math.IsNaN(ms) || ms*1000 >= float64(cutoffUs) {
		return startUs + cutoffUs
	}
	return startUs + int64(max(ms, 0)*1000)
}

// requestAge returns the time since the first byte of the current request arrived.
func (c *timedConn) requestAge() time.Duration {
	if c == nil || c.requestStart.IsZero() {
		return 0
	}
	return time.Since(c.requestStart)
}

// setResponseDeadline limits the writing of the response to the current request.
func (c *timedConn) setResponseDeadline(deadline time.Time) {
	if c != nil {
		c.responseDeadline = deadline
	}
}

// writeDeadline returns when a write that begins now fails: after writeTimeout, if the client
// reads too slowly, or at the request's deadline, with at least lateWriteTimeout to write.
func (c *timedConn) writeDeadline() time.Time {
	now := time.Now()
	byClient := now.Add(writeTimeout)
	if c.responseDeadline.IsZero() || c.responseDeadline.After(byClient) {
		return byClient
	}
	if soon := now.Add(lateWriteTimeout); c.responseDeadline.Before(soon) {
		return soon
	}
	return c.responseDeadline
}
