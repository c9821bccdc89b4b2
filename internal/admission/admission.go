// The Admitter and its decision on a new request. Checks run cheapest first. Load is
// counted in blocks of runner memory, output blocks included, and in prompt tokens
// that wait for prefill. A runner past a threshold receives no new requests. A request
// that cannot be admitted now is queued, within size limits and a time to live, or
// rejected at once with a retry delay.

package admission

import (
	"math/rand/v2"

	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/targets"
)

// Request holds the attributes of a client's request that admission uses. Times are
// microseconds.
type Request struct {
	Ref       inflight.Ref
	Service   string
	Tenant    string
	Rank      int // priority band, lowest first; the tenant's rank takes precedence over the route's
	TokensIn  int
	TokensOut int
	Model     string
	Parts     []prefixindex.Part
	Isolation
	Regime           string // only runners certified for this regime are candidates
	SetpointUs       int64
	TimeLeftUs       int64
	ExcludedRunners  []string // runners of earlier attempts, which are not candidates
	RegionRestricted bool     // only runners in one of the home regions are candidates
	HomeRegions      []string
	Canary           bool   // is sent to the software version under trial
	Class            string // request class; rollout outcomes are compared per class
}

// Isolation says which cached prefixes a request may share with other tenants' requests.
type Isolation struct {
	Isolated        bool   // none: its tenant is isolated
	IsolatedTenants string // names the set of the isolated tenants; empty if there are none
}

// Reason identifies the check that rejected a request.
type Reason string

// Rejection reasons.
const (
	RejectRate    Reason = "tenant-rate"
	RejectContext Reason = "context"
	RejectQueue   Reason = "pending-requests"
	RejectTokens  Reason = "pending-tokens"
	RejectShed    Reason = "shed"
	RejectTTL     Reason = "ttl"
)

// Decision is the outcome for one request: it is either admitted, queued, or rejected with a
// reason, an HTTP status and a retry delay in microseconds.
type Decision struct {
	Ref          inflight.Ref
	Admission    *Admission
	Queued       bool
	Reason       Reason
	Status       int
	RetryAfterUs int64
}

// Admitter implements the admission of one node. It is not safe for concurrent use.
type Admitter struct {
	Tuning             Tuning
	Zone               string
	Index              *prefixindex.Index
	nodes              int
	pools              map[string]*pool
	tenants            map[string]*tenantState
	relinquished       map[string]relinquishment // by zone
	retiredBelow       map[string]int64          // by model: the lowest weights version that is not retired
	evacuations        evacuationState
	unreachable        unreachableZones
	warmups            warmupConfig
	regions            map[string]string     // by zone
	candidateBuffer    []placement.Candidate // backing arrays of the last search's results, reused by the next one
	runnerBuffer       []*runner
	random             *rand.Rand                // selects the runners to compare when several nodes share them
	transferTurn       int                       // round-robin counter over equivalent transfer sources
	hasCapacity        bool                      // the last search found a runner below its thresholds
	peerLoadsUpdatedUs int64                     // time of the last update of the other nodes' loads; 0: expired
	expectedPrefixes   []messages.CachedPrefixes // prefixes that runners will cache after their prefill; to be sent to the other nodes
	confirmedAbsent    []string                  // runners whose absence was confirmed; to be sent to the other nodes
	WeightsBound       WeightsBound
	targets            targets.Table
	// lastContactUs is when the last message arrived from a controller that is in contact
	// with the core.
	lastContactUs int64
	CacheSalt     func(request *Request, version int64) string
}

// New returns the admitter of a node in a zone. The nodes of a fleet should use
// different seeds; nodes with the same seed would sample the same runners.
func New(t Tuning, zone string, seed uint64) *Admitter {
	return &Admitter{Tuning: t, Zone: zone, Index: prefixindex.NewIndex(), random: rand.New(rand.NewPCG(seed, 0)), nodes: 1, pools: map[string]*pool{}, tenants: map[string]*tenantState{}, WeightsBound: WeightsBound{VersionUs: 8_000_000}, CacheSalt: CacheSalt}
}

