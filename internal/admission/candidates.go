// Candidates: the runners that may receive a request now, each with the runner or store
// from which it could fetch cached blocks of the prompt.

package admission

import (
	"slices"

	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
)

// Candidates returns the runners that a request may be sent to now.
func (a *Admitter) Candidates(request Request, nowUs int64) []placement.Candidate {
	candidates, _ := a.findCandidates(request, a.pool(request.Service), nowUs)
	return slices.Clone(candidates)
}

// candidateSearch holds the parameters of one search for candidates.
type candidateSearch struct {
	request         Request
	pool            *pool
	nowUs           int64
	peersKnown      bool // the loads of the other nodes are recent
	connectionShare int  // maximum concurrent requests of this node at one runner; 0: no limit
	preferredZone   string
	skipUnreachable bool // runners in unreachable zones are not candidates
	movesSessions   bool // sessions of relinquished zones move, as another zone is available
	blocks          int  // memory that the request needs without any cached prefix
	keysOf          func(version int64) []uint64
}

// newCandidateSearch returns the parameters of a search. It first clears outdated loads
// of other nodes. The preferred zone is the node's own, or the session's new zone if the
// session leaves the node's zone.
func (a *Admitter) newCandidateSearch(request Request, p *pool, nowUs int64) candidateSearch {
	connectionShare := a.connectionShare(p)
	a.expirePeerLoads(nowUs)
	s := candidateSearch{
		request: request, pool: p, nowUs: nowUs,
		peersKnown: a.peerLoadsCurrent(nowUs), connectionShare: connectionShare,
		preferredZone: a.Zone, keysOf: a.keysOf(request),
		skipUnreachable: a.hasReachableRunners(p),
		blocks:          (request.TokensIn + request.TokensOut + a.Tuning.BlockTokens - 1) / a.Tuning.BlockTokens,
	}
	if len(a.relinquished) == 0 {
		return s
	}
	if targetZone := a.targetZone(request, p); targetZone != "" {
		s.movesSessions = true
		if a.SessionLeaves(request, a.Zone, nowUs) {
			s.preferredZone = targetZone
		}
	}
	return s
}

// preferenceClasses is the number of preference classes, from 0 (best).
const preferenceClasses = 3

// findCandidates returns the runners that a request may be sent to. The result is valid
// until the next call. Runners of a lower preference are used only if no candidate has a
// higher one.
func (a *Admitter) findCandidates(request Request, p *pool, nowUs int64) ([]placement.Candidate, []*runner) {
	candidates, runners := a.candidateBuffer[:0], a.runnerBuffer[:0]
	a.hasCapacity = false
	s := a.newCandidateSearch(request, p, nowUs)
	for preference := range preferenceClasses {
		for _, id := range p.order {
			r := p.runners[id]
			if !a.eligible(&s, r, preference) {
				continue
			}
			if candidate, fits := a.candidateAt(&s, r); fits {
				candidates, runners = append(candidates, candidate), append(runners, r)
			}
		}
		if len(candidates) > 0 {
			break
		}
	}
	if p.transferUsPerToken > 0 && len(request.Parts) > 0 {
		a.findTransfers(&s, candidates, runners)
	}
	a.candidateBuffer, a.runnerBuffer = candidates, runners
	return candidates, runners
}

// eligible reports whether a runner may receive a request and is in the given preference
// class, regardless of its load.
func (a *Admitter) eligible(s *candidateSearch, r *runner, preference int) bool {
	reason, byVersion := a.withheldFrom(s, r)
	return reason == NotWithheld && preference == max(byVersion, a.preference(s.request, r, s.nowUs))
}

