package quota

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

// The successor's reserve is reserveFraction of the bucket's capacity. It is set once the
// bucket is filled to reserveAboveFraction and dropped when the level falls below
// releaseBelowFraction; the gap between the two keeps changes rare.
const (
	reserveFraction      = 0.5
	reserveAboveFraction = 0.85
	releaseBelowFraction = 0.65
)

// account holds the token bucket and the counters of one tenant at the owner of its shard.
type account struct {
	limit  Limit
	bucket bucket
	// reserve is how many tokens of the bucket are set aside for the successor: it may
	// grant them if it takes over.
	reserve float64
	// releasingVersion is the first version of the copy without the reserve; 0: the
	// reserve is not being released. This member may grant the reserved tokens again once
	// the successor has acknowledged that version, or at releaseByUs at the latest.
	releasingVersion int64
	releaseByUs      int64
	granted          int64
	denied           int64
	lastUsedUs       int64
}

// newAccount returns an account with level tokens, or the capacity if that is less.
func newAccount(bounds Bounds, limit Limit, level float64, nowUs int64) *account {
	a := &account{limit: limit, lastUsedUs: nowUs}
	a.bucket.levelAtUs = nowUs
	a.setLimit(bounds, limit)
	a.bucket.level = math.Min(level, a.bucket.capacity)
	return a
}

func (a *account) setLimit(bounds Bounds, limit Limit) {
	a.limit = limit
	a.bucket.setLimit(limit.RatePerS, max(limit.Burst+bounds.Allowance(limit).Extra, 1))
}

// grant consumes up to need tokens from the bucket. If the bucket covers need, it adds
// further tokens up to want, at most a quarter of those above releaseBelowFraction of the
// capacity. It returns how many it granted.
func (a *account) grant(need, want int, nowUs int64) int {
	a.lastUsedUs = nowUs
	granted := a.bucket.consume(need, a.reserve)
	if granted < need {
		a.denied += int64(need - granted)
	} else if spare := a.bucket.level - a.bucket.capacity*releaseBelowFraction; want > need && spare > 0 {
		granted += a.bucket.consume(min(want-need, int(spare/4)), a.reserve)
	}
	a.granted += int64(granted)
	return granted
}

// successorCopy tracks the copy of a shard's reserves at the successor.
type successorCopy struct {
	addr    string // of the successor; empty: there is none
	version int64  // newest version of the reserves, which the successor should have
	acked   int64  // newest version that the successor has acknowledged
	// noReserveUntilUs is when an earlier successor's copy has expired; no reserve is set
	// before that.
	noReserveUntilUs int64
}

// updateReserve sets the reserve of an account, or starts to release it, according to the
// level of its bucket. It reports whether the copy needs a new version.
func (c *successorCopy) updateReserve(a *account, nowUs int64) bool {
	switch fill := a.bucket.level / a.bucket.capacity; {
	case a.reserve == 0 && a.releasingVersion == 0 && fill >= reserveAboveFraction && c.addr != "" && nowUs >= c.noReserveUntilUs:
		a.reserve = math.Floor(a.bucket.capacity * reserveFraction)
		return a.reserve > 0
	case a.reserve > 0 && a.releasingVersion == 0 && (fill < releaseBelowFraction || c.addr == "" || a.reserve > a.bucket.capacity*reserveFraction):
		a.releasingVersion, a.releaseByUs = c.version+1, nowUs+copyLifetimeUs+leaseMarginUs
		return true
	}
	return false
}

// finishRelease drops a reserve that is being released once no valid copy contains it.
func (c *successorCopy) finishRelease(a *account, nowUs int64) {
	if a.releasingVersion == 0 {
		return
	}
	if nowUs >= a.releaseByUs || c.acked >= a.releasingVersion && nowUs >= c.noReserveUntilUs {
		a.reserve, a.releasingVersion = 0, 0
	}
}

// activeReserves returns the reserves that the newest version of the copy contains: those
// that are not being released.
func activeReserves(accounts map[string]*account) []messages.QuotaReserve {
	out := []messages.QuotaReserve{}
	for tenant, a := range accounts {
		if a.reserve > 0 && a.releasingVersion == 0 {
			out = append(out, messages.QuotaReserve{Tenant: tenant, Tokens: a.reserve})
		}
	}
	return out
}
