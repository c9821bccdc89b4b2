package quota

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/statesync"
)

// claim is a member's claim of the lease of a shard. The zero claim is none.
type claim struct {
	active  bool
	begunUs int64
	sentUs  map[string]int64 // by member: when the newest claim was sent that it voted for
	held    bool             // it was held when it was last looked at
	heldUs  int64            // since when
	backUs  int64            // no new claim before then
	awayUs  int64            // since when another member comes first in the order; 0: it does not
}

func (c *claim) begin(nowUs int64) {
	*c = claim{active: true, begunUs: nowUs, sentUs: map[string]int64{}, backUs: c.backUs}
}

func (c *claim) end(nowUs int64) { *c = claim{backUs: nowUs} }

// voted records that a member voted for a claim that was sent at sentUs.
func (c *claim) voted(member string, sentUs int64) {
	if c.active && sentUs >= c.begunUs {
		c.sentUs[member] = max(c.sentUs[member], sentUs)
	}
}

// holds reports whether a majority of each group has votes for it that have not expired.
// The time counts from when the claim was sent, so it ends here before it does at the voters.
func (c *claim) holds(groups [][]string, leaseUs, nowUs int64) bool {
	if !c.active {
		return false
	}
	for _, group := range groups {
		majority := lease.Majority(group, func(member string) bool {
			sentUs, voted := c.sentUs[member]
			return voted && nowUs-sentUs < leaseUs-leaseGuardUs
		})
		if !majority {
			return false
		}
	}
	return len(groups) > 0
}

// Order returns the members in the order in which they should own a shard: rendezvous
// hashing, so that the loss of one changes the owner of its shards only.
func Order(shard int, members []string) []string {
	out := slices.Clone(members)
	weight := func(member string) uint64 { return statesync.Mix(statesync.HashText("shard", member) + uint64(shard)) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return out
}
