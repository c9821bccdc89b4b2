package simulation

import "beechtide.org/beechtide/internal/quota"

// quotaRun is a request that ran.
type quotaRun struct {
	atUs int64
	// allowed is how many may run in the window that begins with it.
	allowed float64
}

// quotaTally is what has been seen of a tenant.
type quotaTally struct {
	runs      []quotaRun // of the newest window
	first     quota.Limit
	loweredUs int64
	asked     int64
	denied    int64
	unknown   int64
	late      int64 // rejected as their tokens had expired while they waited for a runner
	ran       int64
}

// quotaChecks checks the bound over every window, and that what is inside the limit is not
// rejected where nothing fails.
type quotaChecks struct {
	history *quotaHistory
	calm    bool // no fault is played
	tallies map[*quotaTenant]*quotaTally
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

func (c *quotaChecks) asked(t *quotaTenant) { c.tally(t).asked++ }

func (c *quotaChecks) lowered(t *quotaTenant) { c.tally(t).loweredUs = c.history.kernel.NowUs() }

func (c *quotaChecks) rejected(t *quotaTenant, denied bool) {
	if denied {
		c.tally(t).denied++
	} else {
		c.tally(t).unknown++
	}
}

func (c *quotaChecks) rejectedLate(t *quotaTenant) { c.tally(t).late++ }

// answered checks that nobody else owns the shard of a member that has answered as owner.
func (c *quotaChecks) answered(owner *quotaMember, shard int) {
	for _, other := range c.history.members {
		if other != owner && other.process.Up() && other.member.Owns(shard, other.process.NowUs()) {
			c.history.kernel.Fail("%s answers as the owner of shard %d, which %s owns", owner.addr, shard, other.addr)
		}
	}
}

// ran records that a request has run, and checks every window that it is in.
func (c *quotaChecks) ran(t *quotaTenant) {
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

// Bounds of what may be rejected of a tenant inside its limit where nothing fails: links
// lose a message now and then.
const (
	mostRejectedPerMille = 2
	mostRejectedBeside   = 2
)

// end checks what was rejected where nothing failed, and that tenants over their limit were
// served up to it.
func (c *quotaChecks) end() {
	if !c.calm {
		return
	}
	for t, tally := range c.tallies {
		switch {
		case t.demand < 1 && 1000*(tally.denied+tally.unknown-mostRejectedBeside) > mostRejectedPerMille*tally.asked:
			c.history.kernel.Fail("%s: %d of %d requests inside the limit were denied and %d found no owner, with no fault", t.name, tally.denied, tally.asked, tally.unknown)
		case t.demand > 1 && float64(tally.ran) < 0.9*t.limit.RatePerS*float64(quotaFaultsUs)/float64(Second):
			c.history.kernel.Fail("%s: only %d requests of a tenant over its limit of %.0f a second ran", t.name, tally.ran, t.limit.RatePerS)
		}
	}
}

// counts sums up the tenants that stay inside their limit.
func (c *quotaChecks) counts() Counts {
	out := Counts{QuotaHistories: 1}
	for t, tally := range c.tallies {
		if t.demand < 1 && !c.calm {
			out.QuotaWithinLimit += tally.asked
			out.QuotaDenied += tally.denied
			out.QuotaOwnerUnknown += tally.unknown
			out.QuotaRejectedLate += tally.late
		}
		out.QuotaRequestsRun += tally.ran
	}
	return out
}
