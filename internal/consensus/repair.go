package consensus

import "beechtide.org/beechtide/internal/messages"

// Delays of a repair, in microseconds.
const (
	// RankDelayUs is how much longer a controller waits than the one ranked before it.
	RankDelayUs = 600_000
	// ConfirmTimeoutUs is how long a member may take to confirm that it has the value on
	// disk, before other candidates are preferred or the change proceeds without it.
	ConfirmTimeoutUs = 1_500_000
	// MaxStepGapUs is the longest interval between two calls of Step. After a longer one
	// the process was suspended: its view is stale, and others had time to act.
	MaxStepGapUs = 3_000_000
)

// RepairView is a controller's view of one register.
type RepairView struct {
	Self            string         // own address
	Base            messages.Value // the newest committed value that this controller has learned
	Status          Status
	QuorumReachable bool // a majority of the group is reachable
	DiskFault       bool // this controller's last write to disk failed
	Leaving         bool // this process is shutting down
}

// RepairStep is the next action: request confirmations that members have the base on
// disk, or propose a group on top of the base.
type RepairStep struct {
	Confirm []messages.Member // to request confirmations from
	Propose []messages.Member // the group to propose
	Version int64             // of the base
}

// RepairCoordinator decides when this controller changes the group of one register,
// and to which group. It is a pure state machine: its inputs are the time and the view,
// and its output is the next step. It is not safe for concurrent use. The zero value is
// ready for use.
//
// Every counted controller runs one. A controller that reaches a majority and finds
// that the group must change acts after a delay by its rank, so that a controller that
// can't act does not block the others; if two act at once, consensus decides between
// them. A group is proposed only once each member that joins, and a majority of both the
// current and the next group, have confirmed that they have the base of the change on
// disk.
type RepairCoordinator struct {
	group    []messages.Member // of the newest base seen
	version  int64             // of that base
	proposed []messages.Member // the group that this controller proposed on that base
	joining  []messages.Member // joined by the last membership change, not confirmed yet

	proposedHere  bool  // the last membership change was proposed by this controller
	needed        bool  // a membership change is needed
	neededSinceUs int64 // when the change was first found to be needed
	lastStepUs    int64 // when Step was last called

	confirmed      map[string]bool  // identities that have confirmed the version on disk
	waitingSinceUs map[string]int64 // by identity: since when a confirmation is outstanding
}

// RecordConfirmation records that a member has confirmed that it has a version on disk.
func (c *RepairCoordinator) RecordConfirmation(id string, version int64) {
	if version == c.version && c.confirmed != nil {
		c.confirmed[id] = true
		delete(c.waitingSinceUs, id)
	}
}

// Complete reports whether the change that led to this group is complete. If this
// controller proposed it, that requires that the members that joined have confirmed the
// resulting value on disk.
func (c *RepairCoordinator) Complete(group []messages.Member) bool {
	return sameGroup(c.group, group) && (!c.proposedHere || len(c.withoutConfirmed(c.joining)) == 0)
}

// PendingConfirmations returns the identities whose confirmation is outstanding, in no particular
// order.
func (c *RepairCoordinator) PendingConfirmations() []string {
	var out []string
	for id := range c.waitingSinceUs {
		out = append(out, id)
	}
	return out
}

// withoutConfirmed returns the members that have not confirmed.
func (c *RepairCoordinator) withoutConfirmed(members []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range members {
		if !c.confirmed[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// Step returns the next action, and false if there is none at this time.
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
	dueUs, allowed := c.dueUs(v)
	if !allowed || nowUs < dueUs {
		return RepairStep{}, false
	}
	missing, ready := c.missingConfirmations(target, v, nowUs-dueUs >= ConfirmTimeoutUs)
	if !ready {
		return c.requestConfirmation(nowUs, missing)
	}
	c.proposed = target
	return RepairStep{Propose: target, Version: c.version}, true
}

// observe adopts a newer base. Confirmations of an older base are discarded, and a
// change of the group restarts the delay by rank.
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

// targetGroup returns the group to change to, and false if no change is needed. A
// candidate that has not confirmed in time is skipped if there is another one.
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

// withoutUnresponsive returns the status without the candidates that have not confirmed
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
	status.UnreachableFor = func(addr string) int64 {
		if unresponsive[addr] {
			return status.UnreachableTimeoutUs // the member at this address was wiped and has a new identity
		}
		return v.Status.UnreachableFor(addr)
	}
	return status
}

// dueUs returns when this controller may act on the needed change, by its rank among
// the ready controllers in the order of addresses, and false if it may not act. A
// controller with a disk fault ranks after all others; one that is shutting down acts at
// once.
func (c *RepairCoordinator) dueUs(v RepairView) (int64, bool) {
	if !v.QuorumReachable {
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

// missingConfirmations returns the members whose confirmation is still to be requested,
// and reports whether the change may be proposed: each member that joins and a majority
// of both groups have confirmed, and so have the members that joined by the last change,
// unless they are not ready or timedOut is set.
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

// confirmJoining requests confirmations from the members that joined by the last change,
// if this controller proposed it, until each has confirmed the resulting value on disk.
func (c *RepairCoordinator) confirmJoining(nowUs int64, v RepairView) (RepairStep, bool) {
	c.joining = c.withoutConfirmed(c.joining)
	if !c.proposedHere || len(c.joining) == 0 {
		clear(c.waitingSinceUs)
		return RepairStep{}, false
	}
	if !v.QuorumReachable {
		return RepairStep{}, false
	}
	var ready []messages.Member
	for _, m := range c.joining {
		if containsMember(v.Status.Ready, m.ID) {
			ready = append(ready, m)
		}
	}
	return c.requestConfirmation(nowUs, ready)
}

// requestConfirmation returns the step that requests a confirmation of the base from
// members, and starts their timeouts.
func (c *RepairCoordinator) requestConfirmation(nowUs int64, members []messages.Member) (RepairStep, bool) {
	for _, m := range members {
		if _, waiting := c.waitingSinceUs[m.ID]; !waiting {
			c.waitingSinceUs[m.ID] = nowUs
		}
	}
	return RepairStep{Confirm: members, Version: c.version}, len(members) > 0
}
