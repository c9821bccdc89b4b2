// Confirmation that the configuration is the newest, before a valid request is denied because its
// route or key is unknown. If that cannot be confirmed the request gets 503 instead.

package router

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/messages"
)

// Timing of a check.
const (
	// confirmationTTLUs is how long the result of a check is valid. A change that is missed is
	// younger than that, which is much less than convergeMs.
	confirmationTTLUs = 200_000
	// A check may take convergeMs divided by recheckFraction.
	recheckFraction   = 5
	minRecheckTimeout = 100 * time.Millisecond
)

// freshnessChecks runs one check at a time; requests that arrive meanwhile wait for its result.
// The zero value is ready for use.
type freshnessChecks struct {
	mu      sync.Mutex
	current *freshnessCheck
}

// freshnessCheck is one check. endedUs and confirmed are set before done is closed.
type freshnessCheck struct {
	done      chan struct{}
	endedUs   int64
	confirmed bool
}

// confirm reports whether the configuration was the newest within the last confirmationTTLUs. It
// calls check, unless a check is under way or its last result is still valid.
func (c *freshnessChecks) confirm(clock func() int64, check func() bool) bool {
	c.mu.Lock()
	current := c.current
	if current != nil && current.isValid(clock()) {
		c.mu.Unlock()
		<-current.done
		return current.confirmed
	}
	current = &freshnessCheck{done: make(chan struct{})}
	c.current = current
	c.mu.Unlock()
	current.confirmed = check()
	current.endedUs = clock()
	close(current.done)
	return current.confirmed
}

// isValid reports whether the check is under way or ended less than confirmationTTLUs ago.
func (c *freshnessCheck) isValid(nowUs int64) bool {
	select {
	case <-c.done:
		return nowUs-c.endedUs < confirmationTTLUs
	default:
		return true
	}
}

func (r *Router) recheckTimeout() time.Duration {
	return max(r.convergeTime()/recheckFraction, minRecheckTimeout)
}

// confirmCurrent reports whether the configuration is the newest that was committed when the check
// began, at most confirmationTTLUs ago. It fetches a newer configuration first.
func (r *Router) confirmCurrent() bool {
	return r.freshness.confirm(r.clock, func() bool {
		confirmed := r.readNewest(r.allCoreAddrs())
		if confirmed {
			r.majorityUs.Store(r.clock())
		}
		return confirmed
	})
}

// versionsResponse is a controller's response, or the error of the call.
type versionsResponse struct {
	addr     string
	versions messages.Versions
	err      error
}

// readNewest requests the versions of all given controllers, which are small messages, and fetches
// what this node lacks from one of them. It reports whether the configuration is the newest
// afterwards.
func (r *Router) readNewest(controllers []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.recheckTimeout())
	defer cancel()
	answers := make(chan versionsResponse, len(controllers))
	for _, addr := range controllers {
		go func() {
			m, err := r.requestVersions(ctx, addr)
			answers <- versionsResponse{addr, m, err}
		}()
	}
	var read versionRead
	for range controllers {
		a := <-answers
		if a.err != nil {
			continue
		}
		read.receive(a.addr, a.versions)
		if read.hasQuorum() {
			break
		}
	}
	if !read.hasQuorum() {
		return false
	}
	if !r.hasNewer([]int64{read.committed}) {
		return true
	}
	return r.fetchMissing(ctx, read.newestAt, false) && !r.hasNewer([]int64{read.committed})
}

// confirmationValid reports whether the last confirmation is recent enough. It is checked again
// immediately before a denial is sent, as this process may have been paused since the check.
func (r *Router) confirmationValid() bool {
	confirmedUs := r.majorityUs.Load()
	return confirmedUs != 0 && r.clock()-confirmedUs <= confirmationTTLUs+r.recheckTimeout().Microseconds()
}
