// Rollouts of services, as received from the registers.

package router

import (
	"strconv"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// recordRollouts passes the rollouts of a register to the admission control. The caller holds
// stateMu.
func (r *Router) recordRollouts(rollouts []messages.ServiceRollout, reverted []messages.RevertedVersion) {
	if len(rollouts) == 0 {
		return
	}
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.SetRollouts(rollouts, reverted)
}

// outcomeClass returns the class within which the outcomes of requests are compared: routes with the
// same latency setpoint are in one class.
func outcomeClass(route *routeconfig.Route) string {
	const usPerMs = 1000
	return strconv.FormatInt(route.SetpointUs/usPerMs, 10) + " ms"
}
