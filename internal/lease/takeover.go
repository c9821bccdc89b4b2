package lease

// Delays of a takeover, in microseconds. A holder counts as gone only after a
// second or so of failed calls, so the delays here only keep the candidates from
// competing for one ballot.
const (
	// GoneUs is how long a holder must have been seen as gone while there is work.
	GoneUs = int64(300_000)
	// IdleGoneUs is the same while there is none: the lease is then taken ahead
	// of the next work, so that the work does not wait for it.
	IdleGoneUs = int64(2_000_000)
	// RankUs is the further delay for each candidate before this one.
	RankUs = int64(300_000)
	// ReacquireUs is how long a controller that lost the lease to another leaves
	// it there. Of two that do not reach each other, each sees the other as gone;
	// without this they would take the lease from one another for good, and the
	// wait of Acquired would never end.
	ReacquireUs = int64(8_000_000)
)

// HolderView is what a controller sees of a lease that is not its own.
type HolderView struct {
	Holder    string
	Fence     int64
	Gone      bool // the holder is dead or does not answer this controller
	InContact bool // this controller holds the contact lease with a majority
	Needed    bool // there is work for the holder
	Rank      int  // how many candidates try before this one
}

// Takeover decides when a controller takes over the lease of another. It only
// paces the attempts: that holders do not act within LeaseUs of one another rests
// on the wait of Acquired.
type Takeover struct {
	fence    int64 // the lease that was last seen
	goneUs   int64 // since when its holder is gone; 0 while it is not
	lostUs   int64 // when this controller lost the lease to another
	everLost bool
}

// Lost notes that another controller has taken this one's lease over.
func (t *Takeover) Lost(nowUs int64) { t.lostUs, t.everLost = nowUs, true }

// Due tells whether to try to acquire the lease now.
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

// waited tells whether the lease has been seen like this for long enough.
func (t *Takeover) waited(v HolderView, waitUs, nowUs int64) bool {
	if t.goneUs == 0 || t.fence != v.Fence {
		t.fence, t.goneUs = v.Fence, nowUs
	}
	return nowUs-t.goneUs >= waitUs+int64(v.Rank)*RankUs
}
