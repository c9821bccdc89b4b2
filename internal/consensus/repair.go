// RepairCoordinator decides when this controller changes the group of one
// register, and with whom. It is a pure state machine: time and what is seen
// come in as arguments, and the next step comes back.
//
// Every counted controller runs one. Whoever has contact with a majority and
// sees the need acts after a delay by rank, so that one who cannot act holds
// nobody up; where two act at once, agreement settles it. A group is proposed
// only once each newcomer in it, and a majority of the group that is and of the
// one that is to be, have said from their disks that they hold the value that
// the change builds on.
package consensus

import (
	"beechtide.org/beechtide/internal/messages"
)

// Waits of a repair, in microseconds.
const (
	// RankDelayUs is how much longer each rank waits than the one before it.
	RankDelayUs = 600_000
	// PatienceUs is how long a member that is asked may take to say that it holds
	// the value before others are preferred, or the change goes on without it.
	ConfirmTimeoutUs = 1_500_000
	// PauseUs is how long a coordinator may go unasked. After more, the process
	// stood still: what it saw is old, and others have had the time to act.
	MaxStepGapUs = 3_000_000
)

// RepairView is what a controller sees of one register.
type RepairView struct {
	Self      string         // own address
	Base      messages.Value // the newest committed value known
	Status    Status
	Contact   bool // a majority of the group is in contact
	DiskFault bool // the own disk refused the last write
	Leaving   bool // this process is about to end
}

// RepairStep is what to do next: ask members to confirm that they hold the base
// on disk, or propose a group on the base.
type RepairStep struct {
	Confirm []messages.Member
	Propose []messages.Member
	Version int64 // of the base
}

// RepairCoordinator is the state of one register's repairs at one controller.
type RepairCoordinator struct {
	group          []messages.Member
	proposed       []messages.Member
	joining        []messages.Member // taken in by the last change, not yet confirmed
	proposedHere   bool              // the last change was proposed here
	needed         bool
	neededSinceUs  int64 // when the need was first seen
	lastStepUs     int64 // when Step was called last
	version        int64
	confirmed      map[string]bool  // members that hold version on disk
	waitingSinceUs map[string]int64 // since when a member has been asked in vain
}

// Kept notes that a member has said that it holds a version on its disk.
func (c *RepairCoordinator) Kept(id string, version int64) {
	if version == c.version && c.confirmed != nil {
		c.confirmed[id] = true
		delete(c.waitingSinceUs, id)
	}
}

// Complete tells whether the change that led to this group is complete: if it was
// made here, its newcomers have said that they hold its outcome on disk.
func (c *RepairCoordinator) Complete(group []messages.Member) bool {
	return sameGroup(c.group, group) && (!c.proposedHere || len(c.withoutConfirmed(c.joining)) == 0)
}

// Awaited names the members that have been asked to confirm and have not yet.
func (c *RepairCoordinator) Awaited() []string {
	var out []string
	for id := range c.waitingSinceUs {
		out = append(out, id)
	}
	return out
}

