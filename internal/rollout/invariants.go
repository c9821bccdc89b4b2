package rollout

import "beechtide.org/beechtide/internal/invariant"

// Runners reject an order whose fencing token is lower than the highest they have seen,
// so a controller whose token decreased could not finish its rollout.
var fenceNeverDecreases = invariant.New("rollout_fence_goes_forward",
	"the fencing token under which a controller plans a rollout never decreases")
