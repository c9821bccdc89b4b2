package quota

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/statesync"
)

// claim is this member's claim to the lease of a shard. The zero claim is inactive.
type claim struct {
	active           bool
	begunUs          int64
	votedSentUs      map[string]int64 // by member: send time of the newest claim that it voted for
	wasHeld          bool             // a majority had voted for it at the last check
	heldSinceUs      int64            // since when it has been held
	retryAtUs        int64            // earliest time of a new claim
	outrankedSinceUs int64            // since when another member has been first in the order; 0: none
}

func (c *claim) begin(nowUs int64) {
	*c = claim{active: true, begunUs: nowUs, votedSentUs: map[string]int64{}, retryAtUs: c.retryAtUs}
}

func (c *claim) end(nowUs int64) { *c = claim{retryAtUs: nowUs} }

// recordVote records that a member voted for a claim that was sent at sentUs.
func (c *claim) recordVote(member string, sentUs int64) {
	if c.active && sentUs >= c.begunUs {
		c.votedSentUs[member] = max(c.votedSentUs[member], sentUs)
	}
}

// holds reports whether unexpired votes of a majority of each group support the claim.
// The time counts from when the claim was sent, so a vote expires here before it expires
// at the voter.
func (c *claim) holds(groups [][]string, leaseUs, nowUs int64) bool {
	if !c.active {
		return false
	}
	for _, group := range groups {
		majority := lease.Majority(group, func(member string) bool {
			sentUs, voted := c.votedSentUs[member]
			return voted && nowUs-sentUs < leaseUs-leaseMarginUs
		})
		if !majority {
			return false
		}
	}
	return len(groups) > 0
}

// OwnerOrder returns the members in the order of preference as owners of a shard, by
// rendezvous hashing, so that the loss of a member changes the owner of only that member's
// shards.
func OwnerOrder(shard int, members []string) []string {
	out := slices.Clone(members)
	weight := func(member string) uint64 { return statesync.Mix(statesync.HashText("shard", member) + uint64(shard)) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return out
}
