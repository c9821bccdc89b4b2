package quota

import "strings"

// voter holds a controller's votes for the owners of shards. Votes are not stored on disk:
// a new process votes only once those of an earlier one have expired.
type voter struct {
	leaseUs int64
	startUs int64
	votes   [ShardCount]vote
}

// vote is the vote for the owner of one shard.
type vote struct {
	holder      string // claimant that has the vote, ADDRESS/PROCESS; empty: none
	lastHolder  string // claimant that got the vote last
	seq         int64  // of the newest claim or release of lastHolder
	expiresUs   int64  // when the vote expires
	freeSinceUs int64  // since when no claimant has had the vote
}

// AddrOf returns the address of a claimant.
func AddrOf(claimant string) string {
	addr, _, _ := strings.Cut(claimant, "/")
	return addr
}

// ready reports whether all votes of an earlier process have expired.
func (v *voter) ready(nowUs int64) bool { return nowUs-v.startUs >= v.leaseUs }

// grant votes for a claimant, unless another has the vote. It reports whether it did.
func (v *voter) grant(shard int, claimant string, seq, nowUs int64) bool {
	if !v.ready(nowUs) {
		return false
	}
	current := &v.votes[shard]
	v.expire(current, nowUs)
	if current.holder != "" && current.holder != claimant {
		return false
	}
	if current.lastHolder == claimant && seq < current.seq {
		return false // received after a newer claim or the release
	}
	current.holder, current.lastHolder, current.seq, current.expiresUs = claimant, claimant, seq, nowUs+v.leaseUs
	return true
}

// release withdraws the vote for a claimant that has released the shard. A claim that was
// sent before the release and received after it does not get the vote again.
func (v *voter) release(shard int, claimant string, seq, nowUs int64) {
	current := &v.votes[shard]
	v.expire(current, nowUs)
	if current.holder == claimant && seq > current.seq {
		current.holder, current.seq, current.freeSinceUs = "", seq, nowUs
	}
}

func (v *voter) expire(current *vote, nowUs int64) {
	if current.holder != "" && nowUs >= current.expiresUs {
		current.freeSinceUs = current.expiresUs
		current.holder = ""
	}
}

// holder returns the claimant that has the vote for a shard; empty: none.
func (v *voter) holder(shard int, nowUs int64) string {
	current := &v.votes[shard]
	v.expire(current, nowUs)
	return current.holder
}

// freeForUs returns how long no claimant has had the vote; 0 if one has it or the voter is
// not ready.
func (v *voter) freeForUs(shard int, nowUs int64) int64 {
	if v.holder(shard, nowUs) != "" || !v.ready(nowUs) {
		return 0
	}
	return nowUs - max(v.votes[shard].freeSinceUs, v.startUs+v.leaseUs) + 1
}