// candidateAt returns the candidate for a runner, and whether the request fits there: the
// runner is below its thresholds and has enough memory. A runner without other requests
// accepts a request of any size.
func (a *Admitter) candidateAt(s *candidateSearch, r *runner) (candidate placement.Candidate, fits bool) {
	memoryUse := r.updateBusy(&a.Tuning, s.nowUs, a.nodes, s.peersKnown)
	active := r.active(&a.Tuning, s.nowUs)
	if a.withheldForLoad(r, active, s.connectionShare) != NotWithheld {
		return placement.Candidate{}, false
	}
	id := r.record.ID
	cached := a.Index.ExpectedTokens(id, s.keysOf(weightsVersion(r.record, s.request.Model)), s.request.Parts)
	a.hasCapacity = true
	if r.blocks > 0 && active > 0 && memoryUse+float64(s.blocks-cached/a.Tuning.BlockTokens)/float64(r.blocks) > maxUseAfter {
		return placement.Candidate{}, false
	}
	return placement.Candidate{
		ID: id, SameZone: r.record.Zone == s.preferredZone, CachedTokens: cached, QueuedPrefillTokens: r.prefill(),
		ActiveRequests: active, Capacity: r.capacity, MemoryUsed: memoryUse, PrefillRate: r.prefillRate(&a.Tuning),
		PrefillShare: r.prefillLoad(&a.Tuning, s.nowUs), HealthPenaltyUs: r.health.slowStartCostUs(s.nowUs) + a.returnCostUs(r.record.Zone, s.nowUs),
	}, true
}

// maxUseAfter is the maximum memory use, as a share, of a runner with other requests once
// a new request is added.
const maxUseAfter = 0.98

// keysOf returns a function that returns the prefix keys of a request's parts for a
// weights version. The keys of each version are computed once.
func (a *Admitter) keysOf(request Request) func(version int64) []uint64 {
	var versions []int64
	var keys [][]uint64
	return func(version int64) []uint64 {
		for i, m := range versions {
			if m == version {
				return keys[i]
			}
		}
		versions = append(versions, version)
		keys = append(keys, prefixindex.Keys(a.CacheSalt(&request, version), request.Model, request.Parts))
		return keys[len(keys)-1]
	}
}

// Cost of a transfer of cached blocks: the setup time in microseconds, and the factor
// for transfers between zones. Fewer than minTransferTokens are not transferred.
const (
	transferSetupUs   = 3_000
	crossZoneFactor   = 2
	minTransferTokens = 48
)

// blockSource is a runner or store that holds cached blocks of a prompt.
type blockSource struct {
	addr               string
	zone               string
	version            int64
	cachedTokens       int // tokens of the prompt that are cached there
	transferUsPerToken float64
	ties               int // number of other sources with the same cost and cached tokens
}

// blockSources holds the sources for a prompt, and by weights version the most tokens of
// its shared parts that one runner or store has cached or is about to cache.
type blockSources struct {
	sources      []blockSource
	sharedTokens map[int64]int // tokens, by version
}

// sameCost reports whether transfers from both sources cost the same per token, so that
// only the one with more cached tokens is needed.
func (s *blockSource) sameCost(other *blockSource) bool {
	return s.version == other.version && s.zone == other.zone && s.transferUsPerToken == other.transferUsPerToken
}

// addSource adds a source. Of sources with the same cost, only the one with the most
// cached tokens is kept; equivalent ones are used in rotation.
func (a *Admitter) addSource(sources *blockSources, added blockSource) {
	if added.cachedTokens < minTransferTokens {
		return
	}
	i := slices.IndexFunc(sources.sources, func(existing blockSource) bool { return existing.sameCost(&added) })
	if i < 0 {
		sources.sources = append(sources.sources, added)
		return
	}
	existing := &sources.sources[i]
	switch {
	case added.cachedTokens > existing.cachedTokens:
		*existing = added
	case added.cachedTokens == existing.cachedTokens:
		existing.ties++
		if a.transferTurn++; a.transferTurn%(existing.ties+1) == 0 {
			added.ties = existing.ties
			*existing = added
		}
	}
}

// mayFetchFrom reports whether cached blocks may be fetched from a runner.
func (a *Admitter) mayFetchFrom(s *candidateSearch, r *runner) bool {
	if r.absence.excluded || r.record.Stale || r.avoidUntilUs > s.nowUs || a.zoneUnreachable(r.record.Zone) {
		return false
	}
	return s.pool.permits(s.request, r.record.ID)
}

