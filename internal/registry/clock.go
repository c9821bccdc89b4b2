package registry

import "beechtide.org/beechtide/internal/lease"

// maxClockStepUs bounds how far one step advances an observed clock: a process that
// was suspended received nothing in the meantime.
const maxClockStepUs = 1_000_000

// contactTimeoutUs is the time from the last message of a majority until contact counts as
// lost (lease.ContactUs). That time was not observed either.
const contactTimeoutUs = lease.ContactUs

// observedClock counts the time in which this node could have received heartbeats:
// it stops while the node is out of contact and while its process is suspended.
type observedClock struct {
	running bool
	started bool
	lastUs  int64 // on the node's monotonic clock
	nowUs   int64 // observed time

	contactSinceUs int64 // observed time at which contact was last regained
}

// advance moves the clock to the given monotonic time and returns the observed time.
func (c *observedClock) advance(monotonicUs int64) int64 {
	if !c.started {
		c.started, c.running = true, true
		c.lastUs, c.nowUs, c.contactSinceUs = monotonicUs, monotonicUs, monotonicUs
		return c.nowUs
	}
	stepUs := min(max(monotonicUs-c.lastUs, 0), maxClockStepUs)
	c.lastUs = max(c.lastUs, monotonicUs)
	if c.running {
		c.nowUs += stepUs
	}
	return c.nowUs
}

// setContact sets whether the node is in contact from now on. When contact is lost, the
// clock is set back by the time counted since the last message.
func (c *observedClock) setContact(inContact bool) {
	switch {
	case inContact && !c.running:
		c.contactSinceUs = c.nowUs
	case !inContact && c.running:
		c.nowUs = max(c.contactSinceUs, c.nowUs-contactTimeoutUs)
	}
	c.running = inContact
}
