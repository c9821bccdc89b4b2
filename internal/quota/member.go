package quota

import (
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Times of leases, in microseconds.
const (
	// LeaseUs is how long a vote lasts: a successor takes over this long after the voters
	// received the last claim of its predecessor.
	LeaseUs = int64(500_000)
	// ClaimIntervalUs is the interval at which claims are renewed; a lease survives the loss
	// of two renewals in a row.
	ClaimIntervalUs = int64(125_000)
	// leaseMarginUs is how much earlier an owner's lease expires than the votes for it. Clock
	// drift during a lease is far smaller.
	leaseMarginUs = int64(30_000)
	// copyLifetimeUs is how long after the owner's last message a successor may use the
	// reserves: the time until it has acquired the lease, with a margin.
	copyLifetimeUs = int64(1_200_000)
	// unreachableAfterUs is how long after its last answer a member counts as unreachable.
	unreachableAfterUs = 3 * ClaimIntervalUs
	// claimTimeoutUs is how long a claim without a majority is renewed before it is
	// released.
	claimTimeoutUs = 2 * ClaimIntervalUs
	// failbackDelayUs is how long a member must be reachable again before it regains its
	// shards.
	failbackDelayUs = int64(4_000_000)
	// previousGroupUs is how long after a change of the group a majority of the previous
	// group is required as well: until its members have received the change and the votes
	// that they cast before have expired.
	previousGroupUs = 2 * LeaseUs
	// minUrgentIntervalUs is the minimum interval between claims that are sent early to
	// update a copy: a successor that does not answer must not receive one for every token
	// request.
	minUrgentIntervalUs = int64(20_000)
	// accountIdleUs is how long after its last request an account may be deleted.
	accountIdleUs = int64(30_000_000)
)

// Config is the configuration of a Member.
type Config struct {
	// Self is the member's identity, ADDRESS/PROCESS; the part after the slash is different
	// for each process.
	Self   string
	Bounds Bounds
	// StartUs is when the process started.
	StartUs int64
	// LeaseUs is the duration of a lease; 0: the constant LeaseUs.
	LeaseUs int64
}

// Member is a controller as a claimant, voter, owner and successor of shards. The caller
// calls Tick every ClaimIntervalUs and delivers the claims and votes.
type Member struct {
	config          Config
	addr            string
	voter           voter
	claims          [ShardCount]claim
	owned           [ShardCount]ownedShard
	receivedCopies  [ShardCount]receivedCopy
	group           Group
	previousMembers []string         // members of the previous group
	previousUntilUs int64            // until when a majority of them is required as well
	answeredUs      map[string]int64 // by member: when it last answered a claim
	seq             int64            // of the newest claim
	urgent          bool             // a copy should be sent without waiting for the next tick
	lastUrgentUs    int64            // when urgent was last set
	released        []int            // shards released since the last claim
}

// Group is the set of members that vote.
type Group struct {
	Version int64    // of the register that stores the group
	Members []string // addresses, in order
}

// hash identifies the members of a group, regardless of its version.
func (g Group) hash() uint64 { return statesync.HashText("group", strings.Join(g.Members, " ")) }

func (g Group) contains(member string) bool { return slices.Contains(g.Members, member) }

// OutgoingClaim is a claim to be sent to another member.
type OutgoingClaim struct {
	To    string
	Claim messages.QuotaClaim
}

// NewMember returns a member that owns no shard.
func NewMember(config Config) *Member {
	if config.LeaseUs == 0 {
		config.LeaseUs = LeaseUs
	}
	return &Member{
		config: config, addr: AddrOf(config.Self), answeredUs: map[string]int64{},
		voter: voter{leaseUs: config.LeaseUs, startUs: config.StartUs},
	}
}

// Owns reports whether this member owns a shard now.
func (m *Member) Owns(shard int, nowUs int64) bool {
	return m.claims[shard].holds(m.groups(nowUs), m.config.LeaseUs, nowUs)
}

// groups returns the groups in each of which an owner needs a majority.
func (m *Member) groups(nowUs int64) [][]string {
	if len(m.group.Members) == 0 {
		return nil
	}
	if nowUs < m.previousUntilUs {
		return [][]string{m.group.Members, m.previousMembers}
	}
	return [][]string{m.group.Members}
}

// OwnedShards returns the shards that this member owns now.
func (m *Member) OwnedShards(nowUs int64) []int {
	var out []int
	for shard := range ShardCount {
		if m.Owns(shard, nowUs) {
			out = append(out, shard)
		}
	}
	return out
}

// Urgent reports whether Tick should be called now instead of at the next interval.
func (m *Member) Urgent() bool { return m.urgent }

// Tick renews the claims of the shards that this member owns, claims shards without an
// owner, and releases shards that another member should own. It returns the claims to
// send to the other members of the group.
func (m *Member) Tick(group Group, nowUs int64) []OutgoingClaim {
	m.urgent = false
	m.setGroup(group, nowUs)
	if !m.group.contains(m.addr) {
		m.releaseAll(nowUs)
		return nil
	}
	reachable := m.reachable(nowUs)
	for shard := range ShardCount {
		m.updateClaim(shard, OwnerOrder(shard, reachable), nowUs)
	}
	m.seq++
	own := m.buildClaim(m.addr, nowUs)
	m.HandleVotes(m.addr, m.HandleClaim(own, nowUs), nowUs, nowUs)
	out := m.buildClaims(nowUs)
	m.released = nil
	return out
}

// buildClaims builds the claims for the other members, including those of the previous
// group while its majority is required.
func (m *Member) buildClaims(nowUs int64) []OutgoingClaim {
	var out []OutgoingClaim
	for _, group := range m.groups(nowUs) {
		for _, member := range group {
			known := slices.ContainsFunc(out, func(o OutgoingClaim) bool { return o.To == member })
			if member != m.addr && !known {
				out = append(out, OutgoingClaim{To: member, Claim: m.buildClaim(member, nowUs)})
			}
		}
	}
	return out
}

// setGroup replaces the group unless the new one is older. Majorities of two groups need
// not intersect, so for previousGroupUs a majority of the previous group is required as
// well. Its members refuse claims from members that have not received the change once they
// have received it themselves.
func (m *Member) setGroup(group Group, nowUs int64) {
	if group.Version < m.group.Version {
		return
	}
	if len(m.group.Members) > 0 && !slices.Equal(group.Members, m.group.Members) {
		m.previousMembers, m.previousUntilUs = m.group.Members, nowUs+previousGroupUs
	}
	m.group = Group{Version: group.Version, Members: slices.Clone(group.Members)}
}

// releaseAll ends all claims of this member after it has been removed from the group.
func (m *Member) releaseAll(nowUs int64) {
	for shard := range ShardCount {
		m.releaseShard(shard, nowUs)
	}
	m.released = nil
}

// reachable returns the members that have answered within unreachableAfterUs, and this
// one.
func (m *Member) reachable(nowUs int64) []string {
	var out []string
	for _, member := range m.group.Members {
		atUs, ever := m.answeredUs[member]
		if member == m.addr || ever && nowUs-atUs < unreachableAfterUs {
			out = append(out, member)
		}
	}
	return out
}

// updateClaim begins, maintains or ends the claim to a shard, given the reachable members
// in the order of preference as its owners.
func (m *Member) updateClaim(shard int, order []string, nowUs int64) {
	c := &m.claims[shard]
	switch {
	case c.active && m.Owns(shard, nowUs):
		m.maintainOwned(shard, order, nowUs)
	case c.active && (c.wasHeld || nowUs-c.begunUs >= claimTimeoutUs):
		m.releaseShard(shard, nowUs)
		c.retryAtUs = nowUs + ClaimIntervalUs*int64(slices.Index(order, m.addr))
	case !c.active && nowUs >= c.retryAtUs && m.voter.freeForUs(shard, nowUs) > ClaimIntervalUs*int64(slices.Index(order, m.addr)):
		c.begin(nowUs)
	}
}

// releaseShard ends the claim to a shard; the next claims that are sent contain the
// release.
func (m *Member) releaseShard(shard int, nowUs int64) {
	if !m.claims[shard].active {
		return
	}
	m.claims[shard].end(nowUs)
	m.owned[shard] = ownedShard{}
	m.released = append(m.released, shard)
}

// Leave releases all shards before the process ends. It returns the claims to send to the
// other members.
func (m *Member) Leave(nowUs int64) []OutgoingClaim {
	for shard := range ShardCount {
		m.releaseShard(shard, nowUs)
	}
	m.seq++
	out := m.buildClaims(nowUs)
	m.group.Members = nil
	return out
}

// buildClaim builds the claim for a member, with the copies for which it is the successor.
func (m *Member) buildClaim(member string, nowUs int64) messages.QuotaClaim {
	out := messages.QuotaClaim{From: m.config.Self, Seq: m.seq, Released: m.released, GroupVersion: m.group.Version, GroupHash: m.group.hash()}
	for shard := range ShardCount {
		if !m.claims[shard].active {
			continue
		}
		out.Shards = append(out.Shards, shard)
		s := &m.owned[shard]
		if s.successorCopy.addr == member && member != m.addr && m.Owns(shard, nowUs) {
			out.Copies = append(out.Copies, s.buildCopy(shard))
		}
	}
	return out
}

// HandleClaim applies the releases of a member's claim, votes on the shards that it claims
// and stores the copies of those that it gets.
func (m *Member) HandleClaim(c messages.QuotaClaim, nowUs int64) messages.QuotaVotes {
	votes := messages.QuotaVotes{Granted: []int{}}
	if len(m.group.Members) == 0 || c.GroupVersion < m.group.Version && c.GroupHash != m.group.hash() {
		return votes // the claimant has not received a change of the group
	}
	for _, shard := range c.Released {
		if validShard(shard) {
			m.voter.release(shard, c.From, c.Seq, nowUs)
		}
	}
	for _, shard := range c.Shards {
		if validShard(shard) && m.voteFor(shard, c, nowUs) {
			votes.Granted = append(votes.Granted, shard)
		}
	}
	for _, copied := range c.Copies {
		if slices.Contains(votes.Granted, copied.Shard) && m.storeCopy(c.From, copied, nowUs) {
			votes.Copied = append(votes.Copied, messages.QuotaCopy{Shard: copied.Shard, Version: copied.Version})
		}
	}
	return votes
}

// voteFor votes for the claimant of a shard, unless another claimant has the vote. It then
// drops a copy of an earlier owner's reserves, which is no longer valid.
func (m *Member) voteFor(shard int, c messages.QuotaClaim, nowUs int64) bool {
	if !m.voter.grant(shard, c.From, c.Seq, nowUs) {
		return false
	}
	if copied := &m.receivedCopies[shard]; copied.owner != c.From && c.From != m.config.Self {
		*copied = receivedCopy{}
	}
	return true
}

func validShard(shard int) bool { return shard >= 0 && shard < ShardCount }

// HandleVotes applies the answer of a member to the claim that was sent to it at sentUs.
func (m *Member) HandleVotes(member string, votes messages.QuotaVotes, sentUs, nowUs int64) {
	m.answeredUs[member] = max(m.answeredUs[member], nowUs)
	for _, shard := range votes.Granted {
		if !validShard(shard) {
			continue
		}
		c := &m.claims[shard]
		if c.wasHeld && !m.Owns(shard, nowUs) {
			m.releaseShard(shard, nowUs) // the lease has expired; another member may have held it since
		}
		c.recordVote(member, sentUs)
		if c.active && !c.wasHeld && m.Owns(shard, nowUs) {
			c.wasHeld, c.heldSinceUs = true, nowUs
			m.beginOwnership(shard, nowUs)
		}
	}
	for _, copied := range votes.Copied {
		if !validShard(copied.Shard) {
			continue
		}
		s := &m.owned[copied.Shard]
		if s.successorCopy.addr == member {
			s.successorCopy.acked = max(s.successorCopy.acked, copied.Version)
		}
	}
}
