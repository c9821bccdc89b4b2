package consensus

import "beechtide.org/beechtide/internal/messages"

// Delays of a repair, in microseconds.
const (
	// RankDelayUs is how much longer each rank waits than the one before it.
	RankDelayUs = 600_000
	// ConfirmTimeoutUs is how long a member may take to confirm that it has the value,
	// before other candidates are preferred or the change goes on without it.
	ConfirmTimeoutUs = 1_500_000
	// MaxStepGapUs is how long a coordinator may go without a call of Step. After a longer
	// gap the process was suspended: what it saw is old, and others had time to act.
	MaxStepGapUs = 3_000_000
)

// RepairView is a controller's view of one register.
type RepairView struct {
	Self      string         // own address
	Base      messages.Value // the newest committed value known
	Status    Status
	Contact   bool // a majority of the group is reachable
	DiskFault bool // this controller's disk refused the last write
	Leaving   bool // this process is shutting down
}

// RepairStep is what to do next: ask members to confirm that they have the base on
// disk, or propose a group on top of the base.
type RepairStep struct {
	Confirm []messages.Member
	Propose []messages.Member
	Version int64 // of the base
}

// RepairCoordinator decides when this controller changes the group of one register,
// and to what. It is a pure state machine: time and the view come in as arguments,
// and the next step comes back. It is not safe for concurrent use. The zero value is
// ready.
//
// Every counted controller runs one. A controller that reaches a majority and sees the
// need for a change acts after a delay by its rank, so that one that can't act holds
// up nobody; if two act at once, consensus decides between them. A group is proposed
// only once each member that joins, and a majority of both the current and the next
// group, have confirmed that they have the base of the change on disk.
type RepairCoordinator struct {
	group    []messages.Member // of the newest base seen
	version  int64             // of that base
	proposed []messages.Member // the group that was proposed here on that base
	joining  []messages.Member // joined by the last membership change, not confirmed yet

	proposedHere  bool  // the last membership change was proposed here
	needed        bool  // a change is needed
	neededSinceUs int64 // when the need was first seen
	lastStepUs    int64 // when Step was called last

	confirmed      map[string]bool  // identities that have version on disk
	waitingSinceUs map[string]int64 // by identity: since when a confirmation is outstanding
}

// Kept records that a member has confirmed that it has a version on disk.
func (c *RepairCoordinator) Kept(id string, version int64) {
	if version == c.version && c.confirmed != nil {
		c.confirmed[id] = true
		delete(c.waitingSinceUs, id)
	}
}

// Complete reports whether the change that led to this group is complete: if it was
// proposed here, the members that joined have confirmed that they have its outcome
// on disk.
func (c *RepairCoordinator) Complete(group []messages.Member) bool {
	return sameGroup(c.group, group) && (!c.proposedHere || len(c.withoutConfirmed(c.joining)) == 0)
}

// Awaited returns the identities whose confirmation is outstanding, in no particular
// order.
func (c *RepairCoordinator) Awaited() []string {
	var out []string
	for id := range c.waitingSinceUs {
		out = append(out, id)
	}
	return out
}

