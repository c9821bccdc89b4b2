// Rollouts of services: which runners may receive a request depending on their software version,
// and the counts of request outcomes for the new and the other versions. Package canary decides
// on the stages.

package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// Parameters of the comparison of versions during a rollout.
const (
	perMille = 1000
	// canaryLoadFactor is the load of the canary runners relative to that of other runners. It is
	// above 1 because some faults appear only under load.
	canaryLoadFactor = 2.0
	// A response counts as slow if its first token takes longer than slowFactor times the prefill
	// time of the prompt without cached prefixes, plus slowBaseUs.
	slowFactor = 3.0
	slowBaseUs = 60_000
)

// rollout is the newest rollout of a service that this node has received.
type rollout struct {
	messages.ServiceRollout
	canaryRunners map[string]bool // runners of the target version that receive requests in the canary stage
	outcomes      map[canary.Key]canary.Outcome
}

func (o *rollout) stage() canary.Stage { return canary.Stage(o.Stage) }

// hasTargetVersion reports whether a runner has the target version of the rollout.
func (o *rollout) hasTargetVersion(r *runner) bool { return r.record.Version == o.Target }

// SetRollouts sets the newest rollout of each service, and the versions that were reverted before it.
func (a *Admitter) SetRollouts(rollouts []messages.ServiceRollout, reverted []messages.RevertedVersion) {
	for _, next := range rollouts {
		p := a.pool(next.Service)
		p.reverted = canary.RevertedOf(reverted, next.Service)
		if p.rollout == nil || p.rollout.Number != next.Number {
			p.rollout = &rollout{outcomes: map[canary.Key]canary.Outcome{}}
		}
		p.rollout.ServiceRollout = next
		p.chooseCanaryRunners()
	}
}

// isReverted reports whether a version is to get no requests: its rollout was reverted, and it was not
// ordered again.
func (p *pool) isReverted(version string) bool {
	if p.reverted[version] {
		return true
	}
	return p.rollout != nil && p.rollout.stage() == canary.Reverted && p.rollout.Target == version
}

// isBaseline reports whether a runner has one of the versions that the target of the rollout is compared
// with.
func (p *pool) isBaseline(r *runner) bool {
	return !p.rollout.hasTargetVersion(r) && !p.isReverted(r.record.Version)
}

// chooseCanaryRunners chooses the runners on which a new version is tried. They are few, so that
// their load is canaryLoadFactor times that of the others, and are chosen by a hash, so that all
// nodes choose the same.
func (p *pool) chooseCanaryRunners() {
	o := p.rollout
	if o == nil {
		return
	}
	o.canaryRunners = nil
	if o.stage() != canary.Trial {
		return
	}
	var updated []string
	others := 0
	for _, id := range p.order {
		switch r := p.runners[id]; {
		case p.isBaseline(r):
			others++
		case o.hasTargetVersion(r) && !r.record.Draining && !r.record.Stale:
			updated = append(updated, id)
		}
	}
	slices.SortFunc(updated, func(x, y string) int {
		return cmp.Compare(statesync.HashText(x, o.Target), statesync.HashText(y, o.Target))
	})
	count := int(math.Ceil(float64(o.SharePerMille) / perMille * float64(others) / canaryLoadFactor))
	o.canaryRunners = map[string]bool{}
	for _, id := range updated[:min(max(count, 1), len(updated))] {
		o.canaryRunners[id] = true
	}
}

// DrawCanary reports whether a new request is to be sent to the version under trial. It is true
// at random, for the rollout's share of requests.
func (a *Admitter) DrawCanary(service string) bool {
	o := a.pool(service).rollout
	return o != nil && o.stage() == canary.Trial && a.random.IntN(perMille) < o.SharePerMille
}

// versionPreference returns the best preference class that a runner's version allows for a
// request, and whether the request may be sent to that version at all.
func (p *pool) versionPreference(request *Request, r *runner) (preference int, allowed bool) {
	o := p.rollout
	if o == nil {
		return 0, true
	}
	if p.isReverted(r.record.Version) {
		return 0, false
	}
	updated := o.hasTargetVersion(r)
	switch o.stage() {
	case canary.Trial:
		if updated {
			return 0, request.Canary && o.canaryRunners[r.record.ID]
		}
		if request.Canary {
			return 1, true
		}
		return 0, true
	case canary.Reverted:
		return 0, true
	}
	if updated {
		return 0, true
	}
	return preferenceClasses - 1, true
}

// VersionAllowed reports whether an admitted request may still be sent to its runner's version. It
// may not if the rollout of that version has been reverted since.
func (a *Admitter) VersionAllowed(adm *Admission) bool {
	return !a.pool(adm.service).isReverted(adm.Runner.Version)
}

// slowAfterUs returns the time after which the first token of a prompt counts as slow. It is based
// on the median prefill rate of the runners of other versions.
func (p *pool) slowAfterUs(t *Tuning, tokens int) int64 {
	var rates []float64
	for _, id := range p.order {
		if r := p.runners[id]; r.measuredRate > 0 && p.isBaseline(r) {
			rates = append(rates, r.measuredRate)
		}
	}
	rate := t.InitialRate
	if len(rates) > 0 {
		slices.Sort(rates)
		rate = rates[len(rates)/2]
	}
	return int64(slowFactor*float64(tokens)/max(rate, t.MinRate)) + slowBaseUs
}

// recordFirstTokenLatency records whether the first token of a response was slow. Runners in warm-up
// are left out, because they are slow whatever their version.
func (p *pool) recordFirstTokenLatency(t *Tuning, adm *Admission, r *runner, nowUs int64) {
	if p.rollout != nil && p.rollout.stage().Running() && !p.warmingUp(r, nowUs) {
		adm.slowFirstToken = nowUs-adm.admittedUs > p.slowAfterUs(t, adm.tokensIn)
	}
}

// recordOutcome counts the outcome of a request for the rollout in progress.
func (p *pool) recordOutcome(adm *Admission, r *runner, succeeded bool) {
	rollout := p.rollout
	if rollout == nil || !rollout.stage().Running() {
		return
	}
	side := canary.BaselineSide
	if rollout.hasTargetVersion(r) {
		side = canary.NewSide
	}
	count := func(comparison string, failed bool) {
		key := canary.Key{Service: rollout.Service, Number: rollout.Number, Side: side, Comparison: comparison}
		outcome := rollout.outcomes[key]
		outcome.Answers++
		if failed {
			outcome.Bad++
		}
		rollout.outcomes[key] = outcome
	}
	count(canary.AllRequests, !succeeded)
	count(adm.class+" failed", !succeeded)
	if succeeded {
		count(adm.class+" slow", adm.slowFirstToken)
	}
}

// addOutcomes adds the outcomes of the rollouts in progress to the loads that this node publishes.
func (a *Admitter) addOutcomes(loads map[string]messages.RunnerLoad) {
	for _, p := range a.pools {
		if p.rollout == nil || !p.rollout.stage().Running() {
			continue
		}
		for key, outcome := range p.rollout.outcomes {
			load := key.Load(outcome)
			loads[load.ID] = load
		}
	}
}

// Rollouts returns the newest rollout of each service, sorted by service name.
func (a *Admitter) Rollouts() []messages.ServiceRollout {
	var out []messages.ServiceRollout
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		if o := a.pools[name].rollout; o != nil {
			out = append(out, o.ServiceRollout)
		}
	}
	return out
}
