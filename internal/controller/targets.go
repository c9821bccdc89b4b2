// Target weights versions: this controller's record of how long ago the versions of
// each model's weights were acknowledged. The register has the versions and is
// durable; the moment is not, since no monotonic clock outlives a process. It is
// therefore sent to the other controllers and to all routers, and a controller that
// restarts learns it from any of them.

package controller

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
	"beechtide.org/beechtide/internal/targets"
)

// namedTargets is the record, safe for concurrent use.
type namedTargets struct {
	mu    sync.Mutex
	table targets.Table
}

// committed notes the versions in a register that are new here; a register also
// changes for other reasons. What a process finds as it starts was named before
// it began.
func (n *namedTargets) committed(list []messages.Target, starting bool, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range list {
		if t.Version <= n.table.Newest(t.Model).Version {
			continue
		}
		if starting {
			n.table.RecordUnknownAge(t.Model, t.Version, nowUs)
		} else {
			n.table.RecordNamed(t.Model, t.Version, nowUs)
		}
	}
}

// named notes a version that this controller is about to acknowledge.
func (n *namedTargets) named(model string, version, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordNamed(model, version, nowUs)
}

// observe takes the ages that another node has sent.
func (n *namedTargets) observe(ages []messages.TargetAge, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.MergeAges(ages, nowUs)
}

// ages are those of all targets now, for other nodes.
func (n *namedTargets) ages(nowUs int64) []messages.TargetAge {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Ages(nowUs)
}

// of is the newest target of a model.
func (n *namedTargets) of(model string) targets.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Newest(model)
}

// Models names the models of which a version was named.
func (n *namedTargets) Models() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Models()
}

// Namings are the versions of a model for the plan of its rollout.
func (n *namedTargets) Namings(model string, boundUs, nowUs int64) []rollout.NamedVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rollout.NamedVersions(&n.table, model, boundUs, nowUs)
}
