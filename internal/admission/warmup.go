// Warm-up: a runner that has just started, or has lost its warmth, bears few requests a second
// from all nodes together. A few nodes, its lenders, share that rate; the others send nothing to
// it until it is warm. The lenders are chosen without a message, by rendezvous hashing, so that
// it works on both sides of a partition; docs/design/warm-up.md derives the share.

package admission

import (
	"math"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rendezvous"
)

// WarmupBounds is how far the requests to a runner that warms up may exceed its rate.
type WarmupBounds struct {
	Overshoot float64 // factor of the rate
	Slack     float64 // requests in a second
}

const (
	// defaultOvershoot and defaultSlack stand for bounds that the settings do not have.
	defaultOvershoot = 1.0
	defaultSlack     = 2.0
	// concurrentSenderSets is how many sets of lenders may serve a runner at the same time, as nodes
	// that have not seen the same others choose differently.
	concurrentSenderSets = 2
	// maxSenders bounds the nodes that share the rate of a runner.
	maxSenders = 8
	// senderStartDelayUs is how long after its start a node lends nothing, in microseconds: it has
	// not seen the others yet, and an earlier process may have lent.
	senderStartDelayUs = 3_000_000
	// spacingMargin lengthens the pause between two requests of a lender, since they do not
	// take the same time on their way.
	spacingMargin = 1.05
	secondUs      = 1_000_000
	// senderCheckPeriodUs is for how long a node goes by its last look at whether it lends.
	senderCheckPeriodUs = 500_000
)

// warmupShare is what each lender of a runner may send.
type warmupShare struct {
	senders   int
	spacingUs int64 // between two requests of one lender
}

// newWarmupShare divides the rate of a runner among as many lenders as the bounds allow, even
// if concurrentSenderSets sets of them serve it.
func newWarmupShare(ratePerS float64, bounds WarmupBounds) warmupShare {
	limit := ratePerS*bounds.Overshoot + bounds.Slack
	for senders := maxSenders; senders > 0; senders-- {
		spacing := spacingMargin * float64(senders) / ratePerS
		if float64(concurrentSenderSets*senders*maxInOneSecond(spacing)) <= limit {
			return warmupShare{senders: senders, spacingUs: int64(spacing * secondUs)}
		}
	}
	return warmupShare{senders: 1, spacingUs: int64(spacingMargin * secondUs)}
}

// maxInOneSecond returns how many requests at most, so many seconds apart, lie in one second.
func maxInOneSecond(spacing float64) int { return int(math.Floor(1/spacing)) + 1 }

// warmup is the warm-up of one runner.
type warmup struct {
	untilUs          int64
	seq, remainingUs int64 // the heartbeat that said so
	observed         bool
	nextRequestUs    int64 // when this node may send it the next request
	isSender         bool
	senderCheckedUs  int64
}

// observe takes the record of a runner.
func (w *warmup) observe(n messages.RunnerRecord, nowUs int64) {
	if w.observed && w.seq == n.Seq && w.remainingUs == n.ColdLeftUs {
		return
	}
	w.observed, w.seq, w.remainingUs = true, n.Seq, n.ColdLeftUs
	w.untilUs = max(w.untilUs, nowUs+n.ColdLeftUs)
	if n.ColdLeftUs == 0 {
		w.untilUs = min(w.untilUs, nowUs)
	}
}

// warmupConfig is what the warm-ups of all runners have in common.
type warmupConfig struct {
	bounds  WarmupBounds
	nodes   *rendezvous.Nodes
	startUs int64
}

// SetWarmup sets who this node is, for the choice of lenders, and the bounds.
func (a *Admitter) SetWarmup(self string, bounds WarmupBounds, nowUs int64) {
	if bounds.Overshoot <= 0 {
		bounds = WarmupBounds{Overshoot: defaultOvershoot, Slack: max(bounds.Slack, defaultSlack)}
	}
	a.warmups = warmupConfig{bounds: bounds, nodes: rendezvous.NewNodes(self, nowUs), startUs: nowUs}
}

// SeeNodes sets which nodes are seen, and how many share the runners.
func (a *Admitter) SeeNodes(addrs []string, nowUs int64) {
	if a.warmups.nodes != nil {
		a.warmups.nodes.See(addrs, nowUs)
	}
}

// SetWarmups sets how many requests a second a runner of a service bears while it warms up,
// 0 being any number, and takes in what the records of the runners say. It follows SetService.
func (a *Admitter) SetWarmups(service string, ratePerS float64, nowUs int64) {
	p := a.pool(service)
	for _, id := range p.order {
		p.runners[id].warmup.observe(p.runners[id].record, nowUs)
	}
	if ratePerS == p.warmupRatePerS {
		return
	}
	p.warmupRatePerS = ratePerS
	if ratePerS > 0 {
		p.warmupShare = newWarmupShare(ratePerS, a.warmups.bounds)
	}
}

// warmingUp reports whether a runner is to get no more than its share of a warm-up.
func (p *pool) warmingUp(r *runner, nowUs int64) bool {
	return p.warmupRatePerS > 0 && nowUs < r.warmup.untilUs
}

// warmupAllows reports whether this node may send a runner a request as far as its warm-up
// goes.
func (a *Admitter) warmupAllows(p *pool, r *runner, nowUs int64) bool {
	return !p.warmingUp(r, nowUs) || nowUs >= r.warmup.nextRequestUs && a.isSender(p, r, nowUs)
}

// isSender reports whether this node is a lender of a runner.
func (a *Admitter) isSender(p *pool, r *runner, nowUs int64) bool {
	w := &r.warmup
	if w.senderCheckedUs == 0 || nowUs-w.senderCheckedUs >= senderCheckPeriodUs {
		w.senderCheckedUs = nowUs
		w.isSender = a.warmups.nodes != nil && nowUs-a.warmups.startUs >= senderStartDelayUs &&
			a.warmups.nodes.Among(r.record.ID, p.warmupShare.senders)
	}
	return w.isSender
}

// recordWarmup counts a request that goes to a runner.
func (p *pool) recordWarmup(r *runner, nowUs int64) {
	if p.warmingUp(r, nowUs) {
		r.warmup.nextRequestUs = nowUs + p.warmupShare.spacingUs
	}
}

// restartWarmups takes all runners of a zone for cold for a while, until they have said what they
// are.
func (a *Admitter) restartWarmups(zone string, forUs, nowUs int64) {
	for _, p := range a.pools {
		for _, r := range p.runners {
			if r.record.Zone == zone {
				r.warmup.untilUs = max(r.warmup.untilUs, nowUs+forUs)
			}
		}
	}
}

// WarmingUp lists the runners that warm up, and what this node may send them.
func (a *Admitter) WarmingUp(nowUs int64) []messages.WarmupCondition {
	var out []messages.WarmupCondition
	for _, p := range a.pools {
		for id, r := range p.runners {
			if !p.warmingUp(r, nowUs) {
				continue
			}
			c := messages.WarmupCondition{ID: id, LeftUs: r.warmup.untilUs - nowUs}
			if a.isSender(p, r, nowUs) {
				c.RatePerS = secondUs / float64(p.warmupShare.spacingUs)
			}
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y messages.WarmupCondition) int { return strings.Compare(x.ID, y.ID) })
	return out
}
