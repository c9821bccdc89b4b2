package registry

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// mergeFacts merges into a record the facts of another record of the same runner that are
// never revoked: draining, the newest weights and the newest cordon.
func mergeFacts(record, other messages.RunnerRecord) messages.RunnerRecord {
	record.Draining = record.Draining || other.Draining
	record.Models = newestVersions(record.Models, other.Models)
	if record.Version == "" {
		record.Version = other.Version // a node of an earlier release forwards no version
	}
	if other.BarVersion > record.BarVersion {
		record.Cordoned, record.DrainingLong, record.BarVersion = other.Cordoned, other.DrainingLong, other.BarVersion
	}
	return record
}

// warmupToleranceUs is by how much the remaining warm-up time of a heartbeat may exceed
// the time expected from the previous heartbeat without counting as a change.
const warmupToleranceUs = 300_000

// warmupChanged reports whether a heartbeat changes the expected end of a runner's
// warm-up: the warm-up is over, or it takes longer than expected.
func warmupChanged(expectedUs, previousUs, remainingUs int64) bool {
	over := remainingUs == 0 && previousUs > 0
	return over || remainingUs > max(expectedUs, 0)+warmupToleranceUs
}

// newestVersions returns the newest version of each model in either list.
func newestVersions(a, b []messages.Target) []messages.Target {
	out := slices.Clone(b)
	for _, t := range a {
		i := slices.IndexFunc(out, func(o messages.Target) bool { return o.Model == t.Model })
		if i < 0 {
			out = append(out, t)
			continue
		}
		out[i].Version = max(out[i].Version, t.Version)
	}
	return out
}

// equalExceptSequence reports whether two records of a runner are equal apart from the
// sequence.
func equalExceptSequence(a, b messages.RunnerRecord) bool {
	return slices.Equal(a.Models, b.Models) && a.Addr == b.Addr && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Gone == b.Gone && a.Stale == b.Stale && a.Lost == b.Lost &&
		a.Cordoned == b.Cordoned && a.DrainingLong == b.DrainingLong && a.Version == b.Version
}
