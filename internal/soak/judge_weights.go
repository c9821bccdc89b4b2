// The part of the judge that is about named weights and the orders to load them.

package soak

import "time"

// runnerFence is a fence as one runner saw it.
type runnerFence struct {
	runner string
	fence  int64
}

func (j *judge) checkWeights() {
	j.checkFences()
	j.checkNamings()
}

// checkFences looks for orders of two holders to one runner under one fence.
func (j *judge) checkFences() {
	holders := map[runnerFence]string{}
	for _, order := range j.Orders {
		key := runnerFence{order.Runner, order.Fence}
		first, known := holders[key]
		if known && first != order.Holder {
			j.broken(RuleOne, order.Arrived, "%s got orders under fence %d from %s and from %s", order.Runner, order.Fence, first, order.Holder)
		}
		holders[key] = order.Holder
	}
}

// checkNamings wants every naming acknowledged in the end, and the newest at every runner.
func (j *judge) checkNamings() {
	newest := int64(1)
	for _, naming := range j.Namings {
		newest = max(newest, naming.Version)
		if !naming.Acknowledged {
			j.broken(RuleVersion, naming.Ended, "weights version %d isn't acknowledged after %s", naming.Version, naming.Ended.Sub(naming.Sent).Round(time.Millisecond))
		}
	}
	for _, loaded := range j.Weights {
		if loaded.Version != newest {
			j.broken(RuleVersion, j.Calm, "%s has weights version %d in calm, %d is named", loaded.Runner, loaded.Version, newest)
		}
	}
}
