// What a member does as the owner of shards: it counts, and tells its successor.

package quota

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
)

// ownedShard is the counts of a shard that this member owns.
type ownedShard struct {
	accounts  map[string]*account
	inherited map[string]float64 // tokens that the predecessor has left
	copied    copied
}

// stepOwned looks after a shard that is owned.
func (m *Member) stepOwned(shard int, order []string, nowUs int64) {
	c, s := &m.claims[shard], &m.owned[shard]
	if order[0] == m.addr {
		c.awayUs = 0
	} else if c.awayUs == 0 {
		c.awayUs = nowUs
	}
	if c.awayUs > 0 && nowUs-c.awayUs >= returnUs {
		m.giveUp(shard, nowUs)
		c.backUs = nowUs + m.config.LeaseUs
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
		changed = s.copied.reserveFor(a, nowUs) || changed
		s.copied.settle(a, nowUs)
		if nowUs-a.usedUs > idleUs && a.reserve == 0 && a.bucket.level >= a.bucket.capacity {
			delete(s.accounts, tenant)
		}
	}
	if changed {
		s.copied.version++
	}
}

// setSuccessor names who gets the copy. The reserves of an earlier one are free again once
// its copy has expired; there are no new ones before.
func (s *ownedShard) setSuccessor(addr string, nowUs int64) {
	c := &s.copied
	if c.addr == addr {
		return
	}
	c.version++
	for _, a := range s.accounts {
		if a.reserve > 0 && a.releasing == 0 {
			a.releasing, a.releasedUs = c.version, nowUs+copyLifeUs+leaseGuardUs
		}
	}
	if c.addr != "" {
		c.quietUs = nowUs + copyLifeUs + leaseGuardUs
	}
	c.addr, c.acked = addr, 0
}

func (s *ownedShard) copyFor(shard int) messages.QuotaCopy {
	out := messages.QuotaCopy{Shard: shard, Version: s.copied.version}
	if s.copied.acked < s.copied.version {
		out.Whole, out.Reserves = true, reserves(s.accounts)
	}
	return out
}

// HandleAsk grants tokens, if this member owns the tenant's count.
func (m *Member) HandleAsk(ask messages.QuotaAsk, nowUs int64) messages.QuotaGrant {
	shard := ShardOf(ask.Tenant)
	if !m.Owns(shard, nowUs) || !m.claims[shard].held {
		return messages.QuotaGrant{Hint: m.hint(shard, nowUs)}
	}
	s := &m.owned[shard]
	a := m.account(shard, ask, nowUs)
	a.bucket.refill(nowUs)
	s.copied.settle(a, nowUs)
	if s.copied.reserveFor(a, nowUs) {
		s.copied.version++
	}
	need := max(ask.Need, 0)
	granted := a.grant(need, max(ask.Want, need), nowUs)
	if s.copied.reserveFor(a, nowUs) {
		s.copied.version++
	}
	if a.releasing > s.copied.acked && nowUs-m.urgentUs >= urgentEveryUs {
		m.urgent, m.urgentUs = true, nowUs
	}
	return messages.QuotaGrant{Owner: true, Granted: granted, WaitUs: a.bucket.waitUs(a.reserve)}
}

// hint is the address of a shard's owner, as far as this member knows.
func (m *Member) hint(shard int, nowUs int64) string {
	if holder := m.voter.holder(shard, nowUs); !strings.HasPrefix(holder, m.addr+"/") {
		return AddrOf(holder)
	}
	return ""
}

// account returns a tenant's account, with the limit of the newest configuration that is
// known of. What the tenant used before this member owned the shard is not known: a new
// account has what was inherited and what has come in since.
func (m *Member) account(shard int, ask messages.QuotaAsk, nowUs int64) *account {
	s := &m.owned[shard]
	limit := Limit{Version: ask.Version, RatePerS: ask.RatePerS, Burst: ask.Burst}
	a := s.accounts[ask.Tenant]
	if a == nil {
		sinceS := float64(nowUs-m.claims[shard].heldUs) / 1e6
		first := max(s.inherited[ask.Tenant], m.config.Bounds.Allowance(limit).Initial)
		a = newAccount(m.config.Bounds, limit, first+limit.RatePerS*sinceS, nowUs)
		s.accounts[ask.Tenant] = a
		delete(s.inherited, ask.Tenant)
		return a
	}
	if limit.Version > a.limit.Version {
		a.bucket.refill(nowUs)
		a.setLimit(m.config.Bounds, limit)
	}
	return a
}

// Conditions returns the accounts of the shards that this member owns.
func (m *Member) Conditions(nowUs int64) []messages.QuotaCondition {
	var out []messages.QuotaCondition
	for shard := range Shards {
		if !m.Owns(shard, nowUs) {
			continue
		}
		s := &m.owned[shard]
		for tenant, a := range s.accounts {
			a.bucket.refill(nowUs)
			out = append(out, messages.QuotaCondition{
				Tenant: tenant, Successor: s.copied.addr, RatePerS: a.limit.RatePerS, Level: a.bucket.level, Granted: a.granted, Denied: a.denied,
			})
		}
	}
	slices.SortFunc(out, func(a, b messages.QuotaCondition) int { return strings.Compare(a.Tenant, b.Tenant) })
	return out
}
