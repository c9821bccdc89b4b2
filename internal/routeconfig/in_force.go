package routeconfig

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/invariant"
)

// Requests that were judged by a version are judged by that one or a newer one from
// then on: an operator who has seen a change in force relies on it.
var inForceGoesForward = invariant.New("config_in_force_goes_forward",
	"the version of the configuration in force at a node never goes back while its process runs")

// PutInForce makes next the table in force.
func PutInForce(inForce *atomic.Pointer[Table], next *Table) {
	if before := inForce.Swap(next); before != nil && next.Version < before.Version {
		inForceGoesForward.Violated("before", before.Version, "next", next.Version)
	}
}
