// Leaving in order: say so on the ready address, go on taking connections until
// the platform has noticed, let every answer end its connection, and go when
// the last stream has ended or the time of grace is nearly over.
package counter

import (
	"context"
	"time"
)

// noticeMs is how long the platform needs to notice: two missed probes of one
// a second, and some.
const noticeMs = 2600

func (c *Counter) leave() {
	c.leaving.Store(true)
	c.log.Info("leaving")
	start := time.Now()
	graceMs := int64(c.set.Bounds.GraceS*1000) - 500
	for {
		aged := time.Since(start).Milliseconds()
		if aged >= graceMs || aged >= noticeMs && c.inFlight.Load() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if h := c.front.Load(); h != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_ = h.Shutdown(ctx)
		cancel()
	}
}
