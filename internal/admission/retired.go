// Retired weights versions: no request is sent to a runner with retired weights, no blocks are
// fetched from one, and prefixes cached under retired weights are not used.

package admission

import "beechtide.org/beechtide/internal/messages"

// SetRetired sets, by model, the lowest weights version that is not retired.
func (a *Admitter) SetRetired(retired map[string]int64) { a.retiredBelow = retired }

// WeightsRetired reports whether a version of a model's weights is retired. An unknown
// version, 0, counts as older than any other.
func (a *Admitter) WeightsRetired(model string, version int64) bool {
	return version < a.retiredBelow[model]
}

// HasRetiredWeights reports whether the weights version of an admission has been retired since. It uses
// the version at admission, which the keys of the cached prefixes contain.
func (a *Admitter) HasRetiredWeights(adm *Admission) bool {
	return a.WeightsRetired(adm.model, adm.WeightsVersion)
}

// CountRetired returns the number of runners that still have retired weights of a model, and the
// number of prompt parts cached at these runners.
func (a *Admitter) CountRetired(model string) (runners, parts int) {
	for _, p := range a.pools {
		for _, r := range p.runners {
			if hasModel(r.record, model) && a.WeightsRetired(model, weightsVersion(r.record, model)) {
				runners++
				parts += a.Index.ReportedParts(r.record.ID)
			}
		}
	}
	return runners, parts
}

// hasModel reports whether a runner's record lists a model.
func hasModel(n messages.RunnerRecord, model string) bool {
	for _, m := range n.Models {
		if m.Model == model {
			return true
		}
	}
	return false
}
