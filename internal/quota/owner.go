// The owner of a shard counts the requests of its tenants and sends the reserves to its
// successor.

package quota

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
)

// ownedShard is the state of a shard that this member owns.
type ownedShard struct {
	accounts      map[string]*account
	inherited     map[string]float64 // by tenant: tokens that the predecessor has reserved
	successorCopy successorCopy
}

// maintainOwned updates the successor and the reserves of a shard that this member owns
// and deletes idle accounts. It releases the shard if another member has been first in
// the order for failbackDelayUs.
func (m *Member) maintainOwned(shard int, order []string, nowUs int64) {
	c, s := &m.claims[shard], &m.owned[shard]
	if order[0] == m.addr {
		c.outrankedSinceUs = 0
	} else if c.outrankedSinceUs == 0 {
		c.outrankedSinceUs = nowUs
	}
	if c.outrankedSinceUs > 0 && nowUs-c.outrankedSinceUs >= failbackDelayUs {
		m.releaseShard(shard, nowUs)
		c.retryAtUs = nowUs + m.config.LeaseUs
		return
	}
	successor := ""
	for _, member := range order {
		if member != m.addr {
			successor = member
			break
		}
	}
	s.setSuccessor(successor, nowUs)
	changed := false
	for tenant, a := range s.accounts {
		a.bucket.refill(nowUs)
		changed = s.successorCopy.updateReserve(a, nowUs) || changed
		s.successorCopy.finishRelease(a, nowUs)
		if nowUs-a.lastUsedUs > accountIdleUs && a.reserve == 0 && a.bucket.level >= a.bucket.capacity {
			delete(s.accounts, tenant)
		}
	}
	if changed {
		s.successorCopy.version++
	}
}

// setSuccessor sets the member that receives the copy. The reserves of an earlier
// successor are released once its copy has expired; no new reserve is set before that.
func (s *ownedShard) setSuccessor(addr string, nowUs int64) {
	c := &s.successorCopy
	if c.addr == addr {
		return
	}
	c.version++
	for _, a := range s.accounts {
		if a.reserve > 0 && a.releasingVersion == 0 {
			a.releasingVersion, a.releaseByUs = c.version, nowUs+copyLifetimeUs+leaseMarginUs
		}
	}
	if c.addr != "" {
		c.noReserveUntilUs = nowUs + copyLifetimeUs + leaseMarginUs
	}
	c.addr, c.acked = addr, 0
}

func (s *ownedShard) buildCopy(shard int) messages.QuotaCopy {
	out := messages.QuotaCopy{Shard: shard, Version: s.successorCopy.version}
	if s.successorCopy.acked < s.successorCopy.version {
		out.Whole, out.Reserves = true, activeReserves(s.accounts)
	}
	return out
}

// HandleAsk grants tokens if this member owns the tenant's shard. Otherwise it returns the
// owner's address as a hint.
func (m *Member) HandleAsk(request messages.QuotaAsk, nowUs int64) messages.QuotaGrant {
	shard := ShardOf(request.Tenant)
	if !m.Owns(shard, nowUs) || !m.claims[shard].wasHeld {
		return messages.QuotaGrant{Hint: m.ownerHint(shard, nowUs)}
	}
	s := &m.owned[shard]
	a := m.account(shard, request, nowUs)
	a.bucket.refill(nowUs)
	s.successorCopy.finishRelease(a, nowUs)
	if s.successorCopy.updateReserve(a, nowUs) {
		s.successorCopy.version++
	}
	need := max(request.Need, 0)
	granted := a.grant(need, max(request.Want, need), nowUs)
	if s.successorCopy.updateReserve(a, nowUs) {
		s.successorCopy.version++
	}
	if a.releasingVersion > s.successorCopy.acked && nowUs-m.lastUrgentUs >= minUrgentIntervalUs {
		m.urgent, m.lastUrgentUs = true, nowUs
	}
	return messages.QuotaGrant{Owner: true, Granted: granted, WaitUs: a.bucket.waitUs(a.reserve)}
}

// ownerHint returns the address of the member that has this member's vote for a shard;
// empty if that is this member or none.
func (m *Member) ownerHint(shard int, nowUs int64) string {
	if holder := m.voter.holder(shard, nowUs); !strings.HasPrefix(holder, m.addr+"/") {
		return AddrOf(holder)
	}
	return ""
}

// account returns a tenant's account, with the limit of the newest configuration version
// received. This member has no record of what the tenant used before it owned the shard:
// a new account starts with the inherited or initial tokens and those accrued since.
func (m *Member) account(shard int, request messages.QuotaAsk, nowUs int64) *account {
	s := &m.owned[shard]
	limit := Limit{Version: request.Version, RatePerS: request.RatePerS, Burst: request.Burst}
	a := s.accounts[request.Tenant]
	if a == nil {
		sinceS := float64(nowUs-m.claims[shard].heldSinceUs) / 1e6
		initial := max(s.inherited[request.Tenant], m.config.Bounds.Allowance(limit).Initial)
		a = newAccount(m.config.Bounds, limit, initial+limit.RatePerS*sinceS, nowUs)
		s.accounts[request.Tenant] = a
		delete(s.inherited, request.Tenant)
		return a
	}
	if limit.Version > a.limit.Version {
		a.bucket.refill(nowUs)
		a.setLimit(m.config.Bounds, limit)
	}
	return a
}

// Conditions returns the state of the accounts of all shards that this member owns, by
// tenant.
func (m *Member) Conditions(nowUs int64) []messages.QuotaCondition {
	var out []messages.QuotaCondition
	for shard := range ShardCount {
		if !m.Owns(shard, nowUs) {
			continue
		}
		s := &m.owned[shard]
		for tenant, a := range s.accounts {
			a.bucket.refill(nowUs)
			out = append(out, messages.QuotaCondition{
				Tenant: tenant, Successor: s.successorCopy.addr, RatePerS: a.limit.RatePerS, Level: a.bucket.level, Granted: a.granted, Denied: a.denied,
			})
		}
	}
	slices.SortFunc(out, func(a, b messages.QuotaCondition) int { return strings.Compare(a.Tenant, b.Tenant) })
	return out
}
