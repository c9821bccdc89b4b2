// Evaluation of the target weights versions and of the orders to load them.

package soak

import "time"

// runnerFence is a fencing token as one runner received it.
type runnerFence struct {
	runner string
	fence  int64
}

func (e *evaluator) checkWeights() {
	e.checkRunnerFences()
	e.checkWeightsTargets()
}

// checkRunnerFences reports orders of two holders to one runner under one fence.
func (e *evaluator) checkRunnerFences() {
	holders := map[runnerFence]string{}
	for _, order := range e.Orders {
		key := runnerFence{order.Runner, order.Fence}
		first, known := holders[key]
		if known && first != order.Holder {
			e.addViolation(RuleOne, order.Arrived, "%s got orders under fence %d from %s and from %s", order.Runner, order.Fence, first, order.Holder)
		}
		holders[key] = order.Holder
	}
}

// checkWeightsTargets requires that every target version was acknowledged and that every runner
// has loaded the newest one.
func (e *evaluator) checkWeightsTargets() {
	newest := int64(1)
	for _, target := range e.Namings {
		newest = max(newest, target.Version)
		if !target.Acknowledged {
			e.addViolation(RuleVersion, target.Ended, "weights version %d isn't acknowledged after %s", target.Version, target.Ended.Sub(target.Sent).Round(time.Millisecond))
		}
	}
	for _, loaded := range e.Weights {
		if loaded.Version != newest {
			e.addViolation(RuleVersion, e.Calm, "%s has weights version %d in calm, %d is named", loaded.Runner, loaded.Version, newest)
		}
	}
}
