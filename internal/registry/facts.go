package registry

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// withFacts adds to a record what another record of the same runner knows and
// that is not taken back: that it drains, its newest weights, and the newest cordon.
func withFacts(n, other messages.RunnerRecord) messages.RunnerRecord {
	n.Draining = n.Draining || other.Draining
	n.Models = newestOf(n.Models, other.Models)
	if n.Version == "" {
		n.Version = other.Version // a node of an earlier release passes none on
	}
	if other.BarVersion > n.BarVersion {
		n.Cordoned, n.DrainingLong, n.BarVersion = other.Cordoned, other.DrainingLong, other.BarVersion
	}
	return n
}

// warmupToleranceUs is by how much a heartbeat may differ from what the one before it let
// expect of a warm-up, without being news.
const warmupToleranceUs = 300_000

// warmupChanged reports whether a heartbeat says something else of a runner's warm-up than was
// expected by now: that it is over, or that it takes longer.
func warmupChanged(expectedUs, formerUs, leftUs int64) bool {
	over := leftUs == 0 && formerUs > 0
	return over || leftUs > max(expectedUs, 0)+warmupToleranceUs
}

// newestOf gives, for each model of either list, the newest version.
func newestOf(a, b []messages.Target) []messages.Target {
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

// sameButSequence reports whether two records of a runner differ in their sequence at most.
func sameButSequence(a, b messages.RunnerRecord) bool {
	return slices.Equal(a.Models, b.Models) && a.Addr == b.Addr && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Gone == b.Gone && a.Stale == b.Stale && a.Lost == b.Lost &&
		a.Cordoned == b.Cordoned && a.DrainingLong == b.DrainingLong && a.Version == b.Version
}
