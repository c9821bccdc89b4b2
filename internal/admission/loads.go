// Loads: the reports of runners, and the loads of this and the other nodes at each runner.

package admission

import (
	"math"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// RecordRunnerReport records a runner's report of its own load.
func (a *Admitter) RecordRunnerReport(n messages.RunnerReport, nowUs int64) {
	for _, p := range a.pools {
		if r := p.runners[n.ID]; r != nil {
			r.reportedLoad = runnerLoad{blocks: n.Used / a.Tuning.BlockTokens, count: n.Active + n.Queued, updatedUs: nowUs}
			r.hasReport, r.queued = true, n.Queued
			if n.Total > 0 {
				r.blocks = n.Total / a.Tuning.BlockTokens
			}
		}
	}
}

// ExpectPrefixes adds the prefixes that runners are about to cache for requests of other
// nodes to the index.
func (a *Admitter) ExpectPrefixes(prefixes []messages.CachedPrefixes) {
	for _, n := range prefixes {
		for _, part := range n.Parts {
			a.Index.ExpectCached(n.ID, part.Key, part.Tokens)
		}
	}
}

// SetPeerLoads sets the total load of the other nodes at each runner.
func (a *Admitter) SetPeerLoads(loads func(id string) messages.RunnerLoad, nowUs int64) {
	for _, p := range a.pools {
		for id, r := range p.runners {
			r.setPeerLoad(loads(id))
		}
	}
	a.PeerLoadsUpdated(nowUs)
}

// SetPeerLoad sets the total load of the other nodes at one runner.
func (a *Admitter) SetPeerLoad(id string, l messages.RunnerLoad) {
	for _, p := range a.pools {
		if r := p.runners[id]; r != nil {
			r.setPeerLoad(l)
		}
	}
}

// PeerLoadsUpdated records that the loads of the other nodes are up to date at nowUs, and
// ejects outliers by their outcomes.
func (a *Admitter) PeerLoadsUpdated(nowUs int64) {
	a.peerLoadsUpdatedUs = nowUs
	for _, p := range a.pools {
		p.ejectOutliers(nowUs)
	}
}

// expirePeerLoads clears the loads of the other nodes if they are outdated.
func (a *Admitter) expirePeerLoads(nowUs int64) {
	if a.peerLoadsUpdatedUs == 0 || a.peerLoadsCurrent(nowUs) {
		return
	}
	a.peerLoadsUpdatedUs = 0
	for _, p := range a.pools {
		for _, r := range p.runners {
			r.peerLoad = runnerLoad{}
		}
	}
}

// peerLoadsCurrent reports whether the loads of the other nodes were updated within
// Tuning.ReportValidUs.
func (a *Admitter) peerLoadsCurrent(nowUs int64) bool {
	return a.peerLoadsUpdatedUs > 0 && nowUs-a.peerLoadsUpdatedUs < a.Tuning.ReportValidUs
}

// UnmeasuredRunners returns the sorted identities of the runners whose load thresholds are unreliable:
// their memory is unknown, or they have sent no report within three times
// Tuning.ReportValidUs.
func (a *Admitter) UnmeasuredRunners(nowUs int64) []string {
	var out []string
	for _, p := range a.pools {
		for _, id := range p.order {
			r := p.runners[id]
			if r.blocks == 0 || !r.hasReport || nowUs-r.reportedLoad.updatedUs > 3*a.Tuning.ReportValidUs {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// promptRateStep is the unit, in prompt tokens per second, to which the published prompt token
// rate is rounded, so that small variations do not cause updates.
const promptRateStep = 250

// rateSteps is the number of steps per token per microsecond to which the published prefill rate
// is rounded. It is a power of two, so that the encoded number ends with zeros, which compress to
// nearly nothing in updates.
const rateSteps = 1 << 13

// OwnLoads returns the load of this node at each runner where it has any, and the outcomes of the
// rollouts in progress, to be published to the other nodes.
func (a *Admitter) OwnLoads(nowUs int64) map[string]messages.RunnerLoad {
	out := map[string]messages.RunnerLoad{}
	for _, p := range a.pools {
		for id, r := range p.runners {
			promptRate := int(r.ownPromptRate(nowUs)/promptRateStep+0.5) * promptRateStep
			outcomes := r.health.own(nowUs)
			if r.ownLoad.count > 0 || promptRate > 0 || outcomes.total > 0 {
				out[id] = messages.RunnerLoad{ID: id, Tried: outcomes.total, Failed: outcomes.failed, Blocks: r.ownLoad.blocks, Prefill: r.ownLoad.prefill, Count: r.ownLoad.count, Rate: math.Round(r.measuredRate*rateSteps) / rateSteps, Flow: promptRate}
			}
		}
	}
	a.addOutcomes(out)
	return out
}
