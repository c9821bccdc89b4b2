// Graceful shutdown: report not ready, accept connections until the platform has
// noticed, and let every response end its connection. Then accept no more connections,
// close those on which no request has begun, and end with the last response or when
// the grace period is nearly over.

package router

import "time"

// noticeMs is how long the platform needs to notice: two missed probes of one
// a second, and some.
const noticeMs = 2600

func (c *Router) leave() {
	c.leaving.Store(true)
	c.log.Info("leaving")
	start := time.Now()
	graceMs := int64(c.set.Bounds.GraceS*1000) - 500
	ln := c.front.Load()
	for closed := false; ; time.Sleep(20 * time.Millisecond) {
		aged := time.Since(start).Milliseconds()
		if aged >= graceMs || ln == nil {
			return
		}
		if aged < noticeMs {
			continue
		}
		if !closed {
			closed = true
			ln.Listener.Close()
		}
		if ln.closeIdle() == 0 && c.inFlight.Load() == 0 {
			return
		}
	}
}
