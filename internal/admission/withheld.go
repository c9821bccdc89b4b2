// Reasons for which a runner receives no requests. All mechanisms that may exclude a runner are
// checked here, in one order, so that admission, the metrics and the doctor command use the same
// reason.

package admission

import "slices"

// Withheld is the reason for which a runner receives no requests now.
type Withheld int

// Reasons that do not depend on the request.
const (
	NotWithheld Withheld = iota
	WithheldAbsent
	WithheldDraining
	WithheldCordoned
	WithheldUnreachable
	WithheldEvacuated
	WithheldWarmingUp
	// WithheldDoubtful means stale, avoided after a failure, or ejected. Such a runner is used as a
	// last resort.
	WithheldDoubtful
	WithheldMemory
	WithheldPrefill
	WithheldSlots
	withheldReasons
)

// Reasons that depend on the request.
const (
	withheldRegime Withheld = withheldReasons + iota
	withheldRegion
	withheldVersion
	withheldExcluded
	withheldRetired
	withheldOldWeights
	withheldSession
)

var withheldNames = [withheldReasons]string{
	NotWithheld: "none", WithheldAbsent: "absent", WithheldDraining: "draining", WithheldCordoned: "cordoned",
	WithheldUnreachable: "zone_unreachable", WithheldEvacuated: "zone_evacuated", WithheldWarmingUp: "warming_up",
	WithheldDoubtful: "doubtful", WithheldMemory: "memory", WithheldPrefill: "prefill", WithheldSlots: "slots",
}

// String returns the reason as it is named in metrics.
func (w Withheld) String() string { return withheldNames[w] }

// withheldFromAll returns the reason for which a runner is withheld from every request, regardless
// of its load.
func (a *Admitter) withheldFromAll(p *pool, r *runner, skipUnreachable bool, nowUs int64) Withheld {
	switch zone := r.record.Zone; {
	case r.absence.excluded:
		return WithheldAbsent
	case r.record.Draining:
		return WithheldDraining
	case r.cordoned(nowUs):
		return WithheldCordoned
	case skipUnreachable && a.zoneUnreachable(zone):
		return WithheldUnreachable
	case a.ZoneEvacuated(zone):
		return WithheldEvacuated
	case !a.warmupAllows(p, r, nowUs):
		return WithheldWarmingUp
	}
	return NotWithheld
}

// withheldFrom returns the reason for which a runner is withheld from a request, regardless of its
// load, and the best preference class that its software version allows.
func (a *Admitter) withheldFrom(s *candidateSearch, r *runner) (reason Withheld, preference int) {
	if reason := a.withheldFromAll(s.pool, r, s.skipUnreachable, s.nowUs); reason != NotWithheld {
		return reason, 0
	}
	preference, allowed := s.pool.versionPreference(&s.request, r)
	model := s.request.Model
	switch {
	case !s.pool.permits(s.request, r.record.ID):
		return withheldRegime, 0
	case !a.regionAllowed(&s.request, r.record.Zone):
		return withheldRegion, 0
	case !allowed:
		return withheldVersion, 0
	case slices.Contains(s.request.ExcludedRunners, r.record.ID):
		return withheldExcluded, 0
	case a.WeightsRetired(model, weightsVersion(r.record, model)):
		return withheldRetired, 0
	case !a.runnerWeightsAllowed(model, r, s.nowUs):
		return withheldOldWeights, 0
	case s.movesSessions && a.SessionLeaves(s.request, r.record.Zone, s.nowUs):
		return withheldSession, 0
	}
	return NotWithheld, preference
}

// withheldForLoad returns the reason for which a runner is withheld because of its load.
func (a *Admitter) withheldForLoad(r *runner, active, connectionShare int) Withheld {
	switch {
	case r.memoryBusy:
		return WithheldMemory
	case r.prefillBusy:
		return WithheldPrefill
	case r.capacity > 0 && active >= r.capacity, connectionShare > 0 && r.ownLoad.count >= connectionShare:
		return WithheldSlots
	}
	return NotWithheld
}

// CountWithheld returns the number of runners of all services by withheld reason.
func (a *Admitter) CountWithheld(nowUs int64) map[Withheld]int {
	counts := map[Withheld]int{}
	for _, p := range a.pools {
		skipUnreachable, connectionShare := a.hasReachableRunners(p), a.connectionShare(p)
		for _, id := range p.order {
			counts[a.withheldNow(p, p.runners[id], skipUnreachable, connectionShare, nowUs)]++
		}
	}
	return counts
}

// withheldNow returns the reason for which a runner is withheld, apart from reasons that depend on
// the request.
func (a *Admitter) withheldNow(p *pool, r *runner, skipUnreachable bool, connectionShare int, nowUs int64) Withheld {
	if reason := a.withheldFromAll(p, r, skipUnreachable, nowUs); reason != NotWithheld {
		return reason
	}
	if a.preference(Request{}, r, nowUs) == lastResort {
		return WithheldDoubtful
	}
	return a.withheldForLoad(r, r.active(&a.Tuning, nowUs), connectionShare)
}
