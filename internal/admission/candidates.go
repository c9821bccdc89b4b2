// Candidates: the runners that may get a request now, and from which other runner or
// store each could transfer cached blocks of its prompt.

package admission

import (
	"slices"

	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
)

// Candidates returns the runners that a request may be sent to now.
func (a *Admitter) Candidates(request Request, nowUs int64) []placement.Candidate {
	list, _ := a.findCandidates(request, a.pool(request.Service), nowUs)
	return slices.Clone(list)
}

// candidateSearch is what one search for candidates goes by.
type candidateSearch struct {
	request         Request
	pool            *pool
	nowUs           int64
	peersKnown      bool // the loads of the other nodes are recent
	connectionShare int  // requests that this node may have at one runner; 0: any number
	preferredZone   string
	skipUnreachable bool // runners in unreachable zones get nothing
	movesSessions   bool // sessions that leave their zone have another one to go to
	blocks          int  // memory that the request needs without a cached prefix
	keysOf          func(version int64) []uint64
}

// newCandidateSearch begins a search: it expires the loads of other nodes and finds the zone to
// prefer.
func (a *Admitter) newCandidateSearch(request Request, p *pool, nowUs int64) candidateSearch {
	share := a.connectionShare(p)
	a.expirePeerLoads(nowUs)
	s := candidateSearch{
		request: request, pool: p, nowUs: nowUs,
		peersKnown: a.peerLoadsCurrent(nowUs), connectionShare: share,
		preferredZone: a.Zone, keysOf: a.keysOf(request),
		skipUnreachable: a.hasReachableRunners(p),
		blocks:          (request.TokensIn + request.TokensOut + a.T.BlockTokens - 1) / a.T.BlockTokens,
	}
	if len(a.relinquished) == 0 {
		return s
	}
	if home := a.targetZone(request, p); home != "" {
		s.movesSessions = true
		if a.Leaves(request, a.Zone, nowUs) {
			s.preferredZone = home
		}
	}
	return s
}

// preferences is the number of values of preference.
const preferences = 3

// findCandidates returns the runners that a request may go to; the result is valid until
// the next call. Runners of a later preference are used only if there is none of an
// earlier one.
func (a *Admitter) findCandidates(request Request, p *pool, nowUs int64) ([]placement.Candidate, []*runner) {
	list, runners := a.candidateBuffer[:0], a.runnerBuffer[:0]
	a.hasCapacity = false
	s := a.newCandidateSearch(request, p, nowUs)
	for pass := range preferences {
		for _, id := range p.order {
			r := p.runners[id]
			if !a.eligible(&s, r, pass) {
				continue
			}
			if candidate, fits := a.candidateAt(&s, r); fits {
				list, runners = append(list, candidate), append(runners, r)
			}
		}
		if len(list) > 0 {
			break
		}
	}
	if p.transferUsPerToken > 0 && len(request.Parts) > 0 {
		a.findTransfers(&s, list, runners)
	}
	a.candidateBuffer, a.runnerBuffer = list, runners
	return list, runners
}

// eligible reports whether a request may be sent to a runner of this preference, whatever the
// runner's load.
func (a *Admitter) eligible(s *candidateSearch, r *runner, preference int) bool {
	reason, byVersion := a.withheldFrom(s, r)
	return reason == NotWithheld && preference == max(byVersion, a.preference(s.request, r, s.nowUs))
}

// candidateAt returns the candidate that a runner is, and whether the request fits there:
// the runner is below its thresholds and has memory for the request.
func (a *Admitter) candidateAt(s *candidateSearch, r *runner) (candidate placement.Candidate, fits bool) {
	memoryUse := r.updateBusy(&a.T, s.nowUs, a.nodes, s.peersKnown)
	active := r.active(&a.T, s.nowUs)
	if a.withheldForLoad(r, active, s.connectionShare) != NotWithheld {
		return placement.Candidate{}, false
	}
	id := r.record.ID
	cached := a.Index.Expected(id, s.keysOf(weightsVersion(r.record, s.request.Model)), s.request.Parts)
	a.hasCapacity = true
	if r.blocks > 0 && active > 0 && memoryUse+float64(s.blocks-cached/a.T.BlockTokens)/float64(r.blocks) > maxUseAfter {
		return placement.Candidate{}, false
	}
	return placement.Candidate{
		ID: id, NearSite: r.record.Zone == s.preferredZone, Cached: cached, Prefill: r.prefill(),
		Active: active, Capacity: r.capacity, Used: memoryUse, Rate: r.prefillRate(&a.T),
		Reading: r.prefillLoad(&a.T, s.nowUs), DoubtUs: r.health.slowStartCostUs(s.nowUs) + a.returnCostUs(r.record.Zone, s.nowUs),
	}, true
}

// maxUseAfter is the highest memory use of a runner with other requests that a new
// request may lead to.
const maxUseAfter = 0.98

// keysOf returns a function that gives the keys of a request's parts under a version of
// the weights; the keys of each version are computed once.
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
		keys = append(keys, prefixindex.Keys(a.Salt(request.Tenant, request.Isolated, request.Regime, version), request.Model, request.Parts))
		return keys[len(keys)-1]
	}
}

