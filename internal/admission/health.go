// Outlier detection: what the outcomes of requests say of a runner, whatever its
// health endpoint says. A runner that fails far more of its requests than the others
// is ejected from the candidates for a while, longer each time, and comes back with
// few requests at first. The outcomes are this node's own; those of the other nodes
// are a hint, which counts half. An ejected runner stays in the registry and is used
// where no other is left.

package admission

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the ejection. Times are in microseconds.
const (
	outcomeWindowUs    = 4_000_000  // outcomes are counted in spans; the current and the last one count
	peerWeight         = 0.5        // weight of the other nodes' outcomes
	minFailureShare    = 0.2        // share of failures from which a runner may be ejected
	outlierFactor      = 3.0        // and how many times the failure share of the healthy runners it must be
	minFailures        = 1.5        // weighted failures below which no runner is ejected
	maxEjectedShare    = 0.2        // part of a service's runners that may be ejected at once
	ejectionUs         = 2_000_000  // first ejection
	maxEjectionUs      = 16_000_000 // maximum ejection; it doubles with each
	ejectionResetUs    = 30_000_000 // time after an ejection after which the next one is a first one again
	slowStartUs        = 4_000_000  // slow start after an ejection
	maxSlowStartCostUs = 300_000.0  // cost in the matching at the beginning of the slow start
)

type outcomes struct{ tried, failed int }

type health struct {
	span              int64
	current, previous outcomes
	peers             outcomes
	ejectedUntilUs    int64
	ejectedForUs      int64
}

func (h *health) rotate(nowUs int64) {
	switch span := nowUs / outcomeWindowUs; {
	case span == h.span:
	case span == h.span+1:
		h.span, h.previous, h.current = span, h.current, outcomes{}
	default:
		h.span, h.previous, h.current = span, outcomes{}, outcomes{}
	}
}

func (h *health) record(succeeded bool, nowUs int64) {
	h.rotate(nowUs)
	h.current.tried++
	if !succeeded {
		h.current.failed++
	}
}

// own returns this node's outcomes that still count.
func (h *health) own(nowUs int64) outcomes {
	h.rotate(nowUs)
	return outcomes{h.current.tried + h.previous.tried, h.current.failed + h.previous.failed}
}

func (h *health) weighted(nowUs int64) (tried, failed float64) {
	own := h.own(nowUs)
	return float64(own.tried) + peerWeight*float64(h.peers.tried), float64(own.failed) + peerWeight*float64(h.peers.failed)
}

func (h *health) ejected(nowUs int64) bool { return nowUs < h.ejectedUntilUs }

// slowStartCostUs returns the cost in the matching of a runner in slow start.
func (h *health) slowStartCostUs(nowUs int64) float64 {
	if h.ejectedUntilUs == 0 {
		return 0
	}
	return maxSlowStartCostUs * math.Max(0, 1-float64(max(nowUs-h.ejectedUntilUs, 0))/slowStartUs)
}

// suspect is a runner that fails many of its requests.
type suspect struct {
	health       *health
	failureShare float64 // of its requests that failed
}

// healthSummary is the health of a service's runners at one time.
type healthSummary struct {
	suspects                    []suspect
	healthyTried, healthyFailed float64 // outcomes of the other runners, added up
	ejected                     int     // runners that are ejected already
}

// healthSummary sorts the runners of a service into ejected, suspect and healthy ones.
func (p *pool) summarizeHealth(nowUs int64) (summary healthSummary) {
	for _, id := range p.order {
		h := &p.runners[id].health
		if h.ejected(nowUs) {
			summary.ejected++
			continue
		}
		tried, failed := h.weighted(nowUs)
		if failureShare := failed / (tried + 1); failed >= minFailures && failureShare >= minFailureShare {
			summary.suspects = append(summary.suspects, suspect{h, failureShare})
			continue
		}
		summary.healthyTried, summary.healthyFailed = summary.healthyTried+tried, summary.healthyFailed+failed
	}
	return summary
}

// ejectOutliers decides anew which runners of a service are ejected. If most of them fail the
// cause is not the runners, and none is.
func (p *pool) ejectOutliers(nowUs int64) {
	summary := p.summarizeHealth(nowUs)
	suspects, ejected := summary.suspects, summary.ejected
	if len(suspects) == 0 || len(p.order) < 2 || 2*len(suspects) > len(p.order) && len(p.order) > 2 {
		return
	}
	slices.SortStableFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.failureShare, a.failureShare) })
	maxEjected := max(int(maxEjectedShare*float64(len(p.order))), 1)
	for _, s := range suspects {
		if ejected >= maxEjected || s.failureShare < outlierFactor*summary.healthyFailed/math.Max(summary.healthyTried, 1) {
			return
		}
		s.health.eject(nowUs)
		ejected++
	}
}

// eject ejects the runner, for longer each time, and clears its outcomes: they have had
// their effect.
func (h *health) eject(nowUs int64) {
	if nowUs-h.ejectedUntilUs > ejectionResetUs || h.ejectedForUs == 0 {
		h.ejectedForUs = ejectionUs
	} else {
		h.ejectedForUs = min(2*h.ejectedForUs, maxEjectionUs)
	}
	h.ejectedUntilUs, h.current, h.previous, h.peers = nowUs+h.ejectedForUs, outcomes{}, outcomes{}, outcomes{}
}
