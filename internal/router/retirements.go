// Retired weights, as listed in the configuration.

package router

import (
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// retirements records since when weights have been retired on this node. It is guarded by
// admissionMu.
type retirements struct{ sinceUs map[messages.Target]int64 }

// observe applies the retirements of a configuration: by model, the first version that is not
// retired.
func (r *retirements) observe(retired map[string]int64, nowUs int64) {
	next := map[messages.Target]int64{}
	for model, before := range retired {
		key := messages.Target{Model: model, Version: before}
		next[key] = nowUs
		if sinceUs, known := r.sinceUs[key]; known {
			next[key] = sinceUs
		}
	}
	r.sinceUs = next
}

// retiredConditions returns the retired weights, the number of runners that still have them and of
// the prompt parts that these have cached.
func (r *Router) retiredConditions() []messages.RetiredCondition {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	var conditions []messages.RetiredCondition
	byModel := func(a, b messages.Target) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.retirements.sinceUs), byModel) {
		runners, parts := r.admission.CountRetired(key.Model)
		conditions = append(conditions, messages.RetiredCondition{Model: key.Model, Before: key.Version, SinceUs: r.clock() - r.retirements.sinceUs[key], Runners: runners, Parts: parts})
	}
	return conditions
}
