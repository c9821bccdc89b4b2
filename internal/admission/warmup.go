// Warm-up: a runner that has just started, or has become cold again, can serve only a few requests
// per second from all nodes together. A few nodes, its senders, share that
// rate; the other nodes send no requests to it until it is warm. Every node chooses the senders
// by rendezvous hashing, without messages, so that the choice works on both sides of a network
// partition. docs/design/warm-up.md derives each sender's share.

package admission

import (
	"math"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rendezvous"
)

// WarmupBounds limits how far the requests to a runner in warm-up may exceed its warm-up rate.
type WarmupBounds struct {
	Overshoot float64 // factor of the rate
	Slack     float64 // additional requests per second
}

const (
	// defaultOvershoot and defaultSlack apply if the settings do not define the bounds.
	defaultOvershoot = 1.0
	defaultSlack     = 2.0
	// concurrentSenderSets is how many different sets of senders may serve a runner at the same
	// time: nodes with different views of the membership choose different senders.
	concurrentSenderSets = 2
	// maxSenders is the maximum number of nodes that share the rate of a runner.
	maxSenders = 8
	// senderStartDelayUs is the time after its start during which a node is not a sender, in
	// microseconds: it has not discovered the other nodes yet, and the node's previous process
	// may have sent requests shortly before.
	senderStartDelayUs = 3_000_000
	// spacingMargin lengthens the interval between two requests of a sender, because network
	// delay varies between requests.
	spacingMargin = 1.05
	secondUs      = 1_000_000
	// senderCheckPeriodUs is how long a node reuses the result of its last sender check.
	senderCheckPeriodUs = 500_000
)

// warmupShare is the share of a runner's warm-up rate that each of its senders may use.
type warmupShare struct {
	senders   int
	spacingUs int64 // interval between two requests of one sender
}

// newWarmupShare divides the rate of a runner among the largest number of senders for which the
// requests of concurrentSenderSets sets of senders stay within the bounds.
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

// maxInOneSecond returns the maximum number of requests in one second at the given spacing in seconds.
func maxInOneSecond(spacing float64) int { return int(math.Floor(1/spacing)) + 1 }

// warmup is the warm-up state of one runner.
type warmup struct {
	untilUs          int64
	seq, remainingUs int64 // of the last record applied
	observed         bool
	nextRequestUs    int64 // earliest time of this node's next request to the runner
	isSender         bool
	senderCheckedUs  int64
}

// observe applies the record of a runner. A record that repeats the last one does not extend the
// warm-up.
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

// warmupConfig holds what is common to the warm-ups of all runners.
type warmupConfig struct {
	bounds  WarmupBounds
	nodes   *rendezvous.Nodes
	startUs int64
}

// SetWarmup sets the identity of this node, for the choice of senders, and the bounds.
func (a *Admitter) SetWarmup(self string, bounds WarmupBounds, nowUs int64) {
	if bounds.Overshoot <= 0 {
		bounds = WarmupBounds{Overshoot: defaultOvershoot, Slack: max(bounds.Slack, defaultSlack)}
	}
	a.warmups = warmupConfig{bounds: bounds, nodes: rendezvous.NewNodes(self, nowUs), startUs: nowUs}
}

// RecordVisibleNodes records the nodes that are visible now. The senders are chosen among the nodes seen
// recently.
func (a *Admitter) RecordVisibleNodes(addrs []string, nowUs int64) {
	if a.warmups.nodes != nil {
		a.warmups.nodes.MarkSeen(addrs, nowUs)
	}
}

// SetWarmupRate sets the warm-up rate of a service's runners in requests per second, 0 for no
// limit, and applies the warm-up state in the runners' records. It must be called after
// SetService.
func (a *Admitter) SetWarmupRate(service string, ratePerS float64, nowUs int64) {
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

// warmingUp reports whether the warm-up limit applies to a runner.
func (p *pool) warmingUp(r *runner, nowUs int64) bool {
	return p.warmupRatePerS > 0 && nowUs < r.warmup.untilUs
}

// warmupAllows reports whether the warm-up limit allows this node to send a runner a request
// now.
func (a *Admitter) warmupAllows(p *pool, r *runner, nowUs int64) bool {
	return !p.warmingUp(r, nowUs) || nowUs >= r.warmup.nextRequestUs && a.isSender(p, r, nowUs)
}

// isSender reports whether this node is one of a runner's senders.
func (a *Admitter) isSender(p *pool, r *runner, nowUs int64) bool {
	w := &r.warmup
	if w.senderCheckedUs == 0 || nowUs-w.senderCheckedUs >= senderCheckPeriodUs {
		w.senderCheckedUs = nowUs
		w.isSender = a.warmups.nodes != nil && nowUs-a.warmups.startUs >= senderStartDelayUs &&
			a.warmups.nodes.SelfInTop(r.record.ID, p.warmupShare.senders)
	}
	return w.isSender
}

// recordWarmup records a request to a runner, which delays the next one during warm-up.
func (p *pool) recordWarmup(r *runner, nowUs int64) {
	if p.warmingUp(r, nowUs) {
		r.warmup.nextRequestUs = nowUs + p.warmupShare.spacingUs
	}
}

// restartWarmups treats all runners of a zone as cold for at least forUs, unless a new record of
// a runner reports that it is warm.
func (a *Admitter) restartWarmups(zone string, forUs, nowUs int64) {
	for _, p := range a.pools {
		for _, r := range p.runners {
			if r.record.Zone == zone {
				r.warmup.untilUs = max(r.warmup.untilUs, nowUs+forUs)
			}
		}
	}
}

// WarmingUp returns the runners in warm-up, sorted by identity, each with the rate at which this
// node may send requests to it.
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
