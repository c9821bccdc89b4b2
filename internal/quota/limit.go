package quota

import (
	"math"

	"beechtide.org/beechtide/internal/statesync"
)

// ShardCount is the number of shards, each with its own lease, over which tenants are
// spread.
const ShardCount = 16

// ShardOf returns the shard of a tenant.
func ShardOf(tenant string) int { return int(statesync.HashText("quota", tenant) % ShardCount) }

// Limit is a tenant's limit in one version of the configuration.
type Limit struct {
	Version  int64
	RatePerS float64 // 0: no limit
	Burst    float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// Bounds defines how far the sum over all machines may exceed a limit: in each window at
// most (rate x window + burst) x (1 + Overshoot) + Slack requests run.
type Bounds struct {
	WindowUs  int64
	Overshoot float64
	Slack     float64
}

// Default bounds.
const (
	defaultWindowS   = 5
	defaultOvershoot = 0.1
	defaultSlack     = 20
)

// NewBounds returns the bounds for a window in seconds; if it is not positive, all three
// are the defaults.
func NewBounds(windowS, overshoot, slack float64) Bounds {
	if windowS <= 0 {
		windowS, overshoot, slack = defaultWindowS, defaultOvershoot, defaultSlack
	}
	return Bounds{WindowUs: int64(windowS * 1e6), Overshoot: overshoot, Slack: slack}
}

// Allowance is the excess over a limit that the bounds permit for distributed counting,
// divided into parts.
type Allowance struct {
	// Extra is the capacity of the owner's bucket above the burst, in tokens, so that
	// requests just below the limit are not rejected because of timing jitter.
	Extra float64
	// Initial is how many tokens a new owner starts with if its predecessor has reserved
	// fewer for it.
	Initial float64
	// TokenLifetimeUs is how long after it was requested a token may be used.
	TokenLifetimeUs int64
	// Unowned is how many requests in a window all routers together may run without a
	// token while no owner answers.
	Unowned float64
}

// Fractions of the excess. The remainder covers the time from a router to a runner, a
// second change of the owner in a window, and a successor's reserve that both the owner
// and the successor have granted.
const (
	extraFraction    = 0.15
	initialFraction  = 0.08
	lifetimeFraction = 0.30
	outageFraction   = 0.60 // for tokens that are used late and for requests without a token
)

// Bounds of Allowance.TokenLifetimeUs.
const (
	minTokenLifetimeUs = int64(50_000)
	maxTokenLifetimeUs = int64(500_000)
)

// Allowance divides the excess of a limit. In any window at most
// rate x (window + Allowance.TokenLifetimeUs) + burst + Extra requests run with tokens
// of one owner, Initial more for each change of the owner, and Unowned without tokens.
func (b Bounds) Allowance(limit Limit) Allowance {
	windowS := float64(b.WindowUs) / 1e6
	excess := b.Overshoot*(limit.RatePerS*windowS+limit.Burst) + b.Slack
	lifetimeUs := int64(math.Min(lifetimeFraction*excess/max(limit.RatePerS, 1e-6)*1e6, float64(maxTokenLifetimeUs)))
	lifetimeUs = max(lifetimeUs, minTokenLifetimeUs)
	late := limit.RatePerS * float64(lifetimeUs) / 1e6
	return Allowance{Extra: extraFraction * excess, Initial: initialFraction * excess, TokenLifetimeUs: lifetimeUs, Unowned: max(outageFraction*excess-late, 0)}
}
