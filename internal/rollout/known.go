package rollout

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// freshSequence is the highest heartbeat sequence of a runner that counts as new.
const freshSequence = 2

// RunnersOf lists the runners that carry a model, in the order of their identities:
// by their own word, or by their service where they have not said what they carry.
// Runners that are about to end are left out; stale ones are not, as nothing says
// that they have ended.
func RunnersOf(records map[string]messages.RunnerRecord, model, service string) []Runner {
	var out []Runner
	for id, n := range records {
		version, carries := versionOf(n, model)
		unknown := len(n.Models) == 0 && service != "" && n.Service == service
		if n.Draining || !carries && !unknown {
			continue
		}
		out = append(out, Runner{ID: id, Version: version, Cordoned: n.Barred, Draining: n.Easing, Fresh: n.Seq <= freshSequence})
	}
	slices.SortFunc(out, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func versionOf(n messages.RunnerRecord, model string) (version int64, carries bool) {
	for _, t := range n.Models {
		if t.Model == model {
			return t.Version, true
		}
	}
	return 0, false
}