// Costs of a transfer of cached blocks: its start in microseconds, and how much longer
// it takes between zones. Fewer than minTransferTokens are not transferred.
const (
	transferSetupUs   = 3_000
	crossZoneFactor   = 2
	minTransferTokens = 48
)

// blockSource is a runner or store that has cached blocks of a prompt.
type blockSource struct {
	addr               string
	zone               string
	version            int64
	cachedTokens       int // tokens of the prompt that are cached
	transferUsPerToken float64
	ties               int // other sources of the same value
}

// blockSources are the sources for a prompt, and how much of its shared parts the
// runners and stores with each version of the weights have or are about to have.
type blockSources struct {
	list         []blockSource
	sharedTokens map[int64]int // tokens, by version
}

// sameCost reports whether a transfer from both sources costs the same, so that only the
// one with more cached tokens is needed.
func (s *blockSource) sameCost(other *blockSource) bool {
	return s.version == other.version && s.zone == other.zone && s.transferUsPerToken == other.transferUsPerToken
}

// addSource adds a source. Of several with the same cost the one with most cached tokens
// is enough; equal ones take turns.
func (a *Admitter) addSource(sources *blockSources, added blockSource) {
	if added.cachedTokens < minTransferTokens {
		return
	}
	i := slices.IndexFunc(sources.list, func(known blockSource) bool { return known.sameCost(&added) })
	if i < 0 {
		sources.list = append(sources.list, added)
		return
	}
	known := &sources.list[i]
	switch {
	case added.cachedTokens > known.cachedTokens:
		*known = added
	case added.cachedTokens == known.cachedTokens:
		known.ties++
		if a.transferTurn++; a.transferTurn%(known.ties+1) == 0 {
			added.ties = known.ties
			*known = added
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

// findSources finds the runners and stores that have cached blocks of a prompt.
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
		if !a.mayFetchFrom(s, r) || a.RetiredWeights(request.Model, version) {
			continue
		}
		cachedTokens, expected := a.Index.CachedAndExpected(id, s.keysOf(version), request.Parts)
		a.addSource(&sources, blockSource{addr: r.record.Addr, zone: r.record.Zone, version: version, cachedTokens: cachedTokens, transferUsPerToken: p.transferUsPerToken})
		sources.sharedTokens[version] = max(sources.sharedTokens[version], min(sharedTokens, expected))
	}
	for _, store := range p.stores {
		if !p.permits(request, store.ID) || a.zoneUnreachable(store.Zone) {
			continue
		}
		for version := range sources.sharedTokens {
			if cachedTokens := a.Index.Cached(store.ID, s.keysOf(version), request.Parts); cachedTokens >= minTransferTokens {
				a.addSource(&sources, blockSource{addr: store.Addr, zone: store.Zone, version: version, cachedTokens: cachedTokens, transferUsPerToken: store.MoveUs})
				sources.sharedTokens[version] = max(sources.sharedTokens[version], min(sharedTokens, cachedTokens))
			}
		}
	}
	return sources
}

// findTransfers finds for every candidate the source with the same weights from which a
// transfer of cached blocks gains most over prefill.
func (a *Admitter) findTransfers(s *candidateSearch, list []placement.Candidate, runners []*runner) {
	sources := a.findSources(s)
	for i := range list {
		c := &list[i]
		version := weightsVersion(runners[i].record, s.request.Model)
		sources.chooseTransfer(c, runners[i], version)
		c.Again = max(sources.sharedTokens[version]-c.Cached-c.Moved, 0)
	}
}

// chooseTransfer sets the transfer of a candidate whose weights have the given version.
func (s *blockSources) chooseTransfer(c *placement.Candidate, r *runner, version int64) {
	bestGain := 0.0
	for _, source := range s.list {
		gainTokens := source.cachedTokens - c.Cached
		if source.addr == r.record.Addr || source.version != version || gainTokens < minTransferTokens {
			continue
		}
		transferUs := transferSetupUs + float64(gainTokens)*source.transferUsPerToken
		if source.zone != r.record.Zone {
			transferUs *= crossZoneFactor
		}
		if gain := float64(gainTokens)*(1/c.Rate+placement.AgainUs) - transferUs; gain > bestGain {
			bestGain = gain
			c.Moved, c.MoveUs, c.From = gainTokens, transferUs, source.addr
		}
	}
}

// doubtful is the preference of a runner that is used only where there is no other.
const doubtful = preferences - 1

// preference returns the class of a runner for a request, the best first: 0 in general, 1
// if it is draining and the request is long, 2 if it is stale, avoided or ejected.
func (a *Admitter) preference(request Request, r *runner, nowUs int64) int {
	switch {
	case r.record.Stale || r.avoidUntilUs > nowUs || r.health.ejected(nowUs):
		return doubtful
	case r.record.DrainingLong && request.TokensOut > a.T.LongOut:
		return 1
	}
	return 0
}