func (c *RepairCoordinator) withoutConfirmed(list []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range list {
		if !c.confirmed[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// Step gives what to do now, and false where there is nothing.
func (c *RepairCoordinator) Step(nowUs int64, v RepairView) (RepairStep, bool) {
	paused := c.lastStepUs > 0 && nowUs-c.lastStepUs > MaxStepGapUs
	c.lastStepUs = nowUs
	c.observe(v)
	want, needed := c.targetGroup(nowUs, v)
	if !needed {
		c.needed = false
		return c.confirmJoining(nowUs, v)
	}
	if !c.needed {
		c.needed, c.neededSinceUs = true, nowUs
	}
	if paused {
		c.neededSinceUs = nowUs + RankDelayUs
	}
	dueUs, may := c.dueUs(v)
	if !may || nowUs < dueUs {
		return RepairStep{}, false
	}
	missing, ready := c.missingConfirmations(want, v, nowUs-dueUs >= ConfirmTimeoutUs)
	if !ready {
		return c.requestConfirmation(nowUs, missing)
	}
	c.proposed = want
	return RepairStep{Propose: want, Version: c.version}, true
}

// see takes in a newer base. What was confirmed of an older one counts no more,
// and a change of the group starts the wait by rank anew.
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

// want is the group that is needed. A newcomer that has been asked in vain for
// long is passed over where another one will do.
func (c *RepairCoordinator) targetGroup(nowUs int64, v RepairView) ([]messages.Member, bool) {
	if len(c.waitingSinceUs) > 0 {
		if want, needed := targetGroupFor(v, c.withoutUnresponsive(nowUs, v)); needed {
			return want, true
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

func (c *RepairCoordinator) withoutUnresponsive(nowUs int64, v RepairView) Status {
	s := v.Status
	s.Ready = nil
	silent := map[string]bool{}
	for _, m := range v.Status.Ready {
		asked, waiting := c.waitingSinceUs[m.ID]
		if waiting && nowUs-asked >= ConfirmTimeoutUs && !containsMember(v.Base.Group, m.ID) {
			silent[m.Addr] = true
			continue
		}
		s.Ready = append(s.Ready, m)
	}
	s.GoneFor = func(addr string) int64 {
		if silent[addr] {
			return s.GoneUs // the member that was there has lost its identity
		}
		return v.Status.GoneFor(addr)
	}
	return s
}

// dueUs is when this controller may act on the need, by its rank among the
// counted controllers alive. One whose disk is in fault comes after all others.
func (c *RepairCoordinator) dueUs(v RepairView) (int64, bool) {
	if !v.Contact {
		return 0, false
	}
	if v.Leaving {
		return c.neededSinceUs, true
	}
	rank, among := 0, false
	for _, m := range v.Status.Ready {
		if m.Addr < v.Self {
			rank++
		}
		among = among || m.Addr == v.Self
	}
	if v.DiskFault {
		rank += len(v.Status.Ready)
	}
	return c.neededSinceUs + int64(rank)*RankDelayUs, among
}

// unconfirmed lists who is still to be asked, and tells whether the change may be
// proposed: each newcomer and a majority of both groups have confirmed, and so
// have those whom the last change took in, unless they are gone or have been
// asked in vain until patience is over.
func (c *RepairCoordinator) missingConfirmations(want []messages.Member, v RepairView, patienceOver bool) (missing []messages.Member, ready bool) {
	candidates := addedMembers(v.Base.Group, want)
	for _, m := range c.withoutConfirmed(unionOf(v.Base.Group, want)) {
		if containsMember(v.Status.Ready, m.ID) || containsMember(candidates, m.ID) || m.Addr == v.Self {
			missing = append(missing, m)
		}
	}
	if len(c.withoutConfirmed(candidates)) > 0 || !c.hasQuorum(v.Base.Group) || !c.hasQuorum(want) {
		return missing, false
	}
	for _, m := range c.withoutConfirmed(c.joining) {
		if containsMember(v.Status.Ready, m.ID) && !patienceOver {
			return missing, false
		}
	}
	return nil, true
}

func (c *RepairCoordinator) hasQuorum(group []messages.Member) bool {
	n := 0
	for _, m := range group {
		if c.confirmed[m.ID] {
			n++
		}
	}
	return n > len(group)/2
}

// finish asks the newcomers of the last change, if it was made here, until each
// has said that it holds the outcome.
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

func (c *RepairCoordinator) requestConfirmation(nowUs int64, list []messages.Member) (RepairStep, bool) {
	for _, m := range list {
		if _, waiting := c.waitingSinceUs[m.ID]; !waiting {
			c.waitingSinceUs[m.ID] = nowUs
		}
	}
	return RepairStep{Confirm: list, Version: c.version}, len(list) > 0
}

func sameGroup(a, b []messages.Member) bool {
	return len(a) == len(b) && len(addedMembers(a, b)) == 0
}

// added lists who is in the second group and not in the first.
func addedMembers(before, after []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range after {
		if !containsMember(before, m.ID) {
			out = append(out, m)
		}
	}
	return out
}

func memberAt(list []messages.Member, addr string) messages.Member {
	for _, m := range list {
		if m.Addr == addr {
			return m
		}
	}
	return messages.Member{}
}
