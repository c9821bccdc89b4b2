// Target weights versions: what this router receives about named versions, their ages,
// and contact with the controllers that send them.

package router

import "beechtide.org/beechtide/internal/messages"

// takeTargetAges takes the ages that came with a feed. A feed that a controller
// sent which has the core in reach also shows that this node is in contact.
func (r *Router) takeTargetAges(f messages.Feed, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.ObserveTargets(f.TargetAges, nowUs)
	if !f.CutOff && !f.FromRelay {
		r.admission.RecordContact(nowUs)
	}
}

// takeVersions takes the same from a controller's answer to a call.
func (r *Router) takeVersions(m messages.Versions) {
	r.takeTargetAges(messages.Feed{TargetAges: m.TargetAges, CutOff: m.CutOff}, r.clock())
}

// assumeTargets notes named versions that may have come without their ages.
func (r *Router) assumeTargets(named []messages.Target, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, t := range named {
		r.admission.AssumeTarget(t.Model, t.Version, nowUs)
	}
}
