// What a member does as the successor of a shard's owner.

package quota

import "beechtide.org/beechtide/internal/messages"

// heldCopy is what this member has as the successor of a shard's owner.
type heldCopy struct {
	owner    string
	version  int64
	heardUs  int64
	reserves map[string]float64
}

// takeCopy keeps the reserves of a shard. It reports whether this version is here.
func (m *Member) takeCopy(owner string, copied messages.QuotaCopy, nowUs int64) bool {
	held := &m.copies[copied.Shard]
	if held.owner == owner && copied.Version < held.version {
		return false // overtaken by a later one
	}
	if !copied.Whole {
		if held.owner != owner || held.version != copied.Version {
			*held = heldCopy{}
			return false
		}
		held.heardUs = nowUs
		return true
	}
	*held = heldCopy{owner: owner, version: copied.Version, heardUs: nowUs, reserves: map[string]float64{}}
	for _, r := range copied.Reserves {
		held.reserves[r.Tenant] = r.Tokens
	}
	return true
}

// inherit begins to own a shard, with the reserves of its predecessor if this member has
// been its successor until a short while ago.
func (m *Member) inherit(shard int, nowUs int64) {
	held := &m.copies[shard]
	m.owned[shard] = ownedShard{accounts: map[string]*account{}}
	if nowUs-held.heardUs <= copyLifeUs && held.owner != m.config.Self {
		m.owned[shard].inherited = held.reserves
	}
	*held = heldCopy{}
}
