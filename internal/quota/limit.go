package quota

import (
	"math"

	"beechtide.org/beechtide/internal/statesync"
)

// Shards is how many leases the tenants are spread over.
const Shards = 16

// ShardOf returns the shard that counts a tenant's requests.
func ShardOf(tenant string) int { return int(statesync.HashText("quota", tenant) % Shards) }

// Limit is a tenant's limit, as a version of the configuration has it.
type Limit struct {
	Version  int64
	RatePerS float64 // 0: no limit
	Burst    float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// Bounds is how far the sum over all machines may exceed a limit: in each window at most
// (rate x window + burst) x (1 + Overshoot) + Slack requests run.
type Bounds struct {
	WindowUs  int64
	Overshoot float64
	Slack     float64
}

// Bounds that hold where none are given.
const (
	defaultWindowS   = 5
	defaultOvershoot = 0.1
	defaultSlack     = 20
)

// NewBounds returns the bounds for a window in seconds; where it is 0, the defaults hold.
func NewBounds(windowS, overshoot, slack float64) Bounds {
	if windowS <= 0 {
		windowS, overshoot, slack = defaultWindowS, defaultOvershoot, defaultSlack
	}
	return Bounds{WindowUs: int64(windowS * 1e6), Overshoot: overshoot, Slack: slack}
}

// Allowance is what a limit leaves for counting in a distributed way: the excess that the
// bounds allow, in parts.
type Allowance struct {
	// Extra is how many tokens the owner's bucket holds above the burst, so that requests
	// just below the limit are not rejected for small differences of time.
	Extra float64
	// Initial is how many tokens a new owner begins with that has none from its predecessor.
	Initial float64
	// DelayUs is for how long after it was asked for a token may be used.
	DelayUs int64
	// Unowned is how many requests all routers together may let run in a window without a
	// token, where no owner answers.
	Unowned float64
}

// Parts of the excess. What is left over covers the time from a router to a runner, a second
// change of the owner in a window, and a reserve of a successor that is used although the
// owner has used it too.
const (
	extraPart   = 0.15
	initialPart = 0.08
	delayPart   = 0.30
	outagePart  = 0.60 // for tokens that are used late and for requests without one
)

// Bounds of the age of a token.
const (
	minDelayUs = int64(50_000)
	maxDelayUs = int64(500_000)
)

// Allowance divides the excess of a limit. In any window at most
// rate x (window + DelayUs) + burst + Extra requests run with tokens of one owner, Initial
// more for each change of the owner, and Unowned without tokens.
func (b Bounds) Allowance(limit Limit) Allowance {
	windowS := float64(b.WindowUs) / 1e6
	excess := b.Overshoot*(limit.RatePerS*windowS+limit.Burst) + b.Slack
	delayUs := int64(math.Min(delayPart*excess/max(limit.RatePerS, 1e-6)*1e6, float64(maxDelayUs)))
	delayUs = max(delayUs, minDelayUs)
	late := limit.RatePerS * float64(delayUs) / 1e6
	return Allowance{Extra: extraPart * excess, Initial: initialPart * excess, DelayUs: delayUs, Unowned: max(outagePart*excess-late, 0)}
}
