// Retired weights: nothing is sent to a runner that has them, nothing is fetched from one,
// and what was cached under them is not used.

package admission

import "beechtide.org/beechtide/internal/messages"

// SetRetired sets, by model, the first version of the weights that is not retired.
func (a *Admitter) SetRetired(retired map[string]int64) { a.retiredBelow = retired }

// RetiredWeights reports whether a version of a model's weights is retired. A version that
// is not known, 0, counts as older than any.
func (a *Admitter) RetiredWeights(model string, version int64) bool {
	return version < a.retiredBelow[model]
}

// Retired reports whether an admission is for weights that have been retired since. It goes
// by the version at admission, which the cached prefixes are found by.
func (a *Admitter) Retired(adm *Admission) bool { return a.RetiredWeights(adm.model, adm.Version) }

// RetiredLeft counts the runners that still have retired weights of a model, and the parts
// of prompts that these have cached.
func (a *Admitter) RetiredLeft(model string) (runners, parts int) {
	for _, p := range a.pools {
		for _, r := range p.runners {
			if hasModel(r.record, model) && a.RetiredWeights(model, weightsVersion(r.record, model)) {
				runners++
				parts += a.Index.Size(r.record.ID)
			}
		}
	}
	return runners, parts
}

func hasModel(n messages.RunnerRecord, model string) bool {
	for _, m := range n.Models {
		if m.Model == model {
			return true
		}
	}
	return false
}
