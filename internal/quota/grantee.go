package quota

import (
	"math"
	"slices"

	"beechtide.org/beechtide/internal/rendezvous"
)

// Token lets one request run. The zero token is none.
type Token struct {
	ExpiresUs int64
}

// Valid reports whether the token may be used at nowUs.
func (t Token) Valid(nowUs int64) bool { return t.ExpiresUs > nowUs }

const (
	// demandUs is over how long a router averages a tenant's requests.
	demandUs = int64(1_000_000)
	// forgetUs is after how long without a request a router forgets a tenant.
	forgetUs = int64(60_000_000)
	// lenderCount is how many routers share Allowance.Unowned of a tenant.
	lenderCount = 4
)

// Grantee is a router's part: tokens that it has been granted, and how many it asks for.
type Grantee struct {
	self    string
	bounds  Bounds
	startUs int64
	shares  map[string]*share
	known   bool // an owner has answered: the fleet is known
	routers *rendezvous.Nodes
}

// share is what a router has of a tenant's limit.
type share struct {
	tokens    []Token
	demand    float64 // requests in demandUs, decaying
	demandUs  int64
	unowned   []int64 // when requests last ran without a token
	lastUseUs int64
}

// NewGrantee returns the part of a router with an address.
func NewGrantee(self string, bounds Bounds, nowUs int64) *Grantee {
	return &Grantee{self: self, bounds: bounds, startUs: nowUs, shares: map[string]*share{}, routers: rendezvous.NewNodes(self, nowUs)}
}

// Allowance returns what a limit leaves.
func (g *Grantee) Allowance(limit Limit) Allowance { return g.bounds.Allowance(limit) }

// SetRouters says which routers are seen.
func (g *Grantee) SetRouters(addrs []string, nowUs int64) { g.routers.See(addrs, nowUs) }

// Lenders returns the routers that share Allowance.Unowned of a tenant.
func (g *Grantee) Lenders(tenant string) []string { return g.routers.Top(tenant, lenderCount) }

func (g *Grantee) share(tenant string, nowUs int64) *share {
	s := g.shares[tenant]
	if s == nil {
		s = &share{demandUs: nowUs}
		g.shares[tenant] = s
	}
	s.lastUseUs = nowUs
	return s
}

// Arrive counts a request of a tenant, and returns a token for it if there is one.
func (g *Grantee) Arrive(tenant string, nowUs int64) (Token, bool) {
	s := g.share(tenant, nowUs)
	s.decay(nowUs)
	s.demand++
	return s.take(nowUs)
}

// Take returns a token for a request that has been counted before.
func (g *Grantee) Take(tenant string, nowUs int64) (Token, bool) {
	return g.share(tenant, nowUs).take(nowUs)
}

func (s *share) decay(nowUs int64) {
	s.demand *= math.Exp(-float64(nowUs-s.demandUs) / float64(demandUs))
	s.demandUs = nowUs
}

func (s *share) take(nowUs int64) (Token, bool) {
	for len(s.tokens) > 0 {
		t := s.tokens[0]
		s.tokens = s.tokens[1:]
		if t.Valid(nowUs) {
			return t, true
		}
	}
	return Token{}, false
}

// Return gives back the token of a request that did not run.
func (g *Grantee) Return(tenant string, t Token, nowUs int64) {
	if t.Valid(nowUs) {
		s := g.share(tenant, nowUs)
		s.tokens = append([]Token{t}, s.tokens...)
	}
}

// Want returns how many tokens to ask for where need requests wait: also those for requests
// that are expected while half of the tokens' time passes.
func (g *Grantee) Want(tenant string, limit Limit, need int, nowUs int64) int {
	s := g.share(tenant, nowUs)
	s.decay(nowUs)
	expected := s.demand * float64(g.bounds.Allowance(limit).DelayUs) / float64(2*demandUs)
	return need + int(expected)
}

// Granted takes tokens that were asked for at askedUs.
func (g *Grantee) Granted(tenant string, limit Limit, count int, askedUs, nowUs int64) {
	g.known = true
	s := g.share(tenant, nowUs)
	expires := askedUs + g.bounds.Allowance(limit).DelayUs
	for range count {
		s.tokens = append(s.tokens, Token{ExpiresUs: expires})
	}
}

// Lend reports whether a request may run without a token, here or at the router that asks,
// and counts it. A process that has just started lends nothing: it does not know what an
// earlier one has lent.
func (g *Grantee) Lend(tenant string, limit Limit, nowUs int64) bool {
	if !g.known || nowUs-g.startUs < g.bounds.WindowUs || !slices.Contains(g.Lenders(tenant), g.self) {
		return false
	}
	s := g.share(tenant, nowUs)
	for len(s.unowned) > 0 && nowUs-s.unowned[0] >= g.bounds.WindowUs {
		s.unowned = s.unowned[1:]
	}
	if len(s.unowned) >= int(g.bounds.Allowance(limit).Unowned/lenderCount) {
		return false
	}
	s.unowned = append(s.unowned, nowUs)
	return true
}

// Sweep forgets the tenants that have sent nothing for long.
func (g *Grantee) Sweep(nowUs int64) {
	for tenant, s := range g.shares {
		if nowUs-s.lastUseUs > forgetUs {
			delete(g.shares, tenant)
		}
	}
}
