package routeconfig

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/invariant"
)

// Once a request was evaluated with a version, later requests are evaluated with that
// version or a newer one: operators rely on a change that they have seen take effect.
var activeVersionIncreases = invariant.New("config_in_force_goes_forward",
	"the version of the configuration in force at a node never goes back while its process runs")

// SetActive makes next the active table.
func SetActive(active *atomic.Pointer[Table], next *Table) {
	if before := active.Swap(next); before != nil && next.Version < before.Version {
		activeVersionIncreases.Violated("before", before.Version, "next", next.Version)
	}
}
