// Before a valid request is rejected because its route or key is unknown, the router
// makes sure that its configuration is the newest. Where it cannot, the request gets
// 503 instead.

package router

import (
	"context"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/messages"
)

// Times of a check.
const (
	// recheckUs is for how long a check that came out holds. What it may miss is
	// younger than that, and convergeMs is much longer.
	recheckUs = 200_000
	// recheckParts is the part of convergeMs that a check may take.
	recheckParts     = 5
	recheckLeastWait = 100 * time.Millisecond
)

// currencyChecks sees to it that one check goes on at a time, and that the
// requests which come meanwhile wait for it. The zero value is ready for use.
type currencyChecks struct {
	mu      sync.Mutex
	current *currencyCheck
}

// currencyCheck is one check; the fields are set before done is closed.
type currencyCheck struct {
	done      chan struct{}
	endedUs   int64
	confirmed bool
}

// confirm tells whether the configuration was the newest a short while ago. It asks
// by way of ask, unless a check is under way or has ended lately.
func (c *currencyChecks) confirm(clock func() int64, ask func() bool) bool {
	c.mu.Lock()
	check := c.current
	if check != nil && check.holds(clock()) {
		c.mu.Unlock()
		<-check.done
		return check.confirmed
	}
	check = &currencyCheck{done: make(chan struct{})}
	c.current = check
	c.mu.Unlock()
	check.confirmed = ask()
	check.endedUs = clock()
	close(check.done)
	return check.confirmed
}

// holds tells whether a check is under way or has ended lately.
func (c *currencyCheck) holds(nowUs int64) bool {
	select {
	case <-c.done:
		return nowUs-c.endedUs < recheckUs
	default:
		return true
	}
}

func (r *Router) recheckWait() time.Duration {
	return max(r.convergeTime()/recheckParts, recheckLeastWait)
}

// confirmCurrent tells whether the configuration is the newest that was committed when
// the check began, or was so a short while ago. What is newer is fetched first.
func (r *Router) confirmCurrent() bool {
	return r.currency.confirm(r.clock, func() bool {
		confirmed := r.readNewest(r.wholeCore())
		if confirmed {
			r.majorityUs.Store(r.clock())
		}
		return confirmed
	})
}

// answeredVersions is a controller's response, if there was one in time.
type answeredVersions struct {
	addr     string
	versions messages.Versions
	err      error
}

// readNewest asks controllers for their versions, which are small, and fetches what this
// node lacks from one of them. It tells whether by then the configuration is the newest.
func (r *Router) readNewest(controllers []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.recheckWait())
	defer cancel()
	answers := make(chan answeredVersions, len(controllers))
	for _, addr := range controllers {
		go func() {
			m, err := r.askVersions(ctx, addr)
			answers <- answeredVersions{addr, m, err}
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
	if !r.behind([]int64{read.committed}) {
		return true
	}
	return r.fetchMissing(ctx, read.newestAt, false) && !r.behind([]int64{read.committed})
}

// confirmationHolds reports whether the last confirmation is recent. It is asked as a
// refusal leaves: this process may have stood still since the check.
func (r *Router) confirmationHolds() bool {
	confirmedUs := r.majorityUs.Load()
	return confirmedUs != 0 && r.clock()-confirmedUs <= recheckUs+r.recheckWait().Microseconds()
}
