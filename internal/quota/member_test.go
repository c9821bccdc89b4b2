package quota

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	ms     = int64(1_000)
	second = 1_000 * ms
)

var testBounds = NewBounds(5, 0.1, 20)

// cluster is a set of members that exchange messages without delay, unless they are down.
type cluster struct {
	t       *testing.T
	nowUs   int64
	group   Group
	members map[string]*Member
	starts  map[string]int // by address: number of processes started
}

func newCluster(t *testing.T, addrs ...string) *cluster {
	c := &cluster{t: t, nowUs: second, group: Group{Version: 1, Members: addrs}, members: map[string]*Member{}, starts: map[string]int{}}
	for _, addr := range addrs {
		c.start(addr)
	}
	return c
}

func (c *cluster) start(addr string) {
	c.starts[addr]++
	c.members[addr] = NewMember(Config{Self: addr + "/" + string(rune('0'+c.starts[addr])), Bounds: testBounds, StartUs: c.nowUs})
}

// run advances the time by forUs and calls Tick on all members every ClaimIntervalUs.
func (c *cluster) run(forUs int64) {
	for untilUs := c.nowUs + forUs; c.nowUs < untilUs; c.nowUs += ClaimIntervalUs {
		for _, addr := range c.group.Members {
			if m := c.members[addr]; m != nil {
				c.deliver(addr, m.Tick(c.group, c.nowUs))
			}
		}
	}
}

func (c *cluster) deliver(from string, out []OutgoingClaim) {
	for _, o := range out {
		to, sender := c.members[o.To], c.members[from]
		if to == nil {
			continue
		}
		votes := to.HandleClaim(o.Claim, c.nowUs)
		if sender != nil {
			sender.HandleVotes(o.To, votes, c.nowUs, c.nowUs)
		}
	}
}

func (c *cluster) owner(shard int) string {
	c.t.Helper()
	owner := ""
	for addr, m := range c.members {
		if m == nil || !m.Owns(shard, c.nowUs) {
			continue
		}
		must.Eq(c.t, "", owner, must.Sprint("a shard has two owners"))
		owner = addr
	}
	return owner
}

func (c *cluster) requestTokens(tenant string, need int, limit Limit) messages.QuotaGrant {
	c.t.Helper()
	owner := c.owner(ShardOf(tenant))
	must.NotEq(c.t, "", owner)
	return c.members[owner].HandleAsk(quotaAsk(tenant, need, limit), c.nowUs)
}

func quotaAsk(tenant string, need int, limit Limit) messages.QuotaAsk {
	return messages.QuotaAsk{Tenant: tenant, Need: need, Want: need, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
}

func TestEveryShardHasOneOwner(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	owned := map[string]int{}
	for shard := range ShardCount {
		owned[c.owner(shard)]++
	}
	must.MapNotContainsKey(t, owned, "")
	must.Greater(t, 1, len(owned), must.Sprint("one member owns all shards"))
}

func TestNonOwnerReturnsOwnerAsHint(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	owner := c.owner(ShardOf("tenant"))
	for addr, m := range c.members {
		grant := m.HandleAsk(quotaAsk("tenant", 1, Limit{RatePerS: 10, Burst: 10}), c.nowUs)
		must.Eq(t, addr == owner, grant.Owner)
		if addr != owner {
			must.Eq(t, owner, grant.Hint)
			must.Zero(t, grant.Granted)
		}
	}
}

func TestOwnerGrantsAtMostBucketContent(t *testing.T) {
	c := newCluster(t, "a")
	c.run(20 * second)
	limit := Limit{Version: 1, RatePerS: 10, Burst: 10}
	most := int(limit.Burst + testBounds.Allowance(limit).Extra)
	grant := c.requestTokens("tenant", 1000, limit)
	must.Eq(t, most, grant.Granted)
	must.Greater(t, 0, grant.WaitUs)
	c.run(second)
	must.Between(t, 9, c.requestTokens("tenant", 1000, limit).Granted, 11)
}

func TestSuccessorStartsWithReserve(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(120 * second)
	limit := Limit{Version: 1, RatePerS: 1, Burst: 100}
	c.requestTokens("tenant", 1, limit)
	c.run(2 * second) // the bucket is nearly full, and the successor has a reserve
	owner := c.owner(ShardOf("tenant"))
	c.members[owner] = nil
	c.run(LeaseUs + 4*ClaimIntervalUs)
	must.NotEq(t, owner, c.owner(ShardOf("tenant")))
	granted := c.requestTokens("tenant", 1000, limit).Granted
	most := limit.Burst + testBounds.Allowance(limit).Extra
	must.Between(t, int(most*reserveFraction)-1, granted, int(most*reserveFraction)+2)
}

func TestOwnerWithSpentBucketLeavesNoReserve(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(120 * second)
	limit := Limit{Version: 1, RatePerS: 1, Burst: 100}
	spent := 0
	for range 40 {
		spent += c.requestTokens("tenant", 1000, limit).Granted
		c.run(ClaimIntervalUs)
	}
	c.members[c.owner(ShardOf("tenant"))] = nil
	c.run(LeaseUs + 4*ClaimIntervalUs)
	spent += c.requestTokens("tenant", 1000, limit).Granted
	allowance := testBounds.Allowance(limit)
	must.Less(t, limit.Burst+allowance.Extra+allowance.Initial+40, float64(spent))
}

func TestLeavingMemberReleasesShardsAtOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	shard := ShardOf("tenant")
	owner := c.owner(shard)
	c.deliver(owner, c.members[owner].Leave(c.nowUs))
	c.members[owner] = nil
	c.run(3 * ClaimIntervalUs)
	must.NotEq(t, "", c.owner(shard))
}

