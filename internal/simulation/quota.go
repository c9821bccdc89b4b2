// Model "quota": shard owners count the requests of rate-limited tenants while group members
// and routers are killed, frozen and partitioned, and a limit is lowered. quota.Member and
// quota.Grantee are the production code; their drivers in packages controller and router are
// reimplemented here.

package simulation

import (
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/quota"
)

// Durations and sizes of a quota history.
const (
	quotaFaultsFrom = 3 * Second
	quotaFaultsUs   = 30 * Second
	quotaRecoveryUs = 10 * Second // after the last fault
	quotaConvergeUs = Second      // for a lowered limit to reach every router
	maxQuotaFaultUs = 5 * Second
	spareMembers    = 2                 // controllers that are not in the group at first
	maxGroupDelayUs = 400 * Millisecond // after a change of the group every member has received it
)

// quotaBounds are the bounds that deployments use.
var quotaBounds = quota.NewBounds(5, 0.1, 20)

// quotaTenant is a tenant with its limit and its request rate.
type quotaTenant struct {
	name   string
	limit  quota.Limit
	demand float64 // request rate as a fraction of the limit; above 1 the tenant exceeds its limit
}

// quotaHistory is the state of one simulated history.
type quotaHistory struct {
	*injector
	defects Defects
	members []*quotaMember
	routers []*quotaRouter
	tenants []*quotaTenant
	checks  *quotaChecks
	group   quota.Group
	// busyUntilUs is the time until which all runners are full.
	busyUntilUs int64
}

// PlayQuota simulates the quota history of a seed. One seed in eight has no faults.
func PlayQuota(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	h := newQuotaHistory(k, options.Defects, 3+2*k.Below(3), 4+k.Below(8))
	h.checks.withoutFaults = k.Below(8) == 0
	if !h.checks.withoutFaults {
		h.scheduleFaults()
	}
	k.RunUntil(quotaFaultsFrom + quotaFaultsUs)
	h.heal()
	k.RunUntil(k.NowUs() + quotaRecoveryUs)
	h.checks.end()
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.checks.counts()}
}

func newQuotaHistory(k *Kernel, defects Defects, members, routers int) *quotaHistory {
	h := &quotaHistory{injector: &injector{kernel: k, network: NewNetwork(k)}, defects: defects}
	h.checks = newQuotaChecks(h)
	h.group.Version = 1
	for i := range members + spareMembers {
		m := &quotaMember{history: h, addr: fmt.Sprintf("c%d", i+1), process: NewProcess(k)}
		h.members = append(h.members, m)
		if i < members {
			h.group.Members = append(h.group.Members, m.addr)
		}
	}
	for _, m := range h.members {
		m.knownGroup = h.group
	}
	for i := range routers {
		h.routers = append(h.routers, &quotaRouter{history: h, addr: fmt.Sprintf("r%d", i+1), process: NewProcess(k)})
	}
	for i, demand := range []float64{0.6, 0.6, 0.6, 4} {
		rate := float64(k.Between(2, 80))
		h.tenants = append(h.tenants, &quotaTenant{
			name: fmt.Sprintf("t%d-%d", i, k.Below(1000)), demand: demand, limit: quota.Limit{Version: 1, RatePerS: rate, Burst: rate},
		})
	}
	for _, m := range h.members {
		m.boot()
	}
	for _, r := range h.routers {
		r.boot()
	}
	for _, t := range h.tenants {
		k.After(2*Second, func() { h.sendRequest(t) })
	}
	return h
}

// sendRequest delivers a request of a tenant to a random router and schedules the next one.
func (h *quotaHistory) sendRequest(t *quotaTenant) {
	if r := h.routers[h.kernel.Below(len(h.routers))]; r.process.Up() {
		h.checks.recordRequest(t)
		r.process.Deliver(func() { r.handleRequest(t, t.limit) })
	}
	meanUs := int64(float64(Second) / (t.limit.RatePerS * t.demand))
	h.kernel.After(h.kernel.Between(0, 2*meanUs), func() { h.sendRequest(t) })
}

