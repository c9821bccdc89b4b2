package quota

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Times of leases, in microseconds.
const (
	// LeaseUs is how long a vote lasts: a successor takes over that much after its
	// predecessor was last heard.
	LeaseUs = int64(500_000)
	// TickUs is how often claims are renewed, so that two in a row may be lost.
	TickUs = int64(125_000)
	// leaseGuardUs is by how much an owner ends its lease before its voters do: clocks run
	// differently, by far less.
	leaseGuardUs = int64(30_000)
	// copyLifeUs is for how long a successor may use reserves after it has heard from the
	// owner: until it has the lease, with a margin.
	copyLifeUs = int64(1_200_000)
	// reachUs is after how long without an answer a member counts as out of reach.
	reachUs = 3 * TickUs
	// claimUs is how long a claim without a majority is kept up.
	claimUs = 2 * TickUs
	// returnUs is for how long a member has to be there again before it gets its shards
	// back.
	returnUs = int64(4_000_000)
	// groupUs is for how long after a change of the group the votes of the one before count
	// as well: until its members know of the change, and votes of before have expired.
	groupUs = 2 * LeaseUs
	// urgentEveryUs is how often claims are sent at most for a copy that cannot wait: a
	// successor that does not answer must not be asked with every question.
	urgentEveryUs = int64(20_000)
	// idleUs is after how long without a request an account is forgotten.
	idleUs = int64(30_000_000)
)

// Config is what a member is.
type Config struct {
	// Self is the member's name, ADDRESS/PROCESS; the part behind the slash is another with
	// each start.
	Self   string
	Bounds Bounds
	// StartUs is when the process started.
	StartUs int64
	// LeaseUs is the time of a lease; 0: the constant of this name.
	LeaseUs int64
}

// Member is a controller's part.
type Member struct {
	config   Config
	addr     string
	voter    voter
	claims   [Shards]claim
	owned    [Shards]ownedShard
	copies   [Shards]heldCopy
	group    Group
	before   []string         // the members of the group before
	beforeUs int64            // until when their votes count as well
	answered map[string]int64 // when they last answered
	seq      int64
	urgent   bool  // a copy should be sent now
	urgentUs int64 // when that was last so
	released []int
}

// Group is those who vote.
type Group struct {
	Version int64    // of the register that has the group
	Members []string // addresses, in order
}

// hash names a group of members.
func (g Group) hash() uint64 { return statesync.HashText("group", strings.Join(g.Members, " ")) }

func (g Group) has(member string) bool { return slices.Contains(g.Members, member) }

// Outgoing is a claim for another member.
type Outgoing struct {
	To    string
	Claim messages.QuotaClaim
}

// NewMember returns a member that owns nothing.
func NewMember(config Config) *Member {
	if config.LeaseUs == 0 {
		config.LeaseUs = LeaseUs
	}
	return &Member{
		config: config, addr: AddrOf(config.Self), answered: map[string]int64{},
		voter: voter{leaseUs: config.LeaseUs, startUs: config.StartUs},
	}
}

// Owns reports whether this member owns a shard now.
func (m *Member) Owns(shard int, nowUs int64) bool {
	return m.claims[shard].holds(m.groups(nowUs), m.config.LeaseUs, nowUs)
}

// groups returns the groups of which an owner needs a majority each.
func (m *Member) groups(nowUs int64) [][]string {
	if len(m.group.Members) == 0 {
		return nil
	}
	if nowUs < m.beforeUs {
		return [][]string{m.group.Members, m.before}
	}
	return [][]string{m.group.Members}
}

// Owned returns the shards that this member owns now.
func (m *Member) Owned(nowUs int64) []int {
	var out []int
	for shard := range Shards {
		if m.Owns(shard, nowUs) {
			out = append(out, shard)
		}
	}
	return out
}

// Urgent reports whether Tick should be called at once, and not with the next period.
func (m *Member) Urgent() bool { return m.urgent }

// Tick renews the claims of what this member owns, claims what nobody does, and gives up
// what another should own. It returns what is to be sent to the other members of the
// group.
func (m *Member) Tick(group Group, nowUs int64) []Outgoing {
	m.urgent = false
	m.setGroup(group, nowUs)
	if !m.group.has(m.addr) {
		m.abandon(nowUs)
		return nil
	}
	reachable := m.reachable(nowUs)
	for shard := range Shards {
		m.stepShard(shard, Order(shard, reachable), nowUs)
	}
	m.seq++
	own := m.claimFor(m.addr, nowUs)
	m.HandleVotes(m.addr, m.HandleClaim(own, nowUs), nowUs, nowUs)
	out := m.claimsForOthers(nowUs)
	m.released = nil
	return out
}

// claimsForOthers makes the claims for the other members, also for those of the group before
// while their votes count.
func (m *Member) claimsForOthers(nowUs int64) []Outgoing {
	var out []Outgoing
	for _, group := range m.groups(nowUs) {
		for _, member := range group {
			known := slices.ContainsFunc(out, func(o Outgoing) bool { return o.To == member })
			if member != m.addr && !known {
				out = append(out, Outgoing{To: member, Claim: m.claimFor(member, nowUs)})
			}
		}
	}
	return out
}

