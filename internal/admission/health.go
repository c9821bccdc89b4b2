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
	windowUs        = 4_000_000  // outcomes are counted in spans; the current and the last one count
	peerWeight      = 0.5        // weight of the other nodes' outcomes
	minFailureShare = 0.2        // share of failures from which a runner may be ejected
	outlierFactor   = 3.0        // and how many times the failure share of the healthy runners it must be
	minFailures     = 1.5        // weighted failures below which no runner is ejected
	maxEjectedPart  = 0.2        // part of a service's runners that may be ejected at once
	ejectionUs      = 2_000_000  // first ejection
	maxEjectionUs   = 16_000_000 // maximum ejection; it doubles with each
	ejectionResetUs = 30_000_000 // time after an ejection after which the next one is a first one again
	rampUs          = 4_000_000  // slow start after an ejection
	rampCostUs      = 300_000.0  // cost in the matching at the beginning of the slow start
)

type outcomes struct{ tried, failed int }

type health struct {
	span           int64
	now, last      outcomes
	hint           outcomes
	ejectedUntilUs int64
	ejectedForUs   int64
}

func (h *health) roll(nowUs int64) {
	switch span := nowUs / windowUs; {
	case span == h.span:
	case span == h.span+1:
		h.span, h.last, h.now = span, h.now, outcomes{}
	default:
		h.span, h.last, h.now = span, outcomes{}, outcomes{}
	}
}

func (h *health) record(good bool, nowUs int64) {
	h.roll(nowUs)
	h.now.tried++
	if !good {
		h.now.failed++
	}
}

// own returns this node's outcomes that still count.
func (h *health) own(nowUs int64) outcomes {
	h.roll(nowUs)
	return outcomes{h.now.tried + h.last.tried, h.now.failed + h.last.failed}
}

func (h *health) weighed(nowUs int64) (tried, failed float64) {
	own := h.own(nowUs)
	return float64(own.tried) + peerWeight*float64(h.hint.tried), float64(own.failed) + peerWeight*float64(h.hint.failed)
}

func (h *health) ejected(nowUs int64) bool { return nowUs < h.ejectedUntilUs }

// doubtUs returns the cost in the matching of a runner in slow start.
func (h *health) doubtUs(nowUs int64) float64 {
	if h.ejectedUntilUs == 0 {
		return 0
	}
	return rampCostUs * math.Max(0, 1-float64(max(nowUs-h.ejectedUntilUs, 0))/rampUs)
}

// suspect is a runner that fails many of its requests.
type suspect struct {
	health *health
	share  float64 // of its requests that failed
}

// outlook is the health of a service's runners at one time.
type outlook struct {
	suspects                    []suspect
	healthyTried, healthyFailed float64 // outcomes of the other runners, added up
	ejected                     int     // runners that are ejected already
}

// outlook sorts the runners of a service into ejected, suspect and healthy ones.
func (p *pool) outlook(nowUs int64) (o outlook) {
	for _, id := range p.order {
		h := &p.runners[id].health
		if h.ejected(nowUs) {
			o.ejected++
			continue
		}
		tried, failed := h.weighed(nowUs)
		if share := failed / (tried + 1); failed >= minFailures && share >= minFailureShare {
			o.suspects = append(o.suspects, suspect{h, share})
			continue
		}
		o.healthyTried, o.healthyFailed = o.healthyTried+tried, o.healthyFailed+failed
	}
	return o
}

// eject decides anew which runners of a service are ejected. If most of them fail the
// cause is not the runners, and none is.
func (p *pool) eject(nowUs int64) {
	o := p.outlook(nowUs)
	list, ejected := o.suspects, o.ejected
	if len(list) == 0 || len(p.order) < 2 || 2*len(list) > len(p.order) && len(p.order) > 2 {
		return
	}
	slices.SortStableFunc(list, func(a, b suspect) int { return cmp.Compare(b.share, a.share) })
	most := max(int(maxEjectedPart*float64(len(p.order))), 1)
	for _, s := range list {
		if ejected >= most || s.share < outlierFactor*o.healthyFailed/math.Max(o.healthyTried, 1) {
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
	h.ejectedUntilUs, h.now, h.last, h.hint = nowUs+h.ejectedForUs, outcomes{}, outcomes{}, outcomes{}
}
