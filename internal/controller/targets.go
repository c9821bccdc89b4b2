// Ages of target weights versions: how long ago each version of a model's weights was
// acknowledged. The register stores the versions durably, but not the time of the
// acknowledgement, since a monotonic clock does not outlive its process. Ages are therefore sent
// to the other controllers and to all routers, and a restarted controller receives them from
// any of these.

package controller

import (
	"sync"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
	"beechtide.org/beechtide/internal/targets"
)

// namedTargets records the named versions and their ages. It is safe for concurrent use.
type namedTargets struct {
	mu    sync.Mutex
	table targets.Table
}

// recordCommitted records the versions of a committed register that are new here; a register also
// changes for other reasons. Versions found while the process starts were named earlier, so
// their age is unknown.
func (n *namedTargets) recordCommitted(committed []messages.Target, starting bool, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range committed {
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

// recordNamed records a version that this controller is about to acknowledge.
func (n *namedTargets) recordNamed(model string, version, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordNamed(model, version, nowUs)
}

// mergeAges merges the ages received from another node.
func (n *namedTargets) mergeAges(ages []messages.TargetAge, nowUs int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.MergeAges(ages, nowUs)
}

// ages returns the current ages of all targets, to be sent to other nodes.
func (n *namedTargets) ages(nowUs int64) []messages.TargetAge {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Ages(nowUs)
}

// newest returns the newest target of a model.
func (n *namedTargets) newest(model string) targets.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Newest(model)
}

// Models returns the models that have a named version.
func (n *namedTargets) Models() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Models()
}

// Namings returns the named versions of a model from which its rollout is planned.
func (n *namedTargets) Namings(model string, boundUs, nowUs int64) []rollout.NamedVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rollout.NamedVersions(&n.table, model, boundUs, nowUs)
}
