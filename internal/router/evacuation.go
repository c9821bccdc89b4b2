// Evacuated zones, as received from the registers.

package router

import (
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// recordEvacuations stores the evacuations of a register and passes the zones that are evacuated
// in any register to the admission control. The caller holds stateMu.
func (r *Router) recordEvacuations(register int, evacuations []messages.Evacuation, nowUs int64) {
	if len(evacuations) == 0 {
		return
	}
	if !slices.Equal(r.evacuations[register], evacuations) {
		r.log.Info("evacuations in force", "register", register, "zones", evacuations)
	}
	r.evacuations[register] = evacuations
	zones := map[string]bool{}
	for _, list := range r.evacuations {
		for _, e := range list {
			if e.Evacuated {
				zones[e.Zone] = true
			}
		}
	}
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.SetEvacuated(zones, nowUs)
}
