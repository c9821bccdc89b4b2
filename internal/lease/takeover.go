package lease

// Delays of a takeover, in microseconds. A holder counts as gone only after about a
// second of failed calls, so these delays only prevent the candidates from competing for
// the same proposal number.
const (
	// TakeoverDelayUs is how long a holder must have been gone while there is work.
	TakeoverDelayUs = int64(300_000)
	// IdleTakeoverDelayUs is the same while there is no work: the lease is then acquired
	// ahead of the next work, so that the work does not wait for it.
	IdleTakeoverDelayUs = int64(2_000_000)
	// RankDelayUs is the additional delay for each candidate that comes before this one.
	RankDelayUs = int64(300_000)
	// ReacquireDelayUs is how long a controller that lost the lease to another waits before
	// it tries to reacquire it. Two controllers that cannot reach each other each see
	// the other as gone; without this delay they would take the lease from one another
	// forever, and the wait of Acquired would never end.
	ReacquireDelayUs = int64(8_000_000)
)

// TakeoverView is a controller's view of a lease that another controller may hold.
type TakeoverView struct {
	Holder    string // member identity; empty if the lease was never held
	Fence     int64
	Gone      bool // the holder is dead or does not answer this controller
	InContact bool // this controller holds the contact lease with a majority
	Needed    bool // there is work for the holder
	Rank      int  // number of candidates that come before this one
}

// Takeover decides when a controller tries to acquire the lease of another. It only
// paces the attempts: the wait that Lease.Acquired imposes keeps the actions of two
// holders Times.LeaseUs apart.
type Takeover struct {
	fence       int64 // fencing token of the lease in the last view
	goneSinceUs int64 // since when the lease has had no live holder; 0 while it has one
	lostUs      int64 // when this controller lost the lease to another
	everLost    bool
}

// Lost records that another controller has taken over this one's lease.
func (t *Takeover) Lost(nowUs int64) { t.lostUs, t.everLost = nowUs, true }

// Due reports whether to try to acquire the lease now.
func (t *Takeover) Due(v TakeoverView, nowUs int64) bool {
	if v.Holder == "" {
		return v.InContact && v.Needed && t.waited(v, TakeoverDelayUs, nowUs)
	}
	if !v.Gone || !v.InContact {
		t.goneSinceUs = 0
		return false
	}
	if t.everLost && nowUs-t.lostUs < ReacquireDelayUs {
		return false
	}
	wait := IdleTakeoverDelayUs
	if v.Needed {
		wait = TakeoverDelayUs
	}
	return t.waited(v, wait, nowUs)
}

// waited reports whether the lease has been in this state for waitUs plus the delay for
// this controller's rank.
func (t *Takeover) waited(v TakeoverView, waitUs, nowUs int64) bool {
	if t.goneSinceUs == 0 || t.fence != v.Fence {
		t.fence, t.goneSinceUs = v.Fence, nowUs
	}
	return nowUs-t.goneSinceUs >= waitUs+int64(v.Rank)*RankDelayUs
}
