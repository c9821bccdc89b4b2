// Target versions of weights: this router receives the named versions and their ages, and records
// its contact with the controllers that send them.

package router

import "beechtide.org/beechtide/internal/messages"

// takeTargetAges applies the target ages of a feed. A feed sent by a controller that reaches the
// core also renews this node's contact.
func (r *Router) takeTargetAges(f messages.Feed, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.ObserveTargets(f.TargetAges, nowUs)
	if !f.CutOff && !f.FromRelay {
		r.admission.Contact(nowUs)
	}
}

// takeVersions applies the target ages of a controller's answer to a call, likewise.
func (r *Router) takeVersions(m messages.Versions) {
	r.takeTargetAges(messages.Feed{TargetAges: m.TargetAges, CutOff: m.CutOff}, r.clock())
}

// assumeTargets records named versions that may have been received without their ages.
func (r *Router) assumeTargets(named []messages.Target, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, t := range named {
		r.admission.AssumeTarget(t.Model, t.Version, nowUs)
	}
}
