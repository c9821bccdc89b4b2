// Target versions of weights: this router receives the named versions and their ages, and records
// its contact with the controllers that send them.

package router

import "beechtide.org/beechtide/internal/messages"

// applyTargetAges applies the target ages of a feed. A feed sent by a controller that reaches the
// core also renews this node's contact.
func (r *Router) applyTargetAges(feed messages.Feed, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.admission.ObserveTargets(feed.TargetAges, nowUs)
	if !feed.CutOff && !feed.FromRelay {
		r.admission.RecordContact(nowUs)
	}
}

// applyVersions applies the target ages of a controller's answer to a call, likewise.
func (r *Router) applyVersions(versions messages.Versions) {
	r.applyTargetAges(messages.Feed{TargetAges: versions.TargetAges, CutOff: versions.CutOff}, r.clock())
}

// assumeTargets records named versions that may have been received without their ages.
func (r *Router) assumeTargets(targets []messages.Target, nowUs int64) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, t := range targets {
		r.admission.AssumeTarget(t.Model, t.Version, nowUs)
	}
}