// withoutConfirmed lists the members that have not confirmed.
func (c *RepairCoordinator) withoutConfirmed(list []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range list {
		if !c.confirmed[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// Step returns what to do now, and false if there is nothing to do.
func (c *RepairCoordinator) Step(nowUs int64, v RepairView) (RepairStep, bool) {
	suspended := c.lastStepUs > 0 && nowUs-c.lastStepUs > MaxStepGapUs
	c.lastStepUs = nowUs
	c.observe(v)
	target, needed := c.targetGroup(nowUs, v)
	if !needed {
		c.needed = false
		return c.confirmJoining(nowUs, v)
	}
	if !c.needed {
		c.needed, c.neededSinceUs = true, nowUs
	}
	if suspended {
		c.neededSinceUs = nowUs + RankDelayUs
	}
	dueUs, may := c.dueUs(v)
	if !may || nowUs < dueUs {
		return RepairStep{}, false
	}
	missing, ready := c.missingConfirmations(target, v, nowUs-dueUs >= ConfirmTimeoutUs)
	if !ready {
		return c.requestConfirmation(nowUs, missing)
	}
	c.proposed = target
	return RepairStep{Propose: target, Version: c.version}, true
}

// observe adopts a newer base. Confirmations of an older one no longer count, and
// a change of the group restarts the delay by rank.
func (c *RepairCoordinator) observe(v RepairView) {
	if c.confirmed == nil || c.version != v.Base.Version {
		c.version, c.confirmed = v.Base.Version, map[string]bool{}
	}
	if sameGroup(c.group, v.Base.Group) {
		return
	}
	c.joining, c.waitingSinceUs = nil, map[string]int64{}
	if len(c.group) > 0 {
		c.joining = addedMembers(c.group, v.Base.Group)
	}
	c.proposedHere = sameGroup(c.proposed, v.Base.Group)
	c.group, c.proposed, c.needed = v.Base.Group, nil, false
}

// targetGroup is the group that is needed. A candidate that has not confirmed in time is
// passed over if there is another one.
func (c *RepairCoordinator) targetGroup(nowUs int64, v RepairView) ([]messages.Member, bool) {
	if len(c.waitingSinceUs) > 0 {
		if target, needed := targetGroupFor(v, c.withoutUnresponsive(nowUs, v)); needed {
			return target, true
		}
	}
	return targetGroupFor(v, v.Status)
}

func targetGroupFor(v RepairView, s Status) ([]messages.Member, bool) {
	if v.Leaving {
		return HandOver(v.Base.Group, v.Self, s)
	}
	return RepairGroup(v.Base.Group, s)
}

// withoutUnresponsive is the status without the candidates that have not confirmed
// in time.
func (c *RepairCoordinator) withoutUnresponsive(nowUs int64, v RepairView) Status {
	status := v.Status
	status.Ready = nil
	unresponsive := map[string]bool{} // by address
	for _, m := range v.Status.Ready {
		sinceUs, waiting := c.waitingSinceUs[m.ID]
		if waiting && nowUs-sinceUs >= ConfirmTimeoutUs && !containsMember(v.Base.Group, m.ID) {
			unresponsive[m.Addr] = true
			continue
		}
		status.Ready = append(status.Ready, m)
	}
	status.GoneFor = func(addr string) int64 {
		if unresponsive[addr] {
			return status.GoneUs // the member that was there has lost its identity
		}
		return v.Status.GoneFor(addr)
	}
	return status
}

// dueUs is when this controller may act on the need, by its rank among the ready
// controllers in the order of addresses, and false if it may not act. A controller
// whose disk is at fault comes after all others; one that shuts down acts at once.
func (c *RepairCoordinator) dueUs(v RepairView) (int64, bool) {
	if !v.Contact {
		return 0, false
	}
	if v.Leaving {
		return c.neededSinceUs, true
	}
	rank, eligible := 0, false
	for _, m := range v.Status.Ready {
		if m.Addr < v.Self {
			rank++
		}
		eligible = eligible || m.Addr == v.Self
	}
	if v.DiskFault {
		rank += len(v.Status.Ready)
	}
	return c.neededSinceUs + int64(rank)*RankDelayUs, eligible
}

// missingConfirmations returns the members that are still to be asked, and reports whether
// the change may be proposed: each member that joins and a majority of both groups
// have confirmed, and so have those that joined by the last change, unless they are
// gone or timedOut is set.
func (c *RepairCoordinator) missingConfirmations(target []messages.Member, v RepairView, timedOut bool) (missing []messages.Member, ready bool) {
	joining := addedMembers(v.Base.Group, target)
	for _, m := range c.withoutConfirmed(unionOf(v.Base.Group, target)) {
		if containsMember(v.Status.Ready, m.ID) || containsMember(joining, m.ID) || m.Addr == v.Self {
			missing = append(missing, m)
		}
	}
	if len(c.withoutConfirmed(joining)) > 0 || !isMajority(v.Base.Group, c.confirmed) || !isMajority(target, c.confirmed) {
		return missing, false
	}
	for _, m := range c.withoutConfirmed(c.joining) {
		if containsMember(v.Status.Ready, m.ID) && !timedOut {
			return missing, false
		}
	}
	return nil, true
}

// confirmJoining asks the members that joined by the last change, if that was proposed
// here, until each has confirmed that it has the outcome on disk.
func (c *RepairCoordinator) confirmJoining(nowUs int64, v RepairView) (RepairStep, bool) {
	c.joining = c.withoutConfirmed(c.joining)
	if !c.proposedHere || len(c.joining) == 0 {
		clear(c.waitingSinceUs)
		return RepairStep{}, false
	}
	if !v.Contact {
		return RepairStep{}, false
	}
	var alive []messages.Member
	for _, m := range c.joining {
		if containsMember(v.Status.Ready, m.ID) {
			alive = append(alive, m)
		}
	}
	return c.requestConfirmation(nowUs, alive)
}

// requestConfirmation asks members to confirm the base, and starts their timeouts.
func (c *RepairCoordinator) requestConfirmation(nowUs int64, list []messages.Member) (RepairStep, bool) {
	for _, m := range list {
		if _, waiting := c.waitingSinceUs[m.ID]; !waiting {
			c.waitingSinceUs[m.ID] = nowUs
		}
	}
	return RepairStep{Confirm: list, Version: c.version}, len(list) > 0
}
