package rollout

import (
	"slices"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/targets"
)

// NamedVersions returns the versions of a model in the table, oldest first, with the time at
// which each was named, on the clock of nowUs. A version of unknown age counts as named
// boundUs ago: orders that are sent early do no harm.
func NamedVersions(table *targets.Table, model string, boundUs, nowUs int64) []NamedVersion {
	var out []NamedVersion
	for _, target := range table.Targets(model) {
		ageUs := min(target.AgeUs(nowUs), boundUs)
		out = append(out, NamedVersion{Version: target.Version, NamedUs: nowUs - ageUs})
	}
	return out
}

// RecordTarget records a model's newest version in the body of a register, and reports whether
// that changed the body. If the lease was never held and holder is not empty, the same
// change assigns the lease to holder.
func RecordTarget(body *messages.LeaseBody, target messages.Target, holder string) (changed bool) {
	i := slices.IndexFunc(body.Targets, func(t messages.Target) bool { return t.Model == target.Model })
	switch {
	case i < 0:
		body.Targets = append(body.Targets, target)
	case body.Targets[i].Version >= target.Version:
		return false
	default:
		body.Targets[i].Version = target.Version
	}
	if body.Lease.Holder == "" && holder != "" {
		body.Lease = messages.Lease{Holder: holder, Fence: lease.InitialFence}
	}
	return true
}
