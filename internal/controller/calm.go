// For how long the core has been stable, as this controller sees it: who is alive, and
// whom it reaches itself. Probes go round a partition between two controllers by way
// of routers and do not see it, so direct calls count as well.

package controller

import "sync"

// unreachedUs is after how long without an answer a controller counts as not
// reached.
const unreachedUs = 1_200_000

type calm struct {
	mu      sync.Mutex
	view    string
	reached map[string]int64
	cut     map[string]bool
	sinceUs int64
}

// saw notes who is alive now.
func (c *calm) saw(view string, nowUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != c.view {
		c.view, c.sinceUs = view, nowUs
	}
}

// tried notes a direct call and whether it was answered.
func (c *calm) tried(addr string, ok bool, nowUs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reached == nil {
		c.reached, c.cut = map[string]int64{}, map[string]bool{}
	}
	if _, known := c.reached[addr]; !known {
		c.reached[addr] = nowUs
	}
	if ok {
		c.reached[addr] = nowUs
	}
	if cut := nowUs-c.reached[addr] > unreachedUs; cut != c.cut[addr] {
		c.cut[addr], c.sinceUs = cut, nowUs
	}
}

// isCut tells whether direct calls to a controller have failed for long.
func (c *calm) isCut(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[addr]
}

// forUs is how long all has been the same.
func (c *calm) forUs(nowUs int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return nowUs - c.sinceUs
}
