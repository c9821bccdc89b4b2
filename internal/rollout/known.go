package rollout

import (
	"cmp"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// maxNewRunnerSequence is the highest heartbeat sequence of a runner that has just
// registered.
const maxNewRunnerSequence = 2

// RunnersOf returns the runners that serve a model, sorted by ID. A runner that has not
// reported its models counts as serving it if it belongs to the service. Draining
// runners are excluded. Stale ones are included, as they may still be running.
func RunnersOf(records map[string]messages.RunnerRecord, model, service string) []Runner {
	var out []Runner
	for id, record := range records {
		version, serves := versionOf(record, model)
		unknown := len(record.Models) == 0 && service != "" && record.Service == service
		if record.Draining || !serves && !unknown {
			continue
		}
		out = append(out, Runner{ID: id, Version: version, Cordoned: record.Cordoned, Draining: record.DrainingLong, NewlyRegistered: record.Seq <= maxNewRunnerSequence})
	}
	slices.SortFunc(out, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// versionOf returns the version of a model's weights that a runner reports, and whether
// it serves the model.
func versionOf(record messages.RunnerRecord, model string) (version int64, serves bool) {
	for _, target := range record.Models {
		if target.Model == model {
			return target.Version, true
		}
	}
	return 0, false
}
