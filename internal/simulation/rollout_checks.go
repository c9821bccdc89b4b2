// Checks of rollouts from the point of view of the runners and the operator.

package simulation

// rolloutChecks records the events of a history and checks the invariants.
type rolloutChecks struct {
	history      *rolloutHistory
	ackedUs      map[int64]int64 // by version, when setting it as the target was acknowledged
	highestFence int64           // highest fencing token of an order
	lastOrderUs  map[string]int64
	holders      map[int64]string // by fencing token
	orders       int64
	started      int64
}

func newRolloutChecks(h *rolloutHistory) rolloutChecks {
	return rolloutChecks{history: h, ackedUs: map[int64]int64{}, lastOrderUs: map[string]int64{}, holders: map[int64]string{}}
}

func (c *rolloutChecks) recordAcknowledged(version int64) {
	if !c.isAcknowledged(version) {
		c.history.kernel.Log("version %d is acknowledged", version)
		c.ackedUs[version] = c.history.kernel.NowUs()
	}
}

func (c *rolloutChecks) isAcknowledged(version int64) bool { return c.ackedUs[version] > 0 }

// boundPassed reports whether a newer version was acknowledged more than boundUs ago.
func (c *rolloutChecks) boundPassed(version, boundUs int64) bool {
	for newer, atUs := range c.ackedUs {
		if newer > version && c.history.kernel.NowUs()-atUs > boundUs {
			return true
		}
	}
	return false
}

// checkRequestStart is called when a request starts to run.
func (c *rolloutChecks) checkRequestStart(e *engine) {
	c.started++
	if c.boundPassed(e.version, oldWeightsBoundUs) {
		c.history.kernel.Fail("a request begins on version %d at %s, later than versionMs after a newer one", e.version, e.id())
	}
}

// checkOrder is called when an order reaches a runner. Orders from a sender that was thawed within
// thawSlackUs are not checked.
func (c *rolloutChecks) checkOrder(e *engine, from *coordinator, fence int64) {
	k, now := c.history.kernel, c.history.kernel.NowUs()
	c.orders++
	if from.thawedUs > 0 && now-from.thawedUs < thawSlackUs {
		return
	}
	if holder, known := c.holders[fence]; known && holder != from.addr {
		k.Fail("%s and %s order under one fence %d", holder, from.addr, fence)
	}
	c.holders[fence] = from.addr
	if fence < c.highestFence {
		k.Fail("%s orders %s under fence %d after %d", from.addr, e.id(), fence, c.highestFence)
	}
	c.highestFence = fence
	for _, other := range sortedKeys(c.lastOrderUs) {
		if other != from.addr && now-c.lastOrderUs[other] < controllerLeaseTimes.LeaseUs {
			k.Fail("%s orders %d us after %s", from.addr, now-c.lastOrderUs[other], other)
		}
	}
	c.lastOrderUs[from.addr] = now
}

// checkOrdered checks that every runner has the newest weights or an order to load them.
func (c *rolloutChecks) checkOrdered() {
	newest := targetOf(c.history.group.register.body)
	for _, e := range c.history.engines {
		if e.up && e.version < newest && e.targetVersion == 0 {
			c.history.kernel.Fail("%s serves on version %d long after %d was named", e.id(), e.version, newest)
		}
	}
}

// checkCompleted checks that every runner serves the newest weights and that every registrar lists it
// as available.
func (c *rolloutChecks) checkCompleted() {
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
