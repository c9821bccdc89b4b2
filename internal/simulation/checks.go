// Checks of the registers during a history, and the counts of its events.

package simulation

import (
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// leaseAct records the last act of a holder of the rollout lease.
type leaseAct struct {
	holder string
	fence  int64
	atUs   int64
}

// checks holds what the checks have observed of each register.
type checks struct {
	cluster      *Cluster
	stamps       [parts]map[int64]string
	newest       [parts]messages.Value
	groupVersion [parts]int64
	addedMembers [parts]map[string]bool // by member id: whether the last group change added it
	holders      map[int64]string       // by fence
	lastActs     map[string]leaseAct    // by holder id
	counts       Counts
}

// Counts count the events of histories, so that tests detect a model in which something never happens.
type Counts struct {
	Histories, Chosen, ConfigsAccepted, ConfigsRejected, Reads, CallsUnclear, GroupChanges, LeaseActs, DisksLost, RunnerHistories, DistributionHistories int64
	RolloutHistories, Orders, RolloutRequestsStarted, LeaseTakeovers                                                                                     int64
	UsageHistories, UsageWindows                                                                                                                         int64
	TallyHistories, TallySent, TallyAcked, TallyAckedCut, TallyNotOwed                                                                                   int64
	RequestHistories, RequestsSent, RequestsRun, RequestRetries, RequestsAnswered, RequestsRejected                                                      int64
	VersionHistories, VersionRequests, NewVersionRequests, VersionsGood, VersionsSettled, VersionsBad, VersionsReverted                                  int64
	HandOvers, OutOfContact, LoadHistories, LoadReports                                                                                                  int64
	QuotaHistories, QuotaRequestsRun, QuotaWithinLimit, QuotaDenied, QuotaOwnerUnknown, QuotaRejectedLate                                                int64
}

// Add adds other to the counts.
func (c *Counts) Add(other Counts) {
	c.Histories += other.Histories
	c.Chosen += other.Chosen
	c.ConfigsAccepted += other.ConfigsAccepted
	c.ConfigsRejected += other.ConfigsRejected
	c.Reads += other.Reads
	c.CallsUnclear += other.CallsUnclear
	c.GroupChanges += other.GroupChanges
	c.LeaseActs += other.LeaseActs
	c.DisksLost += other.DisksLost
	c.RunnerHistories += other.RunnerHistories
	c.RolloutHistories += other.RolloutHistories
	c.Orders += other.Orders
	c.RolloutRequestsStarted += other.RolloutRequestsStarted
	c.LeaseTakeovers += other.LeaseTakeovers
	c.DistributionHistories += other.DistributionHistories
	c.UsageHistories += other.UsageHistories
	c.UsageWindows += other.UsageWindows
	c.TallyHistories += other.TallyHistories
	c.TallySent += other.TallySent
	c.TallyAcked += other.TallyAcked
	c.TallyAckedCut += other.TallyAckedCut
	c.TallyNotOwed += other.TallyNotOwed
	c.QuotaHistories += other.QuotaHistories
	c.QuotaRequestsRun += other.QuotaRequestsRun
	c.QuotaWithinLimit += other.QuotaWithinLimit
	c.QuotaDenied += other.QuotaDenied
	c.QuotaOwnerUnknown += other.QuotaOwnerUnknown
	c.QuotaRejectedLate += other.QuotaRejectedLate
	c.RequestHistories += other.RequestHistories
	c.RequestsSent += other.RequestsSent
	c.RequestsRun += other.RequestsRun
	c.RequestRetries += other.RequestRetries
	c.RequestsAnswered += other.RequestsAnswered
	c.RequestsRejected += other.RequestsRejected
	c.VersionHistories += other.VersionHistories
	c.VersionRequests += other.VersionRequests
	c.NewVersionRequests += other.NewVersionRequests
	c.VersionsGood += other.VersionsGood
	c.VersionsSettled += other.VersionsSettled
	c.VersionsBad += other.VersionsBad
	c.VersionsReverted += other.VersionsReverted
	c.HandOvers += other.HandOvers
	c.OutOfContact += other.OutOfContact
	c.LoadHistories += other.LoadHistories
	c.LoadReports += other.LoadReports
}

// String returns the counts in one line.
func (c Counts) String() string {
	return fmt.Sprintf("%d histories: %d values chosen, %d changes of a group, %d disks lost, %d acts under a lease; "+
		"operators: %d configurations taken, %d refused, %d reads, %d calls unclear; %d histories of runners, %d of configurations; "+
		"%d of rollouts: %d orders, %d requests begun, the lease changed hands %d times; %d of usage: %d windows reported; "+
		"%d of quota: %d requests ran, beside faults %d inside the limit came, %d were denied, %d found no owner, %d were rejected after they had waited for a runner; "+
		"%d of tallies: %d adds sent, %d acknowledged, %d of them during a cut, %d not owed; "+
		"%d of requests: %d sent, %d ran, %d attempts beyond the first, %d answered, %d rejected; %d hand-overs, %d calls refused out of contact; %d of loads: %d reports; "+
		"%d of versions: %d requests, %d to the new version, %d of %d good ones settled, %d of %d bad ones reverted",
		c.Histories, c.Chosen, c.GroupChanges, c.DisksLost, c.LeaseActs, c.ConfigsAccepted, c.ConfigsRejected, c.Reads, c.CallsUnclear, c.RunnerHistories, c.DistributionHistories,
		c.RolloutHistories, c.Orders, c.RolloutRequestsStarted, c.LeaseTakeovers, c.UsageHistories, c.UsageWindows, c.QuotaHistories, c.QuotaRequestsRun, c.QuotaWithinLimit, c.QuotaDenied, c.QuotaOwnerUnknown, c.QuotaRejectedLate,
		c.TallyHistories, c.TallySent, c.TallyAcked, c.TallyAckedCut, c.TallyNotOwed,
		c.RequestHistories, c.RequestsSent, c.RequestsRun, c.RequestRetries, c.RequestsAnswered, c.RequestsRejected, c.HandOvers, c.OutOfContact, c.LoadHistories, c.LoadReports,
		c.VersionHistories, c.VersionRequests, c.NewVersionRequests, c.VersionsSettled, c.VersionsGood, c.VersionsReverted, c.VersionsBad)
}

func newChecks(c *Cluster) *checks {
	out := &checks{cluster: c, holders: map[int64]string{}, lastActs: map[string]leaseAct{}}
	for part := range out.stamps {
		out.stamps[part] = map[int64]string{}
		out.newest[part] = c.initialValue()
	}
	return out
}

// recordChosen is called when a proposer observes that a value is chosen.
func (c *checks) recordChosen(part int, v messages.Value) {
	if old, known := c.stamps[part][v.Version]; known {
		if old != v.Stamp {
			c.cluster.kernel.Fail("two values under version %d of part %d: %s and %s", v.Version, part, old, v.Stamp)
		}
		return
	}
	c.stamps[part][v.Version] = v.Stamp
	c.counts.Chosen++
	c.cluster.kernel.Log("part %d version %d is chosen: %s, group %v", part, v.Version, v.Stamp, v.Group)
	if v.Version <= c.newest[part].Version {
		return
	}
	if !slices.Equal(v.Group, c.newest[part].Group) {
		c.groupVersion[part], c.addedMembers[part] = v.Version, map[string]bool{}
		for _, m := range v.Group {
			c.addedMembers[part][m.ID] = !slices.Contains(c.newest[part].Group, m)
		}
		c.counts.GroupChanges++
		c.checkAddedMembers(part, v)
	}
	c.newest[part] = v
}

// checkAddedMembers checks that each member added to a group has the value before the change on
// disk, unless its disk has been lost since.
func (c *checks) checkAddedMembers(part int, v messages.Value) {
	for _, m := range v.Group {
		node := c.cluster.controllerAt(m.Addr)
		if node.memory {
			c.cluster.kernel.Fail("%s joins part %d at version %d and has no disk", m.ID, part, v.Version)
		}
		identity, _ := node.disk.Durable(identityFile)
		if c.addedMembers[part][m.ID] && string(identity) == m.ID && !node.hasDurably(part, m.ID, v.Version-1) {
			c.cluster.kernel.Fail("%s joins part %d at version %d and does not hold the version before on disk", m.ID, part, v.Version)
		}
	}
}

// checkCommitted is called when a node learns a committed value. A value may be observed here
// first if its proposer stopped before it observed that the value was chosen.
func (c *checks) checkCommitted(node *Controller, part int, v messages.Value) {
	if v.Version > 0 {
		c.recordChosen(part, v)
	}
	known, ok := node.committed(part)
	if ok && known.Version > v.Version {
		c.cluster.kernel.Fail("%s goes back from version %d to %d of part %d", node.addr, known.Version, v.Version, part)
	}
}

// recordAct is called when a holder of the rollout lease acts.
func (c *checks) recordAct(holder string, fence int64) {
	now := c.cluster.kernel.NowUs()
	c.counts.LeaseActs++
	if other, known := c.holders[fence]; known && other != holder {
		c.cluster.kernel.Fail("%s and %s act under one fence %d", other, holder, fence)
	}
	c.holders[fence] = holder
	for _, name := range sortedKeys(c.lastActs) {
		d := c.lastActs[name]
		if name != holder && now-d.atUs < controllerLeaseTimes.LeaseUs {
			c.cluster.kernel.Fail("%s acts under fence %d, %d us after %s under fence %d", holder, fence, now-d.atUs, name, d.fence)
		}
	}
	c.lastActs[holder] = leaseAct{holder, fence, now}
}