// setGroup takes the group. Majorities of two groups need not meet, so for a while the group
// before counts as well: its members refuse the claims of those who do not know of the
// change once they know of it themselves.
func (m *Member) setGroup(group Group, nowUs int64) {
	if group.Version < m.group.Version {
		return
	}
	if len(m.group.Members) > 0 && !slices.Equal(group.Members, m.group.Members) {
		m.before, m.beforeUs = m.group.Members, nowUs+groupUs
	}
	m.group = Group{Version: group.Version, Members: slices.Clone(group.Members)}
}

// abandon ends all claims of a member that is in the group no longer.
func (m *Member) abandon(nowUs int64) {
	for shard := range Shards {
		m.giveUp(shard, nowUs)
	}
	m.released = nil
}

// reachable returns the members that have answered a short while ago, and this one.
func (m *Member) reachable(nowUs int64) []string {
	var out []string
	for _, member := range m.group.Members {
		atUs, ever := m.answered[member]
		if member == m.addr || ever && nowUs-atUs < reachUs {
			out = append(out, member)
		}
	}
	return out
}

// stepShard decides on the claim of a shard, given the reachable members in the order in
// which they should own it.
func (m *Member) stepShard(shard int, order []string, nowUs int64) {
	c := &m.claims[shard]
	switch {
	case c.active && m.Owns(shard, nowUs):
		m.stepOwned(shard, order, nowUs)
	case c.active && (c.held || nowUs-c.begunUs >= claimUs):
		m.giveUp(shard, nowUs)
		c.backUs = nowUs + TickUs*int64(slices.Index(order, m.addr))
	case !c.active && nowUs >= c.backUs && m.voter.freeForUs(shard, nowUs) > TickUs*int64(slices.Index(order, m.addr)):
		c.begin(nowUs)
	}
}

// giveUp ends the claim of a shard.
func (m *Member) giveUp(shard int, nowUs int64) {
	if !m.claims[shard].active {
		return
	}
	m.claims[shard].end(nowUs)
	m.owned[shard] = ownedShard{}
	m.released = append(m.released, shard)
}

// Leave gives up everything, as the process is about to end. What it returns is to be
// sent to the other members.
func (m *Member) Leave(nowUs int64) []Outgoing {
	for shard := range Shards {
		m.giveUp(shard, nowUs)
	}
	m.seq++
	out := m.claimsForOthers(nowUs)
	m.group.Members = nil
	return out
}

// claimFor makes the claim for a member.
func (m *Member) claimFor(member string, nowUs int64) messages.QuotaClaim {
	out := messages.QuotaClaim{From: m.config.Self, Seq: m.seq, Released: m.released, GroupVersion: m.group.Version, GroupHash: m.group.hash()}
	for shard := range Shards {
		if !m.claims[shard].active {
			continue
		}
		out.Shards = append(out.Shards, shard)
		s := &m.owned[shard]
		if s.copied.addr == member && member != m.addr && m.Owns(shard, nowUs) {
			out.Copies = append(out.Copies, s.copyFor(shard))
		}
	}
	return out
}

// HandleClaim votes on a claim of a member.
func (m *Member) HandleClaim(c messages.QuotaClaim, nowUs int64) messages.QuotaVotes {
	votes := messages.QuotaVotes{Granted: []int{}}
	if len(m.group.Members) == 0 || c.GroupVersion < m.group.Version && c.GroupHash != m.group.hash() {
		return votes // the claimant does not know of a change of the group
	}
	for _, shard := range c.Released {
		if validShard(shard) {
			m.voter.release(shard, c.From, c.Seq, nowUs)
		}
	}
	for _, shard := range c.Shards {
		if validShard(shard) && m.vote(shard, c, nowUs) {
			votes.Granted = append(votes.Granted, shard)
		}
	}
	for _, copied := range c.Copies {
		if slices.Contains(votes.Granted, copied.Shard) && m.takeCopy(c.From, copied, nowUs) {
			votes.Copied = append(votes.Copied, messages.QuotaCopy{Shard: copied.Shard, Version: copied.Version})
		}
	}
	return votes
}

// vote votes for the claimant of a shard, unless another has the vote. What is here of the
// reserves of an earlier owner is then dropped: it has no say any more.
func (m *Member) vote(shard int, c messages.QuotaClaim, nowUs int64) bool {
	if !m.voter.grant(shard, c.From, c.Seq, nowUs) {
		return false
	}
	if held := &m.copies[shard]; held.owner != c.From && c.From != m.config.Self {
		*held = heldCopy{}
	}
	return true
}

func validShard(shard int) bool { return shard >= 0 && shard < Shards }

// HandleVotes takes the answer of a member to the claim that was sent to it at sentUs.
func (m *Member) HandleVotes(member string, votes messages.QuotaVotes, sentUs, nowUs int64) {
	m.answered[member] = max(m.answered[member], nowUs)
	for _, shard := range votes.Granted {
		if !validShard(shard) {
			continue
		}
		c := &m.claims[shard]
		if c.held && !m.Owns(shard, nowUs) {
			m.giveUp(shard, nowUs) // the lease has expired in between, and another may have had it
		}
		c.voted(member, sentUs)
		if c.active && !c.held && m.Owns(shard, nowUs) {
			c.held, c.heldUs = true, nowUs
			m.inherit(shard, nowUs)
		}
	}
	for _, copied := range votes.Copied {
		if !validShard(copied.Shard) {
			continue
		}
		s := &m.owned[copied.Shard]
		if s.copied.addr == member {
			s.copied.acked = max(s.copied.acked, copied.Version)
		}
	}
}
