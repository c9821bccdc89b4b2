package registry

// longestStepUs bounds what one step of an observed clock adds: a process that
// was frozen has observed nothing meanwhile.
const longestStepUs = 1_000_000

// observedClock counts the time in which this node could have heard a runner:
// it stands still while the node is out of contact and while it is frozen.
type observedClock struct {
	running bool
	started bool
	lastUs  int64 // on the node's monotonic clock
	nowUs   int64 // observed time
}

// advance moves on to a moment of the monotonic clock and gives observed time.
func (c *observedClock) advance(monotonicUs int64) int64 {
	if !c.started {
		c.started, c.running = true, true
		c.lastUs, c.nowUs = monotonicUs, monotonicUs
		return c.nowUs
	}
	stepUs := min(max(monotonicUs-c.lastUs, 0), longestStepUs)
	c.lastUs = max(c.lastUs, monotonicUs)
	if c.running {
		c.nowUs += stepUs
	}
	return c.nowUs
}
