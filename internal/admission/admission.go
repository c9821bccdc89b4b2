// The Admitter and its decision on a new request. Checks run cheapest first. Load is
// counted in blocks of runner memory, output blocks included, and in prompt tokens
// that wait for prefill; a runner past a threshold gets no new request; what cannot be
// admitted now is queued within caps and a time to live, or rejected at once with a
// time after which to retry.

package admission

import (
	"math/rand/v2"

	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/targets"
)

// Request is a client's request as far as admission needs it. Times are microseconds.
type Request struct {
	Ref        inflight.Ref
	Service    string
	Tenant     string
	Rank       int // band: the tenant's rank goes before the route's
	TokensIn   int
	TokensOut  int
	Model      string
	Parts      []prefixindex.Part
	Isolated   bool
	Regime     string // only runners certified for it are candidates
	SetpointUs int64
	LeftUs     int64
	Avoid      []string // runners that were tried before
	Bound      bool     // only runners in one of the regions in Homes are candidates
	Homes      []string
	Canary     bool   // goes to a new version of the service that is tried
	Class      string // kind of request, by which outcomes are compared
}

// Reason says which check rejected a request.
type Reason string

// Reasons of a rejection.
const (
	RejectRate    Reason = "tenant-rate"
	RejectContext Reason = "context"
	RejectQueue   Reason = "pending-requests"
	RejectTokens  Reason = "pending-tokens"
	RejectShed    Reason = "shed"
	RejectTTL     Reason = "ttl"
)

// Decision is the outcome for one request: it is admitted (Admit), queued (Hold) or
// rejected (Reject, with the HTTP status and the time in microseconds after which to
// retry).
type Decision struct {
	Ref     inflight.Ref
	Admit   *Admission
	Hold    bool
	Reject  Reason
	Status  int
	AgainUs int64
}

// Admitter is the admission of one node. It is not safe for concurrent use.
type Admitter struct {
	T                Tuning
	Zone             string
	Index            *prefixindex.Index
	nodes            int
	pools            map[string]*pool
	tenants          map[string]*tenantState
	relinquished     map[string]relinquishment // by zone
	retiredBelow     map[string]int64          // by model: the first version of the weights that is not retired
	evacuations      evacuationState
	unreachable      unreachableZones
	warmups          warmupConfig
	regions          map[string]string     // by zone
	candidateBuffer  []placement.Candidate // reused by the next search for candidates
	runnerBuffer     []*runner
	random           *rand.Rand                // which runners are compared, where other nodes send requests too
	transferTurn     int                       // counts equal transfer sources, which take turns
	hasCapacity      bool                      // the last search found a runner below its thresholds
	peerLoadsUs      int64                     // when the loads of the other nodes were last updated; 0: expired
	expectedPrefixes []messages.CachedPrefixes // prefixes that runners will cache once they have read them; for the other nodes
	confirmedAbsent  []string                  // runners of confirmed absence, for the other nodes
	Bound            WeightsBound
	targets          targets.Table
	// contactUs is when a controller with contact to the core was last heard from.
	contactUs int64
	Salt      func(tenant string, isolated bool, regime string, version int64) string
}

// New returns the admitter of a node in a zone. The nodes of a fleet should have
// different seeds: from equal ones they would choose the same runners.
func New(t Tuning, zone string, seed uint64) *Admitter {
	return &Admitter{T: t, Zone: zone, Index: prefixindex.NewIndex(), random: rand.New(rand.NewPCG(seed, 0)), nodes: 1, pools: map[string]*pool{}, tenants: map[string]*tenantState{}, Bound: WeightsBound{VersionUs: 8_000_000}, Salt: Salt}
}

// Salt keeps weight versions apart, isolated tenants from all others, and the
// tenants of a regime from those outside it, whose requests may go anywhere.
func Salt(tenant string, isolated bool, regime string, version int64) string {
	b := []byte{'w'}
	b = appendInt(b, version)
	if regime != "" {
		b = append(append(b, '~'), regime...)
	}
	if isolated {
		b = append(append(b, '/'), tenant...)
	}
	return string(b)
}

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
			return Decision{Ref: request.Ref, Admit: adm}
		}
	}
	return a.enqueue(request, p, nowUs)
}

func (a *Admitter) noneQueuedAhead(p *pool, rank int) bool {
	for _, b := range p.queue.bands {
		if b.rank <= rank && len(b.rotation) > 0 {
			return false
		}
	}
	return true
}

func (a *Admitter) enqueue(request Request, p *pool, nowUs int64) Decision {
	nodeShare := func(total float64) float64 {
		if a.nodes > 2 {
			return 2 * total / float64(a.nodes)
		}
		return total
	}
	if float64(p.queue.count+1) > nodeShare(float64(a.totalCapacity(p)+a.T.BufferRequests)) {
		return a.reject(request, p, RejectQueue, 503)
	}
	setpoint := max(request.SetpointUs, 100_000)
	if p.queue.count > 0 && float64(p.queue.tokens+request.TokensIn) > nodeShare(float64(setpoint)*a.totalPrefillRate(p)) {
		return a.reject(request, p, RejectTokens, 503)
	}
	ttl := min(int64(float64(request.LeftUs)*a.T.TTLPart), int64(float64(setpoint)*a.T.TTLSetpoints))
	p.queue.enqueue(&queuedRequest{request: request, expiresUs: nowUs + max(ttl, 50_000)})
	return Decision{Ref: request.Ref, Hold: true}
}

// ShedFor makes room for a request of a higher band that was rejected for a full
// queue: the newest of the lowest band goes instead.
func (a *Admitter) ShedFor(request Request, _ int64) (Decision, bool) {
	p := a.pool(request.Service)
	w := p.queue.shed(request.Rank)
	if w == nil {
		return Decision{}, false
	}
	return a.reject(w.request, p, RejectShed, 503), true
}

func (a *Admitter) reject(request Request, p *pool, reason Reason, status int) Decision {
	retryAfterUs := int64(float64(p.queue.tokens)/a.totalPrefillRate(p)) + 60_000
	return Decision{Ref: request.Ref, Reject: reason, Status: status, AgainUs: min(max(retryAfterUs, 60_000), 1_000_000)}
}
