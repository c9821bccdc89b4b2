package lease

// Delays of a takeover, in microseconds. A holder counts as gone only after a second or
// so of failed calls, so these delays only keep the candidates from competing for one
// proposal number.
const (
	// GoneUs is how long a holder must have been gone while there is work.
	GoneUs = int64(300_000)
	// IdleGoneUs is the same while there is no work: the lease is then acquired
	// ahead of the next work, so that the work does not wait for it.
	IdleGoneUs = int64(2_000_000)
	// RankUs is the further delay for each candidate before this one.
	RankUs = int64(300_000)
	// ReacquireUs is how long a controller that lost the lease to another does not
	// try to get it back. Two controllers that cannot reach each other each see the
	// other as gone; without this delay they would take the lease from one another
	// forever, and the wait of Acquired would never end.
	ReacquireUs = int64(8_000_000)
)

// HolderView is what a controller sees of a lease that is not its own.
type HolderView struct {
	Holder    string // identity; empty where the lease was never held
	Fence     int64
	Gone      bool // the holder is dead or does not answer this controller
	InContact bool // this controller holds the contact lease with a majority
	Needed    bool // there is work for the holder
	Rank      int  // how many candidates try before this one
}

// Takeover decides when a controller tries to acquire the lease of another. It only
// paces the attempts: the wait of Lease.Acquired is what keeps the actions of two
// holders Times.LeaseUs apart.
type Takeover struct {
	fence    int64 // fencing token of the lease that was last seen
	goneUs   int64 // since when its holder is gone; 0 while it is not
	lostUs   int64 // when this controller lost the lease to another
	everLost bool
}

// Lost records that another controller has taken over this one's lease.
func (t *Takeover) Lost(nowUs int64) { t.lostUs, t.everLost = nowUs, true }

// Due reports whether to try to acquire the lease now.
func (t *Takeover) Due(v HolderView, nowUs int64) bool {
	if v.Holder == "" {
		return v.InContact && v.Needed && t.waited(v, GoneUs, nowUs)
	}
	if !v.Gone || !v.InContact {
		t.goneUs = 0
		return false
	}
	if t.everLost && nowUs-t.lostUs < ReacquireUs {
		return false
	}
	wait := IdleGoneUs
	if v.Needed {
		wait = GoneUs
	}
	return t.waited(v, wait, nowUs)
}

// waited reports whether the lease has been in this state for waitUs and the further
// delay of this controller's rank.
func (t *Takeover) waited(v HolderView, waitUs, nowUs int64) bool {
	if t.goneUs == 0 || t.fence != v.Fence {
		t.fence, t.goneUs = v.Fence, nowUs
	}
	return nowUs-t.goneUs >= waitUs+int64(v.Rank)*RankUs
}
