package quota

import (
	"math"

	"beechtide.org/beechtide/internal/messages"
)

// The successor's reserve is half of the bucket while the bucket is nearly full, and
// nothing once it is emptier, so that it changes seldom.
const (
	reservePart     = 0.5
	reserveFromPart = 0.85
	reserveDownPart = 0.65
)

// account is one tenant's count at the owner.
type account struct {
	limit  Limit
	bucket bucket
	// reserve is how many tokens the successor may grant if it takes over.
	reserve float64
	// releasing is the version of the copy that no longer has the reserve; the tokens may
	// be granted once the successor has it, or at releasedUs at the latest.
	releasing  int64
	releasedUs int64
	granted    int64
	denied     int64
	usedUs     int64
}

// newAccount returns an account with some tokens.
func newAccount(bounds Bounds, limit Limit, level float64, nowUs int64) *account {
	a := &account{limit: limit, usedUs: nowUs}
	a.bucket.atUs = nowUs
	a.setLimit(bounds, limit)
	a.bucket.level = math.Min(level, a.bucket.capacity)
	return a
}

func (a *account) setLimit(bounds Bounds, limit Limit) {
	a.limit = limit
	a.bucket.set(limit.RatePerS, max(limit.Burst+bounds.Allowance(limit).Extra, 1))
}

// grant takes tokens: those that are needed if they are there, and of the others some
// where the bucket is rather full.
func (a *account) grant(need, want int, nowUs int64) int {
	a.usedUs = nowUs
	taken := a.bucket.take(need, a.reserve)
	if taken < need {
		a.denied += int64(need - taken)
	} else if spare := a.bucket.level - a.bucket.capacity*reserveDownPart; want > need && spare > 0 {
		taken += a.bucket.take(min(want-need, int(spare/4)), a.reserve)
	}
	a.granted += int64(taken)
	return taken
}

// copied is the accounts' reserves as the successor has them or is being told.
type copied struct {
	addr    string // of the successor; empty: there is none
	version int64  // of the reserves that it should have
	acked   int64
	// quietUs is when an earlier successor's copy has expired.
	quietUs int64
}

// reserveFor changes the reserve of an account as its bucket asks for. It reports whether the
// copy has a new version then.
func (c *copied) reserveFor(a *account, nowUs int64) bool {
	switch full := a.bucket.level / a.bucket.capacity; {
	case a.reserve == 0 && a.releasing == 0 && full >= reserveFromPart && c.addr != "" && nowUs >= c.quietUs:
		a.reserve = math.Floor(a.bucket.capacity * reservePart)
		return a.reserve > 0
	case a.reserve > 0 && a.releasing == 0 && (full < reserveDownPart || c.addr == "" || a.reserve > a.bucket.capacity*reservePart):
		a.releasing, a.releasedUs = c.version+1, nowUs+copyLifeUs+leaseGuardUs
		return true
	}
	return false
}

// settle frees the reserve of an account once no copy has it.
func (c *copied) settle(a *account, nowUs int64) {
	if a.releasing == 0 {
		return
	}
	if nowUs >= a.releasedUs || c.acked >= a.releasing && nowUs >= c.quietUs {
		a.reserve, a.releasing = 0, 0
	}
}

// reserves lists what the copy should have.
func reserves(accounts map[string]*account) []messages.QuotaReserve {
	out := []messages.QuotaReserve{}
	for tenant, a := range accounts {
		if a.reserve > 0 && a.releasing == 0 {
			out = append(out, messages.QuotaReserve{Tenant: tenant, Tokens: a.reserve})
		}
	}
	return out
}