// scheduleFaults schedules the faults and the lowering of a limit at random times.
func (h *quotaHistory) scheduleFaults() {
	k := h.kernel
	for range 2 + k.Below(8) {
		atUs, forUs := quotaFaultsFrom+k.Between(0, quotaFaultsUs-maxQuotaFaultUs-Second), k.Between(100*Millisecond, maxQuotaFaultUs)
		k.After(atUs, func() { quotaFaults[k.Below(len(quotaFaults))](h, forUs) })
	}
	k.After(quotaFaultsFrom+k.Between(0, quotaFaultsUs/2), h.lowerLimit)
}

// lowerLimit halves a limit. It applies to requests that reach a router afterwards.
func (h *quotaHistory) lowerLimit() {
	t := h.tenants[h.kernel.Below(len(h.tenants))]
	h.kernel.Log("the limit of %s is lowered", t.name)
	t.limit = quota.Limit{Version: t.limit.Version + 1, RatePerS: t.limit.RatePerS / 2, Burst: t.limit.Burst / 2}
	h.checks.recordLowered(t)
}

// quotaFaults are the faults that plan chooses from; each lasts for forUs.
var quotaFaults = []func(h *quotaHistory, forUs int64){
	(*quotaHistory).killOwner, (*quotaHistory).freezeOwner, (*quotaHistory).cutOwnerOff, (*quotaHistory).cutPair,
	(*quotaHistory).killManyMembers, (*quotaHistory).killAllMembers, (*quotaHistory).cutRouters, (*quotaHistory).freezeRouters,
	(*quotaHistory).killRouters, (*quotaHistory).slowLinks, (*quotaHistory).fillRunners, (*quotaHistory).cutOwnerOffAndRestart,
	(*quotaHistory).replaceMember,
}

// chooseMember returns a member, most often one that owns a tenant's shard.
func (h *quotaHistory) chooseMember() *quotaMember {
	shard := quota.ShardOf(h.tenants[h.kernel.Below(len(h.tenants))].name)
	for _, m := range h.members {
		if m.process.Up() && m.member.Owns(shard, m.process.NowUs()) && h.kernel.Chance(800) {
			return m
		}
	}
	return h.members[h.kernel.Below(len(h.members))]
}

func (h *quotaHistory) kill(m *quotaMember, forUs int64) {
	h.kernel.Log("%s is killed for %d us", m.addr, forUs)
	m.process.Stop()
	h.endFaultAfter(forUs, func() {
		if !m.process.Up() {
			m.boot()
		}
	})
}

func (h *quotaHistory) killOwner(forUs int64) { h.kill(h.chooseMember(), forUs) }

func (h *quotaHistory) killManyMembers(forUs int64) {
	for _, m := range h.members {
		if h.kernel.Chance(500) {
			h.kill(m, min(forUs, 2*Second))
		}
	}
}

// killAllMembers kills all members at once; some restart within less than a lease.
func (h *quotaHistory) killAllMembers(forUs int64) {
	for _, m := range h.members {
		h.kill(m, h.kernel.Between(Millisecond, min(forUs, 2*Second)))
	}
}

func (h *quotaHistory) freeze(p *Process, addr string, forUs int64) {
	h.kernel.Log("%s freezes for %d us", addr, forUs)
	p.Freeze()
	h.endFaultAfter(forUs, p.Thaw)
}

func (h *quotaHistory) freezeOwner(forUs int64) {
	m := h.chooseMember()
	h.freeze(m.process, m.addr, forUs)
}

// cutOwnerOff partitions a member from the others. Routers still reach both sides.
func (h *quotaHistory) cutOwnerOff(forUs int64) {
	m := h.chooseMember()
	h.kernel.Log("%s is cut off from the members for %d us", m.addr, forUs)
	oneWay := h.kernel.Chance(300)
	for _, other := range h.members {
		switch {
		case other == m:
		case oneWay:
			h.cutOneWay(m.addr, other.addr, forUs)
		default:
			h.cutBothWays(m.addr, other.addr, forUs)
		}
	}
}

