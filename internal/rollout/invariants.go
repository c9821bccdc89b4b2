package rollout

import "beechtide.org/beechtide/internal/invariant"

// Runners reject orders under a lower fencing token than one they have seen, so a
// controller whose token went back could not finish its rollout.
var fenceGoesForward = invariant.New("rollout_fence_goes_forward",
	"the fencing token under which a controller plans a rollout never decreases")