// findSources returns the runners and stores that hold cached blocks of a prompt.
func (a *Admitter) findSources(s *candidateSearch) blockSources {
	request, p := s.request, s.pool
	sharedTokens := 0
	for _, part := range request.Parts[:len(request.Parts)-1] {
		sharedTokens += part.Tokens
	}
	sources := blockSources{sharedTokens: map[int64]int{}}
	for _, id := range p.order {
		r := p.runners[id]
		version := weightsVersion(r.record, request.Model)
		if !a.mayFetchFrom(s, r) || a.WeightsRetired(request.Model, version) {
			continue
		}
		cachedTokens, expected := a.Index.CachedAndExpectedTokens(id, s.keysOf(version), request.Parts)
		a.addSource(&sources, blockSource{addr: r.record.Addr, zone: r.record.Zone, version: version, cachedTokens: cachedTokens, transferUsPerToken: p.transferUsPerToken})
		sources.sharedTokens[version] = max(sources.sharedTokens[version], min(sharedTokens, expected))
	}
	for _, store := range p.stores {
		if !p.permits(request, store.ID) || a.zoneUnreachable(store.Zone) {
			continue
		}
		for version := range sources.sharedTokens {
			if cachedTokens := a.Index.CachedTokens(store.ID, s.keysOf(version), request.Parts); cachedTokens >= minTransferTokens {
				a.addSource(&sources, blockSource{addr: store.Addr, zone: store.Zone, version: version, cachedTokens: cachedTokens, transferUsPerToken: store.TransferUsPerToken})
				sources.sharedTokens[version] = max(sources.sharedTokens[version], min(sharedTokens, cachedTokens))
			}
		}
	}
	return sources
}

// findTransfers sets for every candidate the source with the same weights version whose
// transfer of cached blocks saves the most time over prefill.
func (a *Admitter) findTransfers(s *candidateSearch, candidates []placement.Candidate, runners []*runner) {
	sources := a.findSources(s)
	for i := range candidates {
		c := &candidates[i]
		version := weightsVersion(runners[i].record, s.request.Model)
		sources.chooseTransfer(c, runners[i], version)
		c.DuplicateTokens = max(sources.sharedTokens[version]-c.CachedTokens-c.TransferableTokens, 0)
	}
}

// chooseTransfer sets the transfer of a candidate to the source with the largest gain, if
// any. version is the candidate's weights version.
func (s *blockSources) chooseTransfer(c *placement.Candidate, r *runner, version int64) {
	bestGain := 0.0
	for _, source := range s.sources {
		gainTokens := source.cachedTokens - c.CachedTokens
		if source.addr == r.record.Addr || source.version != version || gainTokens < minTransferTokens {
			continue
		}
		transferUs := transferSetupUs + float64(gainTokens)*source.transferUsPerToken
		if source.zone != r.record.Zone {
			transferUs *= crossZoneFactor
		}
		if gain := float64(gainTokens)*(1/c.PrefillRate+placement.DuplicatePrefillUs) - transferUs; gain > bestGain {
			bestGain = gain
			c.TransferableTokens, c.TransferUs, c.TransferFrom = gainTokens, transferUs, source.addr
		}
	}
}

// lastResort is the preference of a runner that is used only as a last resort.
const lastResort = preferenceClasses - 1

// preference returns the preference class of a runner for a request: 0 (best) in
// general, 1 if the runner is draining for long requests and the request is long, 2 if
// the runner is stale, avoided or ejected.
func (a *Admitter) preference(request Request, r *runner, nowUs int64) int {
	switch {
	case r.record.Stale || r.avoidUntilUs > nowUs || r.health.ejected(nowUs):
		return lastResort
	case r.record.DrainingLong && request.TokensOut > a.Tuning.LongOutputTokens:
		return 1
	}
	return 0
}
