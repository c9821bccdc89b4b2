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
	PatienceUs = 1_500_000
	// PauseUs is how long a coordinator may go unasked. After more, the process
	// stood still: what it saw is old, and others have had the time to act.
	PauseUs = 3_000_000
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
	group    []messages.Member
	proposed []messages.Member
	joining  []messages.Member // taken in by the last change, not yet confirmed
	mine     bool              // the last change was proposed here
	needed   bool
	needUs   int64 // when the need was first seen
	lastUs   int64 // when Step was called last
	version  int64
	kept     map[string]bool  // members that hold version on disk
	askedUs  map[string]int64 // since when a member has been asked in vain
}

// Kept notes that a member has said that it holds a version on its disk.
func (c *RepairCoordinator) Kept(id string, version int64) {
	if version == c.version && c.kept != nil {
		c.kept[id] = true
		delete(c.askedUs, id)
	}
}

// Complete tells whether the change that led to this group is complete: if it was
// made here, its newcomers have said that they hold its outcome on disk.
func (c *RepairCoordinator) Complete(group []messages.Member) bool {
	return sameGroup(c.group, group) && (!c.mine || len(c.unkept(c.joining)) == 0)
}

// Awaited names the members that have been asked to confirm and have not yet.
func (c *RepairCoordinator) Awaited() []string {
	var out []string
	for id := range c.askedUs {
		out = append(out, id)
	}
	return out
}

func (c *RepairCoordinator) unkept(list []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range list {
		if !c.kept[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// Step gives what to do now, and false where there is nothing.
func (c *RepairCoordinator) Step(nowUs int64, v RepairView) (RepairStep, bool) {
	paused := c.lastUs > 0 && nowUs-c.lastUs > PauseUs
	c.lastUs = nowUs
	c.see(v)
	want, needed := c.want(nowUs, v)
	if !needed {
		c.needed = false
		return c.finish(nowUs, v)
	}
	if !c.needed {
		c.needed, c.needUs = true, nowUs
	}
	if paused {
		c.needUs = nowUs + RankDelayUs
	}
	dueUs, may := c.dueUs(v)
	if !may || nowUs < dueUs {
		return RepairStep{}, false
	}
	missing, ready := c.unconfirmed(want, v, nowUs-dueUs >= PatienceUs)
	if !ready {
		return c.ask(nowUs, missing)
	}
	c.proposed = want
	return RepairStep{Propose: want, Version: c.version}, true
}

// see takes in a newer base. What was confirmed of an older one counts no more,
// and a change of the group starts the wait by rank anew.
func (c *RepairCoordinator) see(v RepairView) {
	if c.kept == nil || c.version != v.Base.Version {
		c.version, c.kept = v.Base.Version, map[string]bool{}
	}
	if sameGroup(c.group, v.Base.Group) {
		return
	}
	c.joining, c.askedUs = nil, map[string]int64{}
	if len(c.group) > 0 {
		c.joining = added(c.group, v.Base.Group)
	}
	c.mine = sameGroup(c.proposed, v.Base.Group)
	c.group, c.proposed, c.needed = v.Base.Group, nil, false
}

// want is the group that is needed. A newcomer that has been asked in vain for
// long is passed over where another one will do.
func (c *RepairCoordinator) want(nowUs int64, v RepairView) ([]messages.Member, bool) {
	if len(c.askedUs) > 0 {
		if want, needed := wantedGroup(v, c.withoutSilent(nowUs, v)); needed {
			return want, true
		}
	}
	return wantedGroup(v, v.Status)
}

func wantedGroup(v RepairView, s Status) ([]messages.Member, bool) {
	if v.Leaving {
		return HandOver(v.Base.Group, v.Self, s)
	}
	return Regroup(v.Base.Group, s)
}

func (c *RepairCoordinator) withoutSilent(nowUs int64, v RepairView) Status {
	s := v.Status
	s.Ready = nil
	silent := map[string]bool{}
	for _, m := range v.Status.Ready {
		asked, waiting := c.askedUs[m.ID]
		if waiting && nowUs-asked >= PatienceUs && !has(v.Base.Group, m.ID) {
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
		return c.needUs, true
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
	return c.needUs + int64(rank)*RankDelayUs, among
}

// unconfirmed lists who is still to be asked, and tells whether the change may be
// proposed: each newcomer and a majority of both groups have confirmed, and so
// have those whom the last change took in, unless they are gone or have been
// asked in vain until patience is over.
func (c *RepairCoordinator) unconfirmed(want []messages.Member, v RepairView, patienceOver bool) (missing []messages.Member, ready bool) {
	newcomers := added(v.Base.Group, want)
	for _, m := range c.unkept(union(v.Base.Group, want)) {
		if has(v.Status.Ready, m.ID) || has(newcomers, m.ID) || m.Addr == v.Self {
			missing = append(missing, m)
		}
	}
	if len(c.unkept(newcomers)) > 0 || !c.most(v.Base.Group) || !c.most(want) {
		return missing, false
	}
	for _, m := range c.unkept(c.joining) {
		if has(v.Status.Ready, m.ID) && !patienceOver {
			return missing, false
		}
	}
	return nil, true
}

func (c *RepairCoordinator) most(group []messages.Member) bool {
	n := 0
	for _, m := range group {
		if c.kept[m.ID] {
			n++
		}
	}
	return n > len(group)/2
}

// finish asks the newcomers of the last change, if it was made here, until each
// has said that it holds the outcome.
func (c *RepairCoordinator) finish(nowUs int64, v RepairView) (RepairStep, bool) {
	c.joining = c.unkept(c.joining)
	if !c.mine || len(c.joining) == 0 {
		clear(c.askedUs)
		return RepairStep{}, false
	}
	if !v.Contact {
		return RepairStep{}, false
	}
	var alive []messages.Member
	for _, m := range c.joining {
		if has(v.Status.Ready, m.ID) {
			alive = append(alive, m)
		}
	}
	return c.ask(nowUs, alive)
}

func (c *RepairCoordinator) ask(nowUs int64, list []messages.Member) (RepairStep, bool) {
	for _, m := range list {
		if _, waiting := c.askedUs[m.ID]; !waiting {
			c.askedUs[m.ID] = nowUs
		}
	}
	return RepairStep{Confirm: list, Version: c.version}, len(list) > 0
}

func sameGroup(a, b []messages.Member) bool {
	return len(a) == len(b) && len(added(a, b)) == 0
}

// added lists who is in the second group and not in the first.
func added(before, after []messages.Member) []messages.Member {
	var out []messages.Member
	for _, m := range after {
		if !has(before, m.ID) {
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
