// The successor of a shard's owner stores a copy of the reserves and starts with them if
// it becomes the owner.

package quota

import "beechtide.org/beechtide/internal/messages"

// receivedCopy is the copy of a shard's reserves that this member stores as the successor
// of its owner.
type receivedCopy struct {
	owner      string
	version    int64
	receivedUs int64              // when the owner last sent or confirmed this version
	reserves   map[string]float64 // by tenant
}

// storeCopy stores the reserves of a shard. It reports whether it now has this version.
func (m *Member) storeCopy(owner string, copied messages.QuotaCopy, nowUs int64) bool {
	stored := &m.receivedCopies[copied.Shard]
	if stored.owner == owner && copied.Version < stored.version {
		return false // received after a newer version
	}
	if !copied.Whole {
		if stored.owner != owner || stored.version != copied.Version {
			*stored = receivedCopy{}
			return false
		}
		stored.receivedUs = nowUs
		return true
	}
	*stored = receivedCopy{owner: owner, version: copied.Version, receivedUs: nowUs, reserves: map[string]float64{}}
	for _, r := range copied.Reserves {
		stored.reserves[r.Tenant] = r.Tokens
	}
	return true
}

// beginOwnership resets the state of a shard that this member starts to own. It inherits
// the predecessor's reserves if the copy was confirmed within copyLifetimeUs.
func (m *Member) beginOwnership(shard int, nowUs int64) {
	stored := &m.receivedCopies[shard]
	m.owned[shard] = ownedShard{accounts: map[string]*account{}}
	if nowUs-stored.receivedUs <= copyLifetimeUs && stored.owner != m.config.Self {
		m.owned[shard].inherited = stored.reserves
	}
	*stored = receivedCopy{}
}
