package registry

import "beechtide.org/beechtide/internal/lease"

// longestStepUs bounds what one step of an observed clock adds: a process that
// was frozen has observed nothing meanwhile.
const longestStepUs = 1_000_000

// contactLapseUs is how long after the last message of a majority contact counts as
// lost (lease.ContactUs): the time up to then was not observed either.
const contactLapseUs = lease.ContactUs

// observedClock counts the time in which this node could have received heartbeats:
// it stands still while the node is out of contact and while it is frozen.
type observedClock struct {
	running bool
	started bool
	lastUs  int64 // on the node's monotonic clock
	nowUs   int64 // observed time

	contactFromUs int64 // observed time at which contact was last regained
}

// advance moves on to a moment of the monotonic clock and gives observed time.
func (c *observedClock) advance(monotonicUs int64) int64 {
	if !c.started {
		c.started, c.running = true, true
		c.lastUs, c.nowUs, c.contactFromUs = monotonicUs, monotonicUs, monotonicUs
		return c.nowUs
	}
	stepUs := min(max(monotonicUs-c.lastUs, 0), longestStepUs)
	c.lastUs = max(c.lastUs, monotonicUs)
	if c.running {
		c.nowUs += stepUs
	}
	return c.nowUs
}

// setContact says whether the node is in contact from now on. Where contact is
// found lost, the clock goes back by what was counted since the last message.
func (c *observedClock) setContact(inContact bool) {
	switch {
	case inContact && !c.running:
		c.contactFromUs = c.nowUs
	case !inContact && c.running:
		c.nowUs = max(c.contactFromUs, c.nowUs-contactLapseUs)
	}
	c.running = inContact
}
