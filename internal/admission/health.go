// Outlier detection by the outcomes of requests, independent of the runner's health
// endpoint. A runner that fails a far larger share of its requests than the others is
// ejected from the candidates, with exponential backoff, and returns with a slow start.
// Outcomes that this node observed count fully, those reported by other nodes count half.
// An ejected runner stays in the registry and is used as a last resort.

package admission

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of outlier ejection. Times are in microseconds.
const (
	outcomeWindowUs    = 4_000_000  // outcomes are counted per window; the current and the previous one are used
	peerWeight         = 0.5        // weight of outcomes reported by other nodes
	minFailureShare    = 0.2        // minimum failure share for an ejection
	outlierFactor      = 3.0        // minimum ratio to the failure share of the healthy runners
	minFailures        = 1.5        // minimum weighted number of failures for an ejection
	maxEjectedShare    = 0.2        // maximum share of a service's runners that are ejected at a time
	ejectionUs         = 2_000_000  // duration of the first ejection
	maxEjectionUs      = 16_000_000 // maximum duration; it doubles with each ejection
	ejectionResetUs    = 30_000_000 // time without an ejection after which the duration is reset
	slowStartUs        = 4_000_000  // duration of the slow start after an ejection
	maxSlowStartCostUs = 300_000.0  // placement cost at the start of the slow start, in microseconds
)

// outcomes counts requests and how many of them failed.
type outcomes struct{ total, failed int }

// health holds the recent outcomes of a runner's requests and its ejection. Outcomes are
// counted in windows of outcomeWindowUs; span is the number of the current one.
type health struct {
	span              int64
	current, previous outcomes
	peers             outcomes
	ejectedUntilUs    int64
	ejectedForUs      int64
}

// rotate advances the outcome windows to the current time.
func (h *health) rotate(nowUs int64) {
	switch span := nowUs / outcomeWindowUs; {
	case span == h.span:
	case span == h.span+1:
		h.span, h.previous, h.current = span, h.current, outcomes{}
	default:
		h.span, h.previous, h.current = span, outcomes{}, outcomes{}
	}
}

// record counts the outcome of one request.
func (h *health) record(succeeded bool, nowUs int64) {
	h.rotate(nowUs)
	h.current.total++
	if !succeeded {
		h.current.failed++
	}
}

// own returns this node's outcomes of the current and the previous window.
func (h *health) own(nowUs int64) outcomes {
	h.rotate(nowUs)
	return outcomes{h.current.total + h.previous.total, h.current.failed + h.previous.failed}
}

// weighted returns this node's outcomes plus the weighted outcomes of the other nodes.
func (h *health) weighted(nowUs int64) (total, failed float64) {
	own := h.own(nowUs)
	return float64(own.total) + peerWeight*float64(h.peers.total), float64(own.failed) + peerWeight*float64(h.peers.failed)
}

func (h *health) ejected(nowUs int64) bool { return nowUs < h.ejectedUntilUs }

// slowStartCostUs returns the placement cost of a runner in slow start, which decreases
// linearly to 0.
func (h *health) slowStartCostUs(nowUs int64) float64 {
	if h.ejectedUntilUs == 0 {
		return 0
	}
	return maxSlowStartCostUs * math.Max(0, 1-float64(max(nowUs-h.ejectedUntilUs, 0))/slowStartUs)
}

// suspect is a runner with enough failures to be ejected if it is an outlier.
type suspect struct {
	health       *health
	failureShare float64 // share of its requests that failed, computed with one extra success
}

// healthSummary classifies a service's runners by health.
type healthSummary struct {
	suspects                    []suspect
	healthyTotal, healthyFailed float64 // summed outcomes of the healthy runners
	ejected                     int     // number of ejected runners
}

// summarizeHealth classifies the runners of a service as ejected, suspect or healthy.
func (p *pool) summarizeHealth(nowUs int64) (summary healthSummary) {
	for _, id := range p.order {
		h := &p.runners[id].health
		if h.ejected(nowUs) {
			summary.ejected++
			continue
		}
		total, failed := h.weighted(nowUs)
		if failureShare := failed / (total + 1); failed >= minFailures && failureShare >= minFailureShare {
			summary.suspects = append(summary.suspects, suspect{h, failureShare})
			continue
		}
		summary.healthyTotal, summary.healthyFailed = summary.healthyTotal+total, summary.healthyFailed+failed
	}
	return summary
}

// ejectOutliers ejects the suspect runners of a service whose failure share is an
// outlier, the worst first. If more than half of the runners are suspect, the cause is
// assumed to lie elsewhere, and none is ejected.
func (p *pool) ejectOutliers(nowUs int64) {
	summary := p.summarizeHealth(nowUs)
	suspects, ejected := summary.suspects, summary.ejected
	if len(suspects) == 0 || len(p.order) < 2 || 2*len(suspects) > len(p.order) && len(p.order) > 2 {
		return
	}
	slices.SortStableFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.failureShare, a.failureShare) })
	maxEjected := max(int(maxEjectedShare*float64(len(p.order))), 1)
	for _, s := range suspects {
		if ejected >= maxEjected || s.failureShare < outlierFactor*summary.healthyFailed/math.Max(summary.healthyTotal, 1) {
			return
		}
		s.health.eject(nowUs)
		ejected++
	}
}

// eject ejects the runner, with exponential backoff, and clears its outcomes, so that
// after its return only new failures lead to another ejection.
func (h *health) eject(nowUs int64) {
	if nowUs-h.ejectedUntilUs > ejectionResetUs || h.ejectedForUs == 0 {
		h.ejectedForUs = ejectionUs
	} else {
		h.ejectedForUs = min(2*h.ejectedForUs, maxEjectionUs)
	}
	h.ejectedUntilUs, h.current, h.previous, h.peers = nowUs+h.ejectedForUs, outcomes{}, outcomes{}, outcomes{}
}
