// Schedule of the faults of a history, drawn from the seed.

package simulation

// Phases of a history: a calm start, in which every register accepts its first value,
// then faults, then time to recover. Also the shortest and longest duration of a fault.
const (
	calmPhaseUs  = 1_500 * Millisecond
	faultPhaseUs = 10 * Second
	recoveryUs   = 6 * Second
	minFaultUs   = 100 * Millisecond
	maxFaultUs   = 5 * Second
)

// fault is one kind of fault. Its weight determines how often it is drawn.
type fault struct {
	weight int
	inject func(c *Cluster, victim *Controller, forUs int64)
	// recordsFault is set for a fault that records its own disturbance.
	recordsFault bool
}

var faults = []fault{
	{weight: 3, inject: (*Cluster).crashFor},
	{weight: 2, inject: (*Cluster).losePowerFor},
	{weight: 2, inject: (*Cluster).loseAllPower},
	{weight: 3, inject: (*Cluster).freezeFor},
	{weight: 3, inject: (*Cluster).cutOffFor},
	{weight: 3, inject: (*Cluster).cutOneWayFor},
	{weight: 3, inject: (*Cluster).cutSomeFor},
	{weight: 2, inject: (*Cluster).degradeAllLinksFor},
	{weight: 2, inject: (*Cluster).stallDiskFor},
	{weight: 1, inject: (*Cluster).fillDiskFor},
	{weight: 1, inject: (*Cluster).slowDiskFor},
	{weight: 4, inject: (*Cluster).wipeDiskFor},
	{weight: 1, inject: (*Cluster).slowAllDisksFor},
	{weight: 4, inject: (*Cluster).deferAllPowerLoss},
	{weight: 2, inject: (*Cluster).deferWipe},
	{weight: 2, inject: (*Cluster).deferCrashAll},
	{weight: 1, inject: (*Cluster).stepClock},
	{weight: 4, inject: (*Cluster).shutDownFor, recordsFault: true},
}

// scheduleFaults draws and schedules the faults of a history.
func (c *Cluster) scheduleFaults() {
	k := c.kernel
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for range 2 + k.Below(9) {
		draw, chosen := k.Below(total), 0
		for draw >= faults[chosen].weight {
			draw -= faults[chosen].weight
			chosen++
		}
		forUs := k.Between(minFaultUs, maxFaultUs)
		if k.Chance(300) {
			forUs = k.Between(1, minFaultUs)
		}
		k.After(calmPhaseUs+k.Between(0, faultPhaseUs), func() {
			if !c.healed {
				faults[chosen].inject(c, c.controllers[k.Below(len(c.controllers))], forUs)
				if !faults[chosen].recordsFault {
					c.recordFault(forUs)
				}
			}
		})
	}
}

// endFaultAfter ends a fault after a time, unless heal has ended it before.
func (c *Cluster) endFaultAfter(forUs int64, end func()) {
	c.kernel.After(forUs, func() {
		if !c.healed {
			end()
		}
	})
}

func (c *Cluster) crashFor(victim *Controller, forUs int64) {
	c.crash(victim)
	c.endFaultAfter(forUs, func() { c.restart(victim) })
}

func (c *Cluster) losePowerFor(victim *Controller, forUs int64) {
	c.losePower(victim)
	c.endFaultAfter(forUs, func() { c.restart(victim) })
}

func (c *Cluster) loseAllPower(_ *Controller, forUs int64) {
	for _, node := range c.controllers {
		c.losePower(node)
		c.endFaultAfter(c.kernel.Between(0, forUs), func() { c.restart(node) })
	}
}