// cutOwnerOffAndRestart partitions a member from the others, which restart at once.
func (h *quotaHistory) cutOwnerOffAndRestart(forUs int64) {
	m := h.chooseMember()
	h.kernel.Log("%s is cut off for %d us, the others restart", m.addr, forUs)
	for _, other := range h.members {
		if other != m {
			h.cutBothWays(m.addr, other.addr, forUs)
			h.kill(other, h.kernel.Between(Millisecond, 200*Millisecond))
		}
	}
}

// replaceMember replaces a group member, which may be down, by a spare controller.
func (h *quotaHistory) replaceMember(forUs int64) {
	old := h.group.Members[h.kernel.Below(len(h.group.Members))]
	var spares []string
	for _, m := range h.members {
		if !slices.Contains(h.group.Members, m.addr) {
			spares = append(spares, m.addr)
		}
	}
	spare := spares[h.kernel.Below(len(spares))]
	h.kernel.Log("%s takes the place of %s", spare, old)
	members := slices.DeleteFunc(slices.Clone(h.group.Members), func(member string) bool { return member == old })
	members = append(members, spare)
	slices.Sort(members)
	h.group = quota.Group{Version: h.group.Version + 1, Members: members}
	if h.kernel.Chance(500) {
		h.kill(h.memberAt(old), forUs)
	}
	for _, m := range h.members {
		group := h.group
		h.kernel.After(h.kernel.Between(0, maxGroupDelayUs), func() {
			if group.Version > m.knownGroup.Version {
				m.knownGroup = group
			}
		})
	}
}

func (h *quotaHistory) cutPair(forUs int64) {
	m, other := h.chooseMember(), h.members[h.kernel.Below(len(h.members))]
	h.kernel.Log("%s and %s are cut off from each other for %d us", m.addr, other.addr, forUs)
	h.cutBothWays(m.addr, other.addr, forUs)
}

// cutRouters partitions about a third of the routers from all members, or from all but one.
func (h *quotaHistory) cutRouters(forUs int64) {
	spared := h.kernel.Below(2 * len(h.members))
	for _, r := range h.routers {
		if !h.kernel.Chance(333) {
			continue
		}
		h.kernel.Log("%s is cut off from the members for %d us", r.addr, forUs)
		for i, m := range h.members {
			if i != spared {
				h.cutBothWays(r.addr, m.addr, forUs)
			}
		}
	}
}

func (h *quotaHistory) freezeRouters(forUs int64) {
	for _, r := range h.routers {
		if h.kernel.Chance(500) {
			h.freeze(r.process, r.addr, forUs)
		}
	}
}

func (h *quotaHistory) killRouters(forUs int64) {
	for _, r := range h.routers {
		if !h.kernel.Chance(500) {
			continue
		}
		h.kernel.Log("%s is killed", r.addr)
		r.process.Stop()
		h.endFaultAfter(min(forUs, 2*Second), func() {
			if !r.process.Up() {
				r.boot()
			}
		})
	}
}

// slowLinks makes all links between a member and the other members slow and lossy.
func (h *quotaHistory) slowLinks(forUs int64) {
	m := h.chooseMember()
	h.kernel.Log("the links of %s are slow for %d us", m.addr, forUs)
	for _, other := range h.members {
		for _, link := range []*Link{h.network.Link(m.addr, other.addr), h.network.Link(other.addr, m.addr)} {
			link.DelayHighUs, link.LossPerMille = 500*Millisecond, 200
			h.endFaultAfter(forUs, func() {
				*link = Link{Cuts: link.Cuts, LossPerMille: 2, DuplicatePerMille: 2, DelayLowUs: 200, DelayHighUs: 4 * Millisecond}
			})
		}
	}
}

// fillRunners makes all runners full for forUs; then all queued requests may run at once.
func (h *quotaHistory) fillRunners(forUs int64) {
	h.kernel.Log("the runners are full for %d us", forUs)
	h.busyUntilUs = h.kernel.NowUs() + forUs
}

func (h *quotaHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed = true
	h.network.Heal()
	for _, m := range h.members {
		m.process.Thaw()
		if !m.process.Up() {
			m.boot()
		}
	}
	for _, r := range h.routers {
		r.process.Thaw()
		if !r.process.Up() {
			r.boot()
		}
	}
}
