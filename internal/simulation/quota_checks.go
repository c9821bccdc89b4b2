package simulation

import "beechtide.org/beechtide/internal/quota"

// quotaRun records a request that ran.
type quotaRun struct {
	atUs int64
	// allowed is the number of requests that may run in the window that starts with this one.
	allowed float64
}

// quotaTally records the requests of a tenant by outcome.
type quotaTally struct {
	runs      []quotaRun // in the latest window
	first     quota.Limit
	loweredUs int64
	asked     int64
	denied    int64
	unknown   int64
	expired   int64 // rejected as their tokens had expired while they waited for a runner
	ran       int64
}

// quotaChecks checks the bound on requests over every window, and that without faults requests
// within the limit are not rejected.
type quotaChecks struct {
	history       *quotaHistory
	withoutFaults bool // no faults are injected
	tallies       map[*quotaTenant]*quotaTally
}

func newQuotaChecks(h *quotaHistory) *quotaChecks {
	return &quotaChecks{history: h, tallies: map[*quotaTenant]*quotaTally{}}
}

func (c *quotaChecks) tally(t *quotaTenant) *quotaTally {
	if c.tallies[t] == nil {
		c.tallies[t] = &quotaTally{first: t.limit}
	}
	return c.tallies[t]
}

func (c *quotaChecks) recordRequest(t *quotaTenant) { c.tally(t).asked++ }

func (c *quotaChecks) recordLowered(t *quotaTenant) { c.tally(t).loweredUs = c.history.kernel.NowUs() }

func (c *quotaChecks) recordRejected(t *quotaTenant, denied bool) {
	if denied {
		c.tally(t).denied++
	} else {
		c.tally(t).unknown++
	}
}

func (c *quotaChecks) recordExpired(t *quotaTenant) { c.tally(t).expired++ }

// checkOwner checks that no other member owns the shard of a member that answered as its owner.
func (c *quotaChecks) checkOwner(owner *quotaMember, shard int) {
	for _, other := range c.history.members {
		if other != owner && other.process.Up() && other.member.Owns(shard, other.process.NowUs()) {
			c.history.kernel.Fail("%s answers as the owner of shard %d, which %s owns", owner.addr, shard, other.addr)
		}
	}
}

// recordRun records that a request ran and checks the oldest window that contains it.
func (c *quotaChecks) recordRun(t *quotaTenant) {
	tally, nowUs := c.tally(t), c.history.kernel.NowUs()
	tally.ran++
	limit := t.limit
	if tally.loweredUs > 0 && nowUs < tally.loweredUs+quotaConvergeUs+quotaBounds.WindowUs {
		limit = tally.first
	}
	for len(tally.runs) > 0 && nowUs-tally.runs[0].atUs > quotaBounds.WindowUs {
		tally.runs = tally.runs[1:]
	}
	windowS := float64(quotaBounds.WindowUs) / float64(Second)
	allowed := (limit.RatePerS*windowS+limit.Burst)*(1+quotaBounds.Overshoot) + quotaBounds.Slack
	tally.runs = append(tally.runs, quotaRun{nowUs, allowed})
	if most := tally.runs[0].allowed; float64(len(tally.runs)) > most {
		c.history.kernel.Fail("%s: %d requests ran in the window that began at %d us, %.0f may", t.name, len(tally.runs), tally.runs[0].atUs, most)
	}
}

// Bounds on the rejected requests of a tenant within its limit when there are no faults: links
// still lose an occasional message.
const (
	maxRejectedPerMille    = 2
	allowedExtraRejections = 2
)

// end checks, for histories without faults, the number of rejected requests and that tenants
// over their limit were served up to the limit.
func (c *quotaChecks) end() {
	if !c.withoutFaults {
		return
	}
	for t, tally := range c.tallies {
		switch {
		case t.demand < 1 && 1000*(tally.denied+tally.unknown-allowedExtraRejections) > maxRejectedPerMille*tally.asked:
			c.history.kernel.Fail("%s: %d of %d requests inside the limit were denied and %d found no owner, with no fault", t.name, tally.denied, tally.asked, tally.unknown)
		case t.demand > 1 && float64(tally.ran) < 0.9*t.limit.RatePerS*float64(quotaFaultsUs)/float64(Second):
			c.history.kernel.Fail("%s: only %d requests of a tenant over its limit of %.0f a second ran", t.name, tally.ran, t.limit.RatePerS)
		}
	}
}

// counts adds up the counts of the tenants. Outcomes are counted for tenants within their limit
// in histories with faults, requests that ran for all.
func (c *quotaChecks) counts() Counts {
	out := Counts{QuotaHistories: 1}
	for t, tally := range c.tallies {
		if t.demand < 1 && !c.withoutFaults {
			out.QuotaWithinLimit += tally.asked
			out.QuotaDenied += tally.denied
			out.QuotaOwnerUnknown += tally.unknown
			out.QuotaRejectedLate += tally.expired
		}
		out.QuotaRequestsRun += tally.ran
	}
	return out
}
