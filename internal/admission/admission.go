// The Admitter and its decision on a new request. Checks run cheapest first. Load is
// counted in blocks of runner memory, output blocks included, and in prompt tokens
// that wait for prefill; a runner past a threshold gets no new request; what cannot be
// admitted now is queued within caps and a time to live, or rejected at once with a
// time after which to retry.

package admission

import (
	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/placement"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/targets"
)

// Request is what admission knows of a client's request.
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
	Avoid      []string // runners tried before
}

// Reason says which check rejected a request.
type Reason string

// Reasons of a denial.
const (
	RejectRate    Reason = "tenant-rate"
	RejectContext Reason = "context"
	RejectQueue   Reason = "pending-requests"
	RejectTokens  Reason = "pending-tokens"
	RejectShed    Reason = "shed"
	RejectTTL     Reason = "ttl"
)

// Decision is what is decided on one request: it is admitted, queued or rejected.
type Decision struct {
	Ref     inflight.Ref
	Admit   *Admission
	Hold    bool
	Reject  Reason
	Status  int
	AgainUs int64
}

// Admitter is not safe for concurrent use.
type Admitter struct {
	T       Tuning
	Zone    string
	Index   *prefixindex.Index
	nodes   int
	pools   map[string]*pool
	tenants map[string]*tenantState
	left    map[string]relinquished // by zone
	list    []placement.Candidate   // kept from one look for candidates to the next
	who     []*runner
	turn    int                 // whose turn it is among equals
	free    bool                // the last look for candidates found a runner with a place
	toldUs  int64               // when the others' loads last came
	fresh   []messages.KeptNote // parts that this node has sent somewhere to be read
	absent  []string            // runners that are not at their address, for others to hear of
	Bound   WeightsBound
	targets targets.Table
	// contactUs is when a controller that has the core in reach was last heard of.
	contactUs int64
	Salt      func(tenant string, isolated bool, regime string, version int64) string
}

// New makes the admitter of a node in a zone.
func New(t Tuning, zone string) *Admitter {
	return &Admitter{T: t, Zone: zone, Index: prefixindex.NewIndex(), nodes: 1, pools: map[string]*pool{}, tenants: map[string]*tenantState{}, Bound: WeightsBound{VersionUs: 8_000_000}, Salt: Salt}
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

// SetNodes tells how many nodes share the runners.
func (a *Admitter) SetNodes(n int) { a.nodes = max(n, 1) }

// Submit decides on a new request.
func (a *Admitter) Submit(request Request, nowUs int64) Decision {
	p := a.pool(request.Service)
	t := a.tenant(request.Tenant, nowUs)
	if !a.allowRate(t, p, nowUs) {
		return a.reject(request, p, RejectRate, 429)
	}
	if p.tokens > 0 && request.TokensIn+request.TokensOut > p.tokens {
		return a.reject(request, p, RejectContext, 503)
	}
	if p.queue.count == 0 || p.queue.bands[0].rank > request.Rank || a.nothingAhead(p, request.Rank) {
		if adm := a.admit(request, p, t, nowUs); adm != nil {
			return Decision{Ref: request.Ref, Admit: adm}
		}
	}
	return a.enqueue(request, p, nowUs)
}

func (a *Admitter) nothingAhead(p *pool, rank int) bool {
	for _, b := range p.queue.bands {
		if b.rank <= rank && len(b.turn) > 0 {
			return false
		}
	}
	return true
}

func (a *Admitter) enqueue(request Request, p *pool, nowUs int64) Decision {
	share := func(total float64) float64 {
		if a.nodes > 2 {
			return 2 * total / float64(a.nodes)
		}
		return total
	}
	if float64(p.queue.count+1) > share(float64(a.places(p)+a.T.BufferRequests)) {
		return a.reject(request, p, RejectQueue, 503)
	}
	setpoint := max(request.SetpointUs, 100_000)
	if p.queue.count > 0 && float64(p.queue.tokens+request.TokensIn) > share(float64(setpoint)*a.rate(p)) {
		return a.reject(request, p, RejectTokens, 503)
	}
	ttl := min(int64(float64(request.LeftUs)*a.T.TTLPart), int64(float64(setpoint)*a.T.TTLSetpoints))
	p.queue.put(&waiting{ask: request, untilUs: nowUs + max(ttl, 50_000)})
	return Decision{Ref: request.Ref, Hold: true}
}

// ShedFor makes room for a request of a higher band that was rejected for a full
// queue: the newest of the lowest band goes instead.
func (a *Admitter) ShedFor(request Request, nowUs int64) (Decision, bool) {
	p := a.pool(request.Service)
	w := p.queue.shed(request.Rank)
	if w == nil {
		return Decision{}, false
	}
	return a.reject(w.ask, p, RejectShed, 503), true
}

func (a *Admitter) reject(request Request, p *pool, why Reason, status int) Decision {
	again := int64(float64(p.queue.tokens)/a.rate(p)) + 60_000
	return Decision{Ref: request.Ref, Reject: why, Status: status, AgainUs: min(max(again, 60_000), 1_000_000)}
}
