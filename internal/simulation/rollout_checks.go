// Checks of rollouts, as the runners and the operator see them.

package simulation

// rolloutChecks keeps what has been seen.
type rolloutChecks struct {
	history *rolloutHistory
	ackedUs map[int64]int64 // by version, when its naming was acknowledged
	fence   int64           // the highest that came with an order
	lastUs  map[string]int64
	holders map[int64]string // by fence
	orders  int64
	begun   int64
}

func newRolloutChecks(h *rolloutHistory) rolloutChecks {
	return rolloutChecks{history: h, ackedUs: map[int64]int64{}, lastUs: map[string]int64{}, holders: map[int64]string{}}
}

func (c *rolloutChecks) named(version int64) {
	if !c.isNamed(version) {
		c.history.kernel.Log("version %d is acknowledged", version)
		c.ackedUs[version] = c.history.kernel.NowUs()
	}
}

func (c *rolloutChecks) isNamed(version int64) bool { return c.ackedUs[version] > 0 }

// boundPassed tells whether a newer version was acknowledged so long ago.
func (c *rolloutChecks) boundPassed(version, boundUs int64) bool {
	for newer, atUs := range c.ackedUs {
		if newer > version && c.history.kernel.NowUs()-atUs > boundUs {
			return true
		}
	}
	return false
}

// begins is called where a request begins to run.
func (c *rolloutChecks) begins(e *engine) {
	c.begun++
	if c.boundPassed(e.version, versionUs) {
		c.history.kernel.Fail("a request begins on version %d at %s, later than versionMs after a newer one", e.version, e.id())
	}
}

// order is called where an order reaches a runner. Orders of a sender that has just
// thawed are not counted.
func (c *rolloutChecks) order(e *engine, from *coordinator, fence int64) {
	k, now := c.history.kernel, c.history.kernel.NowUs()
	c.orders++
	if from.thawedUs > 0 && now-from.thawedUs < thawSlackUs {
		return
	}
	if holder, known := c.holders[fence]; known && holder != from.addr {
		k.Fail("%s and %s order under one fence %d", holder, from.addr, fence)
	}
	c.holders[fence] = from.addr
	if fence < c.fence {
		k.Fail("%s orders %s under fence %d after %d", from.addr, e.id(), fence, c.fence)
	}
	c.fence = fence
	for _, other := range sortedKeys(c.lastUs) {
		if other != from.addr && now-c.lastUs[other] < controllerLeaseTimes.LeaseUs {
			k.Fail("%s orders %d us after %s", from.addr, now-c.lastUs[other], other)
		}
	}
	c.lastUs[from.addr] = now
}

// ordered has every runner be on the newest weights or under an order.
func (c *rolloutChecks) ordered() {
	newest := targetOf(c.history.group.register.body)
	for _, e := range c.history.engines {
		if e.up && e.version < newest && e.targetVersion == 0 {
			c.history.kernel.Fail("%s serves on version %d long after %d was named", e.id(), e.version, newest)
		}
	}
}

// completed has every runner serve on the newest weights, at every registrar.
func (c *rolloutChecks) completed() {
	newest := targetOf(c.history.group.register.body)
	for _, e := range c.history.engines {
		if !e.up {
			continue
		}
		if e.version != newest {
			c.history.kernel.Fail("%s is on version %d and %d is the newest", e.id(), e.version, newest)
		}
		for _, r := range c.history.fleet.registrars {
			n := r.runners.Snapshot().ByID[e.id()]
			if n.Cordoned || n.DrainingLong {
				c.history.kernel.Fail("%s is kept from requests at %s though it holds the newest weights", e.id(), r.addr)
			}
		}
	}
}