// CacheSalt returns the cache salt of a request. It separates the cached prefixes of
// different weights versions, of each isolated tenant from all others, and of the
// tenants under a regime from those without one, whose requests may go to any runner. Prefixes
// that tenants share are also separated by the set of isolated tenants: those of a tenant that has
// become isolated are not used by the others any more.
func CacheSalt(request *Request, version int64) string {
	b := []byte{'w'}
	b = appendInt(b, version)
	if request.Regime != "" {
		b = append(append(b, '~'), request.Regime...)
	}
	switch {
	case request.Isolated:
		b = append(append(b, '/'), request.Tenant...)
	case request.IsolatedTenants != "":
		b = append(append(b, '!'), request.IsolatedTenants...)
	}
	return string(b)
}

// appendInt appends the decimal digits of a non-negative integer.
func appendInt(b []byte, n int64) []byte {
	if n >= 10 {
		b = appendInt(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// SetNodes sets how many nodes share the runners.
func (a *Admitter) SetNodes(n int) { a.nodes = max(n, 1) }

// Submit decides on a new request.
func (a *Admitter) Submit(request Request, nowUs int64) Decision {
	p := a.pool(request.Service)
	t := a.tenant(request.Tenant, nowUs)
	if !a.allowRate(t, p, nowUs) {
		return a.reject(request, p, RejectRate, 429)
	}
	if p.memoryTokens > 0 && request.TokensIn+request.TokensOut > p.memoryTokens {
		return a.reject(request, p, RejectContext, 503)
	}
	if p.queue.count == 0 || p.queue.bands[0].rank > request.Rank || a.noneQueuedAhead(p, request.Rank) {
		if adm := a.admit(request, p, t, nowUs); adm != nil {
			return Decision{Ref: request.Ref, Admission: adm}
		}
	}
	return a.enqueue(request, p, nowUs)
}

// noneQueuedAhead reports whether no request of the same or a higher-priority band is
// queued.
func (a *Admitter) noneQueuedAhead(p *pool, rank int) bool {
	for _, b := range p.queue.bands {
		if b.rank <= rank && len(b.rotation) > 0 {
			return false
		}
	}
	return true
}

// enqueue queues a request, or rejects it if the queue has reached its limit of requests
// or prompt tokens. Of more than two nodes, each may queue up to twice its even share of
// these limits. The time to live is at least 50 ms.
func (a *Admitter) enqueue(request Request, p *pool, nowUs int64) Decision {
	nodeShare := func(total float64) float64 {
		if a.nodes > 2 {
			return 2 * total / float64(a.nodes)
		}
		return total
	}
	if float64(p.queue.count+1) > nodeShare(float64(a.totalCapacity(p)+a.Tuning.BufferRequests)) {
		return a.reject(request, p, RejectQueue, 503)
	}
	setpoint := max(request.SetpointUs, 100_000)
	if p.queue.count > 0 && float64(p.queue.tokens+request.TokensIn) > nodeShare(float64(setpoint)*a.totalPrefillRate(p)) {
		return a.reject(request, p, RejectTokens, 503)
	}
	ttl := min(int64(float64(request.TimeLeftUs)*a.Tuning.TTLShare), int64(float64(setpoint)*a.Tuning.TTLSetpoints))
	p.queue.enqueue(&queuedRequest{request: request, expiresUs: nowUs + max(ttl, 50_000)})
	return Decision{Ref: request.Ref, Queued: true}
}

// ShedLowerPriority removes the newest request of the lowest-priority band from a full queue to
// make room for a request of a higher-priority band. It returns the rejection of the
// removed request, and false if no band has a lower priority.
func (a *Admitter) ShedLowerPriority(request Request, _ int64) (Decision, bool) {
	p := a.pool(request.Service)
	w := p.queue.shed(request.Rank)
	if w == nil {
		return Decision{}, false
	}
	return a.reject(w.request, p, RejectShed, 503), true
}

// reject returns a rejection. The retry delay is the estimated prefill time of the queued
// prompts plus 60 ms, at most 1 s.
func (a *Admitter) reject(request Request, p *pool, reason Reason, status int) Decision {
	retryAfterUs := int64(float64(p.queue.tokens)/a.totalPrefillRate(p)) + 60_000
	return Decision{Ref: request.Ref, Reason: reason, Status: status, RetryAfterUs: min(max(retryAfterUs, 60_000), 1_000_000)}
}
