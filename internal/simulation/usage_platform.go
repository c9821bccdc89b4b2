// A model of the platform's API, and the usage checks.

package simulation

import (
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/usage"
)

const (
	platformAddr   = "platform"
	statusAccepted = 200
	statusRefused  = 409
)

// platform accepts usage reports and rejects those with a stale fencing token.
type platform struct {
	history      *usageHistory
	activeFaults int // active faults that make it slow and lose responses
	fence        int64
	holders      map[int64]string           // by fencing token
	accepted     map[int64]map[string]int64 // counts by window
	lastReportUs map[string]int64           // by holder, time of its last report
}

// call sends a report to the platform and returns the response to the sender.
func (p *platform) call(from *reporter, window messages.UsageWindow, fence int64, answered func(status int)) {
	net, back := p.history.network, from.process.InLife
	net.Send(from.addr, platformAddr, func() {
		status := p.handleReport(from, window, fence)
		delayUs := 5 * Millisecond
		if p.activeFaults > 0 {
			delayUs = p.history.kernel.Between(0, 4*Second)
			if p.history.kernel.Chance(300) {
				return
			}
		}
		p.history.kernel.After(delayUs, func() { net.Send(platformAddr, from.addr, back(func() { answered(status) })) })
	})
}

// handleReport checks a report on arrival and returns the status.
func (p *platform) handleReport(from *reporter, window messages.UsageWindow, fence int64) int {
	k, now := p.history.kernel, p.history.kernel.NowUs()
	if holder, known := p.holders[fence]; known && holder != from.addr {
		k.Fail("%s and %s call under one fence %d", holder, from.addr, fence)
	}
	p.holders[fence] = from.addr
	if fence < p.fence {
		return statusRefused
	}
	p.fence = fence
	p.checkHolderOverlap(from, now)
	counts := map[string]int64{}
	for _, t := range window.Counts {
		counts[t.Tenant] = t.Count
	}
	if before, repeated := p.accepted[window.Window]; repeated {
		if !sameCounts(before, counts) {
			k.Fail("window %d is reported with %v and with %v", window.Window, before, counts)
		}
		return statusAccepted
	}
	k.Log("window %d is reported by %s under fence %d: %v", window.Window, from.addr, fence, counts)
	p.accepted[window.Window] = counts
	p.history.checks.checkReported(window.Window, counts)
	return statusAccepted
}

// checkHolderOverlap checks that no two holders send reports within the duration of a lease. A sender
// that was thawed within thawSlackUs is not checked.
func (p *platform) checkHolderOverlap(from *reporter, now int64) {
	if from.thawedUs > 0 && now-from.thawedUs < thawSlackUs {
		return
	}
	for _, other := range sortedKeys(p.lastReportUs) {
		if other != from.addr && now-p.lastReportUs[other] < controllerLeaseTimes.LeaseUs {
			p.history.kernel.Fail("%s reports %d us after %s", from.addr, now-p.lastReportUs[other], other)
		}
	}
	p.lastReportUs[from.addr] = now
}

func sameCounts(a, b map[string]int64) bool {
	if len(a) != len(b) {
		return false
	}
	for tenant, count := range a {
		if b[tenant] != count {
			return false
		}
	}
	return true
}

// usageChecks records the actual requests, to compare reports with.
type usageChecks struct {
	history *usageHistory
	started map[int64]map[string]int64 // started requests by window and tenant
	lost    map[int64]int64            // requests by window that were on no disk when their router was killed
}

// recordStarted is called when a request starts to run.
func (c *usageChecks) recordStarted(tenant string) {
	window := usage.WindowOf(dayStartUs+c.history.kernel.NowUs(), windowUs)
	if c.started[window] == nil {
		c.started[window] = map[string]int64{}
	}
	c.started[window][tenant]++
}

// recordKilled is called just before a router is killed. Requests that are on no controller's disk
// may be lost with it. If all controllers were up for usageUndisturbedUs, these are at most the
// requests of the last usageLossUs, plus usage.ClockWaitUs if the process has started recently.
func (c *usageChecks) recordKilled(m *meter) {
	unstored := int64(0)
	rows, _ := m.counter.RowsSince(0)
	for _, row := range rows {
		if row.Window < c.history.group.register.body.Usage.Next {
			continue // the window is closed
		}
		for _, t := range row.Counts {
			missing := t.Count - c.history.storedCount(row, t.Tenant)
			c.lost[row.Window] += missing
			unstored += missing
		}
	}
	for _, atUs := range m.deferredUs {
		c.lost[usage.WindowOf(dayStartUs+atUs, windowUs)]++
		unstored++
	}
	now, recent := c.history.kernel.NowUs(), int64(0)
	lossUs := usageLossUs
	if now-m.bootUs < usage.ClockWaitUs+usageLossUs {
		lossUs += usage.ClockWaitUs // requests before the time of day was known are sent that much later
	}
	for _, atUs := range m.startTimesUs {
		if now-atUs < lossUs {
			recent++
		}
	}
	if now-c.history.disturbedUs > usageUndisturbedUs && unstored > recent {
		c.history.kernel.Fail("%d requests of %s are on no disk, %d began in the last %d us", unstored, m.addr, recent, lossUs)
	}
}

// storedCount returns the highest count of a tenant in a row on any controller's disk.
func (h *usageHistory) storedCount(row messages.UsageRow, tenant string) int64 {
	stored := int64(0)
	for _, p := range h.reporters {
		for _, copied := range p.storedRows {
			if copied.Window == row.Window && copied.Router == row.Router {
				for _, t := range copied.Counts {
					if t.Tenant == tenant {
						stored = max(stored, t.Count)
					}
				}
			}
		}
	}
	return stored
}

// checkReported checks a window when the platform accepts it.
func (c *usageChecks) checkReported(window int64, counts map[string]int64) {
	// Requests within the clock error of a window's end may be counted in the next window.
	slack := int64(len(c.history.meters)) * 2 * clockToleranceUs / requestEveryUs
	for tenant, count := range counts {
		if truth := c.started[window][tenant]; count > truth+slack {
			c.history.kernel.Fail("window %d has %d requests of %s, %d began", window, count, tenant, truth)
		}
	}
}

// checkComplete checks at the end of a history that every window was reported with all requests
// except those lost with their router.
func (c *usageChecks) checkComplete() {
	k := c.history.kernel
	last := usage.WindowOf(dayStartUs+k.NowUs()-usageDelayUs, windowUs) - 1
	slack := int64(len(c.history.meters)) * 2 * clockToleranceUs / requestEveryUs
	for _, window := range slices.Sorted(maps.Keys(c.started)) {
		if window > last {
			continue
		}
		counts, reported := c.history.platform.accepted[window]
		if !reported {
			k.Fail("window %d was not reported", window)
			return
		}
		total, truth := int64(0), int64(0)
		for _, count := range counts {
			total += count
		}
		for _, count := range c.started[window] {
			truth += count
		}
		if total < truth-c.lost[window]-slack {
			k.Fail("window %d was reported with %d requests, %d began and %d were lost with routers", window, total, truth, c.lost[window])
		}
	}
}
