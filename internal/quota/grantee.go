package quota

import (
	"math"
	"slices"

	"beechtide.org/beechtide/internal/rendezvous"
)

// Token allows one request to run. The zero Token is invalid.
type Token struct {
	ExpiresUs int64
}

// Valid reports whether the token may be used at nowUs.
func (t Token) Valid(nowUs int64) bool { return t.ExpiresUs > nowUs }

const (
	// demandWindowUs is the time over which a router averages a tenant's requests.
	demandWindowUs = int64(1_000_000)
	// forgetAfterUs is how long after its last request a router forgets a tenant.
	forgetAfterUs = int64(60_000_000)
	// lenderCount is the number of routers that share Allowance.Unowned of a tenant.
	lenderCount = 4
)

// Grantee holds the tokens that a router has been granted and decides how many it
// requests and which requests may run without one.
type Grantee struct {
	self          string
	bounds        Bounds
	startUs       int64
	tenants       map[string]*tenantState
	ownerAnswered bool // an owner has answered; the fleet is known from then on
	routers       *rendezvous.Nodes
}

// tenantState is the state of one tenant at a router.
type tenantState struct {
	tokens     []Token
	demand     float64 // requests in the last demandWindowUs, with exponential decay
	demandAtUs int64   // time for which demand is correct
	lentAtUs   []int64 // times of the requests allowed to run without a token, oldest first
	lastUseUs  int64
}

// NewGrantee returns the Grantee of the router with the address self.
func NewGrantee(self string, bounds Bounds, nowUs int64) *Grantee {
	return &Grantee{self: self, bounds: bounds, startUs: nowUs, tenants: map[string]*tenantState{}, routers: rendezvous.NewNodes(self, nowUs)}
}

// Allowance returns the allowance for a limit.
func (g *Grantee) Allowance(limit Limit) Allowance { return g.bounds.Allowance(limit) }

// SetRouters records the routers that are visible at nowUs.
func (g *Grantee) SetRouters(addrs []string, nowUs int64) { g.routers.MarkSeen(addrs, nowUs) }

// Lenders returns the routers that share Allowance.Unowned of a tenant.
func (g *Grantee) Lenders(tenant string) []string { return g.routers.Top(tenant, lenderCount) }

func (g *Grantee) tenantState(tenant string, nowUs int64) *tenantState {
	s := g.tenants[tenant]
	if s == nil {
		s = &tenantState{demandAtUs: nowUs}
		g.tenants[tenant] = s
	}
	s.lastUseUs = nowUs
	return s
}

// CountAndAcquire counts a new request of a tenant and returns a token for it if one is
// available.
func (g *Grantee) CountAndAcquire(tenant string, nowUs int64) (Token, bool) {
	s := g.tenantState(tenant, nowUs)
	s.decay(nowUs)
	s.demand++
	return s.takeToken(nowUs)
}

// Acquire returns a token, if one is available, for a request that Grantee.CountAndAcquire
// has counted.
func (g *Grantee) Acquire(tenant string, nowUs int64) (Token, bool) {
	return g.tenantState(tenant, nowUs).takeToken(nowUs)
}

func (s *tenantState) decay(nowUs int64) {
	s.demand *= math.Exp(-float64(nowUs-s.demandAtUs) / float64(demandWindowUs))
	s.demandAtUs = nowUs
}

func (s *tenantState) takeToken(nowUs int64) (Token, bool) {
	for len(s.tokens) > 0 {
		t := s.tokens[0]
		s.tokens = s.tokens[1:]
		if t.Valid(nowUs) {
			return t, true
		}
	}
	return Token{}, false
}

// Return makes the token of a request that did not run available again.
func (g *Grantee) Return(tenant string, t Token, nowUs int64) {
	if t.Valid(nowUs) {
		s := g.tenantState(tenant, nowUs)
		s.tokens = append([]Token{t}, s.tokens...)
	}
}

// RequestSize returns how many tokens to request while need requests wait: need, and one
// for each request that is expected within half of Allowance.TokenLifetimeUs.
func (g *Grantee) RequestSize(tenant string, limit Limit, need int, nowUs int64) int {
	s := g.tenantState(tenant, nowUs)
	s.decay(nowUs)
	expected := s.demand * float64(g.bounds.Allowance(limit).TokenLifetimeUs) / float64(2*demandWindowUs)
	return need + int(expected)
}

// AddGranted adds tokens that were requested at requestedUs.
func (g *Grantee) AddGranted(tenant string, limit Limit, count int, requestedUs, nowUs int64) {
	g.ownerAnswered = true
	s := g.tenantState(tenant, nowUs)
	expires := requestedUs + g.bounds.Allowance(limit).TokenLifetimeUs
	for range count {
		s.tokens = append(s.tokens, Token{ExpiresUs: expires})
	}
}

// Lend reports whether a request may run without a token, here or at the router that
// requests it, and counts the request if so. A process lends nothing in its first window,
// because it has no record of what an earlier process has lent.
func (g *Grantee) Lend(tenant string, limit Limit, nowUs int64) bool {
	if !g.ownerAnswered || nowUs-g.startUs < g.bounds.WindowUs || !slices.Contains(g.Lenders(tenant), g.self) {
		return false
	}
	s := g.tenantState(tenant, nowUs)
	for len(s.lentAtUs) > 0 && nowUs-s.lentAtUs[0] >= g.bounds.WindowUs {
		s.lentAtUs = s.lentAtUs[1:]
	}
	if len(s.lentAtUs) >= int(g.bounds.Allowance(limit).Unowned/lenderCount) {
		return false
	}
	s.lentAtUs = append(s.lentAtUs, nowUs)
	return true
}

// Sweep deletes the state of tenants without a request for more than forgetAfterUs.
func (g *Grantee) Sweep(nowUs int64) {
	for tenant, s := range g.tenants {
		if nowUs-s.lastUseUs > forgetAfterUs {
			delete(g.tenants, tenant)
		}
	}
}