func (c *Cluster) freezeFor(victim *Controller, forUs int64) {
	c.kernel.Log("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	c.endFaultAfter(forUs, victim.process.Thaw)
}

// cutOffFor partitions one controller from all others. Operators still reach it.
func (c *Cluster) cutOffFor(victim *Controller, forUs int64) {
	c.kernel.Log("%s is cut off for %d us", victim.addr, forUs)
	for _, other := range c.controllers {
		c.cutLink(victim.addr, other.addr, forUs)
		c.cutLink(other.addr, victim.addr, forUs)
	}
}

// cutOneWayFor cuts either all links to a controller from the others, or all links from it to them.
func (c *Cluster) cutOneWayFor(victim *Controller, forUs int64) {
	inbound := c.kernel.Chance(500)
	c.kernel.Log("%s is cut off one way for %d us, deaf: %v", victim.addr, forUs, inbound)
	for _, other := range c.controllers {
		if inbound {
			c.cutLink(other.addr, victim.addr, forUs)
		} else {
			c.cutLink(victim.addr, other.addr, forUs)
		}
	}
}

// cutSomeFor cuts a random subset of the links, so that indirect paths may remain.
func (c *Cluster) cutSomeFor(_ *Controller, forUs int64) {
	c.kernel.Log("some links are cut for %d us", forUs)
	for _, a := range c.controllers {
		for _, b := range c.controllers {
			if a != b && c.kernel.Chance(300) {
				c.cutLink(a.addr, b.addr, forUs)
			}
		}
	}
}

func (c *Cluster) cutLink(from, to string, forUs int64) {
	if from == to {
		return
	}
	l := c.network.Link(from, to)
	l.Cuts++
	c.endFaultAfter(forUs, func() { l.Cuts-- })
}

// degradeAllLinksFor makes every link lose, duplicate, delay and reorder messages.
func (c *Cluster) degradeAllLinksFor(_ *Controller, forUs int64) {
	c.kernel.Log("a storm for %d us", forUs)
	names := []string{}
	for _, node := range c.controllers {
		names = append(names, node.addr)
	}
	for _, o := range c.operators {
		names = append(names, o.name)
	}
	loss := c.kernel.Below(400)
	for _, from := range names {
		for _, to := range names {
			l := c.network.Link(from, to)
			l.LossPerMille, l.DuplicatePerMille, l.DelayHighUs = loss, 100, 150*Millisecond
			c.endFaultAfter(forUs, func() {
				cuts := l.Cuts
				*l = ordinaryLink()
				l.Cuts = cuts
			})
		}
	}
}

func (c *Cluster) stallDiskFor(victim *Controller, forUs int64) {
	c.kernel.Log("the disk of %s stalls for %d us", victim.addr, forUs)
	victim.disk.Stalled = true
	c.endFaultAfter(forUs, victim.disk.Resume)
}

func (c *Cluster) fillDiskFor(victim *Controller, forUs int64) {
	c.kernel.Log("the disk of %s is full for %d us", victim.addr, forUs)
	victim.disk.Full = true
	c.endFaultAfter(forUs, func() { victim.disk.Full = false })
}

func (c *Cluster) slowDiskFor(victim *Controller, forUs int64) {
	c.kernel.Log("the disk of %s is slow for %d us", victim.addr, forUs)
	victim.disk.ExtraDelayUs = c.kernel.Between(10*Millisecond, 400*Millisecond)
	c.endFaultAfter(forUs, func() { victim.disk.ExtraDelayUs = 0 })
}

// wipeDiskFor wipes a disk if the design guarantees that its loss is tolerated in this state.
func (c *Cluster) wipeDiskFor(victim *Controller, forUs int64) {
	if !c.toleratesLossOf(victim) {
		return
	}
	c.checks.counts.DisksLost++
	c.wipe(victim)
	c.endFaultAfter(forUs, func() { c.restart(victim) })
}

func (c *Cluster) slowAllDisksFor(_ *Controller, forUs int64) {
	for _, node := range c.controllers {
		c.slowDiskFor(node, forUs)
	}
}

// deferFault defers a fault until an operator next receives the acknowledgement of a change.
func (c *Cluster) deferFault(inject func()) { c.deferredFaults = append(c.deferredFaults, inject) }

// injectDeferredFaults injects the deferred faults, when an operator has received an acknowledgement.
func (c *Cluster) injectDeferredFaults() {
	if c.healed {
		return
	}
	deferred := c.deferredFaults
	c.deferredFaults = nil
	for _, inject := range deferred {
		c.recordFault(maxFaultUs)
		inject()
	}
}

func (c *Cluster) deferAllPowerLoss(victim *Controller, forUs int64) {
	c.deferFault(func() { c.loseAllPower(victim, forUs) })
}

func (c *Cluster) deferWipe(victim *Controller, forUs int64) {
	c.deferFault(func() { c.wipeDiskFor(victim, forUs) })
}

func (c *Cluster) deferCrashAll(_ *Controller, forUs int64) {
	c.deferFault(func() {
		for _, node := range c.controllers {
			c.crashFor(node, c.kernel.Between(0, forUs))
		}
	})
}

func (c *Cluster) stepClock(victim *Controller, _ int64) {
	const hour = 3600 * Second
	victim.process.StepTimeOfDay(c.kernel.Between(-hour, hour))
}
