// Rollouts of services, as this router goes by them.

package router

import (
	"strconv"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// recordRollouts takes what a register says of rollouts. The caller has the mutex of what was
// received.
func (r *Router) recordRollouts(list []messages.ServiceRollout) {
	if len(list) == 0 {
		return
	}
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.SetRollouts(list)
}

// classOf is the kind of request that outcomes are compared by: routes with the same aim are
// of one kind.
func classOf(route *routeconfig.Route) string {
	const usPerMs = 1000
	return strconv.FormatInt(route.SetpointUs/usPerMs, 10) + " ms"
}
