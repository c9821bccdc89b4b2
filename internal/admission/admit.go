// Accounting of runner capacity: it is reserved when a request is admitted, partly
// released at the first token, and fully released at the end.

package admission

import (
	"math/rand/v2"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

// Admission is the capacity that a request has reserved at a runner. Admitter.Release releases
// it.
type Admission struct {
	Runner         messages.RunnerRecord
	CacheSalt      string
	WeightsVersion int64
	CachedTokens   int
	Source         string // address of the runner or store to transfer cached blocks from
	Sink           string // address of the store to send blocks to after prefill
	admittedUs     int64
	blocks         int
	pins           []pin
	prefillTokens  int
	prefillAhead   int
	prefilling     bool
	tenant         string
	service        string
	model          string
	tokensIn       int
	Keys           []uint64
	Parts          []prefixindex.Part
	expectedKeys   []uint64
	class          string
	slowFirstToken bool // the first token exceeded the latency threshold of the rollout
}

// pin is a reference to the blocks of one prompt part. Requests with the same part at a
// runner share the blocks.
type pin struct {
	key    uint64
	blocks int
}

// sampling returns the random source for sampling candidates, or nil if this is the only
// node: its view of the loads is then exact, so that it compares all candidates.
func (a *Admitter) sampling() *rand.Rand {
	if a.nodes <= 1 {
		return nil
	}
	return a.random
}

// admit selects a runner for a request and reserves capacity there. It returns nil if the
// tenant's window is full or no candidate has capacity.
func (a *Admitter) admit(request Request, p *pool, t *tenantState, nowUs int64) *Admission {
	a.hasCapacity = true
	if float64(t.admitted) >= t.window {
		return nil
	}
	candidates, runners := a.findCandidates(request, p, nowUs)
	prompt := placement.Prompt{Tokens: request.TokensIn, MaxOutputTokens: request.TokensOut}
	if n := len(request.Parts); n > 1 {
		prompt.SharedPrefix = prefixindex.Key("", request.Model, request.Parts[n-2].ID)
	}
	i := placement.Choose(prompt, candidates, a.sampling())
	if i < 0 {
		return nil
	}
	r, c := runners[i], candidates[i]
	version := weightsVersion(r.record, request.Model)
	salt := a.CacheSalt(&request, version)
	adm := &Admission{Runner: r.record, CacheSalt: salt, WeightsVersion: version, CachedTokens: c.CachedTokens, Source: c.TransferFrom, admittedUs: nowUs, tenant: request.Tenant, service: request.Service, model: request.Model, tokensIn: request.TokensIn, class: request.Class, Parts: request.Parts, Keys: prefixindex.Keys(salt, request.Model, request.Parts), prefilling: true}
	blockTokens := a.Tuning.BlockTokens
	partTokens := 0
	for j, k := range adm.Keys {
		n := (request.Parts[j].Tokens + blockTokens - 1) / blockTokens
		partTokens += request.Parts[j].Tokens
		adm.pins = append(adm.pins, pin{k, n})
		if r.pins[k]++; r.pins[k] == 1 {
			r.ownLoad.blocks += n
		}
	}
	adm.blocks = (max(request.TokensIn-partTokens, 0) + request.TokensOut + blockTokens - 1) / blockTokens
	r.ownLoad.blocks += adm.blocks
	if a.recordExpected(adm, len(request.Parts)-1) && c.TransferableTokens < minTransferTokens {
		adm.Sink = p.sink(request, adm.Keys)
	}
	adm.prefillAhead = c.QueuedPrefillTokens
	adm.prefillTokens = max(request.TokensIn-c.CachedTokens-c.TransferableTokens, 0)
	r.ownLoad.prefill += adm.prefillTokens
	r.recordSent(adm.prefillTokens, nowUs)
	r.ownLoad.count++
	p.recordWarmup(r, nowUs)
	r.recentRequests = append(r.recentRequests, recentRequest{nowUs, adm.blocks + adm.prefillTokens/blockTokens})
	r.trimRecentRequests(nowUs)
	t.admitted++
	t.hitTokens += float64(c.CachedTokens + c.TransferableTokens)
	t.promptTokens += float64(request.TokensIn)
	return adm
}

// sink returns the address of the store for a prompt's shared parts, chosen by
// rendezvous hashing of the last shared part. All parts of a chain are thus kept in one
// store, and the chains are spread over all stores.
func (p *pool) sink(request Request, keys []uint64) string {
	addr, topScore := "", uint64(0)
	for _, s := range p.stores {
		if score := statesync.Mix(keys[max(len(keys)-2, 0)] ^ statesync.HashText(s.ID, "")); p.permits(request, s.ID) && (addr == "" || score > topScore) {
			addr, topScore = s.Addr, score
		}
	}
	return addr
}

// recordExpected adds the shared parts that a runner is about to cache to the index of
// this node and to the prefixes to be sent to the other nodes. It reports whether there
// are any.
func (a *Admitter) recordExpected(adm *Admission, shared int) bool {
	expected := messages.CachedPrefixes{ID: adm.Runner.ID, Parts: []messages.CachedPart{}}
	for i := range max(shared, 0) {
		k, n := adm.Keys[i], int32(adm.Parts[i].Tokens)
		if a.Index.CachedTokens(expected.ID, adm.Keys[i:i+1], adm.Parts[i:i+1]) < int(n) {
			a.Index.ExpectCached(expected.ID, k, n)
			adm.expectedKeys = append(adm.expectedKeys, k)
			expected.Parts = append(expected.Parts, messages.CachedPart{Key: k, Tokens: n})
		}
	}
	if len(expected.Parts) > 0 {
		a.expectedPrefixes = append(a.expectedPrefixes, expected)
	}
	return len(expected.Parts) > 0
}

// HasExpectedPrefixes reports whether TakeExpectedPrefixes would return any prefixes.
func (a *Admitter) HasExpectedPrefixes() bool { return len(a.expectedPrefixes) > 0 }

// RecordFirstToken records that a runner has finished the prefill of a prompt. It updates the
// runner's prefill rate and cached prefixes.
func (a *Admitter) RecordFirstToken(adm *Admission, nowUs int64) {
	r := a.pool(adm.service).runners[adm.Runner.ID]
	if r == nil || !adm.prefilling {
		return
	}
	adm.prefilling = false
	a.pool(adm.service).recordFirstTokenLatency(&a.Tuning, adm, r, nowUs)
	r.ownLoad.prefill -= adm.prefillTokens
	if elapsedUs := nowUs - adm.admittedUs; elapsedUs > 0 && adm.prefillTokens >= 512 && adm.prefillAhead*4 <= adm.prefillTokens {
		sample := float64(adm.prefillTokens) / float64(elapsedUs)
		if r.measuredRate <= 0 {
			r.measuredRate = sample
		} else {
			r.measuredRate += (sample - r.measuredRate) * 0.2
		}
	}
	for i, k := range adm.Keys {
		a.Index.RecordPrefilled(r.record.ID, k, int32(adm.Parts[i].Tokens))
	}
}

// Release releases the capacity of an admission. connected is false if the connection to
// the runner failed; the runner is then avoided, with exponential backoff.
func (a *Admitter) Release(adm *Admission, connected bool, nowUs int64) {
	p := a.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	a.tenant(adm.tenant, nowUs).admitted--
	if r == nil {
		return
	}
	if adm.prefilling {
		adm.prefilling = false
		r.ownLoad.prefill -= adm.prefillTokens
		for _, k := range adm.expectedKeys {
			a.Index.CancelExpected(r.record.ID, k)
		}
	}
	for _, k := range adm.pins {
		if r.pins[k.key]--; r.pins[k.key] <= 0 {
			delete(r.pins, k.key)
			r.ownLoad.blocks -= k.blocks
		}
	}
	r.ownLoad.blocks -= adm.blocks
	r.ownLoad.count--
	if connected {
		r.backoffUs, r.avoidUntilUs = 0, 0
		return
	}
	r.backoffUs = min(max(2*r.backoffUs, a.Tuning.FailureBackoffUs), a.Tuning.MaxFailureBackoffUs)
	r.avoidUntilUs = nowUs + r.backoffUs
}

// RecordOutcome records whether a request that ran at a runner succeeded, for outlier detection
// and for the rollout in progress.
func (a *Admitter) RecordOutcome(adm *Admission, succeeded bool, nowUs int64) {
	p := a.pool(adm.service)
	if r := p.runners[adm.Runner.ID]; r != nil {
		r.health.record(succeeded, nowUs)
		p.recordOutcome(adm, r, succeeded)
		if !succeeded {
			p.ejectOutliers(nowUs)
		} else if !r.absence.excluded {
			r.absence.backoffUs = 0
		}
	}
}

// RecordRejection records that a runner rejected a request for lack of capacity. The runner is
// avoided for rejectionBackoffUs.
func (a *Admitter) RecordRejection(adm *Admission, nowUs int64) {
	if r := a.pool(adm.service).runners[adm.Runner.ID]; r != nil {
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+rejectionBackoffUs)
	}
}

// TakeExpectedPrefixes returns, and clears, the prefixes that runners are about to cache for
// requests that this node has admitted since the last call.
func (a *Admitter) TakeExpectedPrefixes() []messages.CachedPrefixes {
	out := a.expectedPrefixes
	a.expectedPrefixes = nil
	return out
}
