// Evacuated zones and warm-ups, as this router goes by them.

package router

import "beechtide.org/beechtide/internal/messages"

// recordEvacuations takes what a register says of evacuated zones. The caller has the mutex of
// what was received.
func (r *Router) recordEvacuations(part int, evacuations []messages.Evacuation, nowUs int64) {
	if len(evacuations) == 0 {
		return
	}
	r.evacuations[part] = evacuations
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