func TestRestartedMemberRegainsItsShards(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	shard := ShardOf("tenant")
	first := c.owner(shard)
	c.members[first] = nil
	c.run(3 * second)
	must.NotEq(t, first, c.owner(shard))
	c.start(first)
	c.run(failbackDelayUs + 2*second)
	must.Eq(t, first, c.owner(shard))
}

func TestOwnerWithoutMajorityGrantsNothing(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	owner := c.owner(ShardOf("tenant"))
	for addr := range c.members {
		if addr != owner {
			c.members[addr] = nil
		}
	}
	c.run(LeaseUs + ClaimIntervalUs)
	must.Eq(t, "", c.owner(ShardOf("tenant")))
	must.False(t, c.members[owner].HandleAsk(quotaAsk("tenant", 1, Limit{RatePerS: 10, Burst: 10}), c.nowUs).Owner)
}

func TestLowerLimitOfNewerVersionAppliesAtOnce(t *testing.T) {
	c := newCluster(t, "a")
	c.run(20 * second)
	c.requestTokens("tenant", 1, Limit{Version: 1, RatePerS: 100, Burst: 100})
	c.run(20 * second)
	lower := Limit{Version: 2, RatePerS: 1, Burst: 1}
	must.Between(t, 1, c.requestTokens("tenant", 1000, lower).Granted, 1+int(testBounds.Allowance(lower).Extra)+1)
	earlier := Limit{Version: 1, RatePerS: 100, Burst: 100}
	must.Zero(t, c.requestTokens("tenant", 1000, earlier).Granted, must.Sprint("an older version of the limit does not replace a newer one"))
}

func TestOwnershipSurvivesGroupChange(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	c.run(2 * second)
	var owners [ShardCount]string
	for shard := range ShardCount {
		owners[shard] = c.owner(shard)
	}
	c.start("f")
	c.group = Group{Version: 2, Members: []string{"a", "b", "c", "d", "f"}}
	for range 10 {
		c.run(ClaimIntervalUs)
		for shard := range ShardCount {
			if owners[shard] != "e" {
				must.NotEq(t, "", c.owner(shard), must.Sprintf("shard %d", shard))
			}
		}
	}
}

func TestClaimFromOlderGroupIsRefused(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(2 * second)
	m := c.members["a"]
	m.Tick(Group{Version: 2, Members: []string{"a", "b", "d"}}, c.nowUs)
	old := messages.QuotaClaim{From: "c/1", Seq: 99, Shards: []int{0}, GroupVersion: 1, GroupHash: c.group.hash()}
	must.SliceEmpty(t, m.HandleClaim(old, c.nowUs+2*LeaseUs).Granted)
}

func TestClaimReceivedAfterItsReleaseGetsNoVote(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	m := c.members["a"]
	m.Tick(c.group, c.nowUs)
	c.nowUs += 2 * second
	must.Eq(t, []int{0}, m.HandleClaim(messages.QuotaClaim{From: "b/1", Seq: 1, Shards: []int{0}, GroupVersion: 1, GroupHash: c.group.hash()}, c.nowUs).Granted)
	m.HandleClaim(messages.QuotaClaim{From: "b/1", Seq: 3, Released: []int{0}, GroupVersion: 1, GroupHash: c.group.hash()}, c.nowUs)
	must.SliceEmpty(t, m.HandleClaim(messages.QuotaClaim{From: "b/1", Seq: 2, Shards: []int{0}, GroupVersion: 1, GroupHash: c.group.hash()}, c.nowUs).Granted)
}

// A successor that does not answer must not receive a claim for every token request.
func TestUrgentClaimsAreRateLimited(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(120 * second)
	limit := Limit{Version: 1, RatePerS: 1, Burst: 100}
	c.requestTokens("tenant", 1, limit)
	c.run(2 * second)
	owner := c.members[c.owner(ShardOf("tenant"))]
	urgent := 0
	for range 100 {
		owner.HandleAsk(quotaAsk("tenant", 1, limit), c.nowUs)
		if owner.Urgent() {
			urgent++
			owner.Tick(c.group, c.nowUs)
		}
		c.nowUs += ms
	}
	must.Between(t, 1, urgent, 4)
}

// A reserve that exceeds the capacity left by a lowered limit must not prevent grants to
// the tenant.
func TestReserveShrinksWithLowerLimit(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(120 * second)
	c.requestTokens("tenant", 1, Limit{Version: 1, RatePerS: 100, Burst: 100})
	c.run(2 * second)
	lower := Limit{Version: 2, RatePerS: 20, Burst: 20}
	c.requestTokens("tenant", 1, lower)
	c.run(second)
	must.Positive(t, c.requestTokens("tenant", 1, lower).Granted)
}
