package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
)

// quotaMember models the quota part of a controller.
type quotaMember struct {
	history    *quotaHistory
	addr       string
	process    *Process
	starts     int
	knownGroup quota.Group // the group as last received by this member; survives restarts
	member     *quota.Member
}

func (m *quotaMember) boot() {
	m.process.Start()
	m.starts++
	config := quota.Config{Self: fmt.Sprintf("%s/%d", m.addr, m.starts), Bounds: quotaBounds, StartUs: m.process.NowUs()}
	if m.history.defects.VoteAfterRestart {
		config.StartUs -= quota.LeaseUs
	}
	m.member = quota.NewMember(config)
	m.process.After(0, m.tick)
}

func (m *quotaMember) tick() {
	m.claim()
	m.process.After(quota.ClaimIntervalUs+m.history.kernel.Between(0, 10*Millisecond), m.tick)
}

func (m *quotaMember) claim() {
	for _, o := range m.member.Tick(m.group(), m.process.NowUs()) {
		m.send(o)
	}
}

func (m *quotaMember) group() quota.Group {
	if m.history.defects.OwnWithoutMajority {
		return quota.Group{Version: 1, Members: []string{m.addr}}
	}
	return m.knownGroup
}

func (m *quotaMember) send(o quota.OutgoingClaim) {
	net, sentUs := m.history.network, m.process.NowUs()
	other := m.history.memberAt(o.To)
	var votes messages.QuotaVotes
	back := m.process.InLife(func() { m.member.HandleVotes(o.To, votes, sentUs, m.process.NowUs()) })
	net.Send(m.addr, o.To, func() {
		other.process.Deliver(func() {
			votes = other.member.HandleClaim(o.Claim, other.process.NowUs())
			net.Send(o.To, m.addr, back)
			if len(o.Claim.Released) > 0 {
				other.process.After(0, other.claim)
			}
		})
	})
}

func (h *quotaHistory) memberAt(addr string) *quotaMember {
	for _, m := range h.members {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

// handleAsk handles a router's request for tokens.
func (m *quotaMember) handleAsk(ask messages.QuotaAsk) messages.QuotaGrant {
	grant := m.member.HandleAsk(ask, m.process.NowUs())
	if grant.Owner {
		m.history.checks.checkOwner(m, quota.ShardOf(ask.Tenant))
	}
	if m.member.Urgent() {
		m.process.After(0, m.claim)
	}
	return grant
}

// Timeouts of a router, as in package router.
const (
	askTimeoutUs      = 45 * Millisecond
	maxAsksPerMember  = 2
	quotaRetryDelayUs = 25 * Millisecond
	borrowTimeoutUs   = 20 * Millisecond
	maxTokenWaitUs    = 100 * Millisecond // longest wait of a request for a token
	maxRunnerWaitUs   = 300 * Millisecond // longest wait for a runner afterwards
)

// quotaRouter models the quota part of a router.
type quotaRouter struct {
	history    *quotaHistory
	addr       string
	process    *Process
	grantee    *quota.Grantee
	waiting    map[*quotaTenant][]*quotaRequest
	requesting map[*quotaTenant]bool
	owners     map[int]string
}

// quotaRequest is a request that waits for a token.
type quotaRequest struct {
	tenant *quotaTenant
	limit  quota.Limit // the tenant's limit when the request arrived
	decide func(token quota.Token, denied bool)
}

func (r *quotaRouter) boot() {
	r.process.Start()
	r.grantee = quota.NewGrantee(r.addr, quotaBounds, r.process.NowUs())
	r.waiting, r.requesting, r.owners = map[*quotaTenant][]*quotaRequest{}, map[*quotaTenant]bool{}, map[int]string{}
	r.refreshRouters()
}

// refreshRouters refreshes the grantee's list of running routers every second.
func (r *quotaRouter) refreshRouters() {
	var alive []string
	for _, other := range r.history.routers {
		if other.process.Up() {
			alive = append(alive, other.addr)
		}
	}
	r.grantee.SetRouters(alive, r.process.NowUs())
	r.process.After(Second, r.refreshRouters)
}

// handleRequest handles a client's request.
func (r *quotaRouter) handleRequest(t *quotaTenant, limit quota.Limit) {
	token, ok := r.grantee.CountAndAcquire(t.name, r.process.NowUs())
	r.acquire(t, limit, token, ok, func(token quota.Token, denied bool) {
		if token == (quota.Token{}) {
			r.history.checks.recordRejected(t, denied)
			return
		}
		r.waitForRunner(t, limit, token)
	})
}

// waitForRunner makes the request wait for a runner. It then runs if its token is still valid or
// another token is granted.
func (r *quotaRouter) waitForRunner(t *quotaTenant, limit quota.Limit, token quota.Token) {
	k := r.history.kernel
	waitUs := max(k.Between(0, maxRunnerWaitUs), r.history.busyUntilUs-k.NowUs())
	r.process.After(waitUs, func() {
		if token.Valid(r.process.NowUs()) || r.history.defects.IgnoreTokenAge {
			r.history.checks.recordRun(t)
			return
		}
		token, ok := r.grantee.Acquire(t.name, r.process.NowUs())
		r.acquire(t, limit, token, ok, func(token quota.Token, _ bool) {
			if token == (quota.Token{}) {
				r.history.checks.recordExpired(t)
			} else {
				r.history.checks.recordRun(t)
			}
		})
	})
}

// acquire calls decide at once if it has a token, otherwise after an owner's response or a
// timeout.
func (r *quotaRouter) acquire(t *quotaTenant, limit quota.Limit, token quota.Token, ok bool, decide func(quota.Token, bool)) {
	if ok {
		decide(token, false)
		return
	}
	request := &quotaRequest{tenant: t, limit: limit, decide: decide}
	r.waiting[t] = append(r.waiting[t], request)
	r.process.After(maxTokenWaitUs, func() { r.stopWaiting(request) })
	if !r.requesting[t] {
		r.requesting[t] = true
		r.requestTokens(t)
	}
}

// stopWaiting ends a request's wait for an owner and tries to borrow a token from other routers.
func (r *quotaRouter) stopWaiting(request *quotaRequest) {
	list := r.waiting[request.tenant]
	for i, other := range list {
		if other == request {
			r.waiting[request.tenant] = append(append([]*quotaRequest{}, list[:i]...), list[i+1:]...)
			r.borrow(request, r.grantee.Lenders(request.tenant.name))
			return
		}
	}
}

// borrow requests a token from one lender after the other.
func (r *quotaRouter) borrow(request *quotaRequest, lenders []string) {
	if len(lenders) == 0 {
		request.decide(quota.Token{}, false)
		return
	}
	lender, ended := r.history.routerAt(lenders[0]), false
	end := func(lent bool) {
		if ended {
			return
		}
		ended = true
		if lent {
			request.decide(quota.Token{ExpiresUs: r.process.NowUs() + r.grantee.Allowance(request.limit).TokenLifetimeUs}, false)
		} else {
			r.borrow(request, lenders[1:])
		}
	}
	lend := func() bool { return lender.grantee.Lend(request.tenant.name, request.limit, lender.process.NowUs()) }
	if lender == r {
		end(lend())
		return
	}
	net, lent := r.history.network, false
	back := r.process.InLife(func() { end(lent) })
	net.Send(r.addr, lender.addr, func() {
		lender.process.Deliver(func() {
			lent = lend()
			net.Send(lender.addr, r.addr, back)
		})
	})
	r.process.After(borrowTimeoutUs, func() { end(false) })
}

func (h *quotaHistory) routerAt(addr string) *quotaRouter {
	for _, r := range h.routers {
		if r.addr == addr {
			return r
		}
	}
	return nil
}

// requestTokens requests tokens from the members, the most likely owner first.
func (r *quotaRouter) requestTokens(t *quotaTenant) {
	if len(r.waiting[t]) == 0 {
		r.requesting[t] = false
		return
	}
	shard := quota.ShardOf(t.name)
	var addrs []string
	if owner := r.owners[shard]; owner != "" {
		addrs = append(addrs, owner)
	}
	for _, m := range r.history.members {
		addrs = append(addrs, m.addr)
	}
	r.requestFromNext(t, shard, "", addrs, map[string]int{})
}

// requestFromNext sends the request to addr, the owner that another member has returned as a hint,
// or else to the next member.
func (r *quotaRouter) requestFromNext(t *quotaTenant, shard int, addr string, addrs []string, tries map[string]int) {
	for addr == "" && len(addrs) > 0 {
		if tries[addrs[0]] == 0 {
			addr = addrs[0]
		}
		addrs = addrs[1:]
	}
	if addr == "" {
		delete(r.owners, shard)
		r.process.After(quotaRetryDelayUs, func() { r.requestTokens(t) })
		return
	}
	tries[addr]++
	r.requestFrom(addr, t, func(grant messages.QuotaGrant, answered bool) {
		switch {
		case answered && grant.Owner:
			r.requestTokens(t)
		case answered && tries[grant.Hint] < maxAsksPerMember:
			r.requestFromNext(t, shard, grant.Hint, addrs, tries)
		default:
			r.requestFromNext(t, shard, "", addrs, tries)
		}
	})
}

// requestFrom requests tokens from one member. A grant that arrives after the timeout is still used.
func (r *quotaRouter) requestFrom(addr string, t *quotaTenant, done func(messages.QuotaGrant, bool)) {
	net, askedUs, ended := r.history.network, r.process.NowUs(), false
	end := func(grant messages.QuotaGrant, answered bool) {
		if !ended {
			ended = true
			done(grant, answered)
		}
	}
	limit, need := r.limit(t), len(r.waiting[t])
	ask := messages.QuotaAsk{
		Tenant: t.name, Need: need, Want: r.grantee.RequestSize(t.name, limit, need, askedUs),
		RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version,
	}
	var grant messages.QuotaGrant
	back := r.process.InLife(func() {
		if grant.Owner {
			r.distributeGrant(addr, t, limit, need, grant, askedUs)
		}
		end(grant, true)
	})
	m := r.history.memberAt(addr)
	net.Send(r.addr, addr, func() {
		m.process.Deliver(func() {
			grant = m.handleAsk(ask)
			net.Send(addr, r.addr, back)
		})
	})
	r.process.After(askTimeoutUs, func() { end(messages.QuotaGrant{}, false) })
}

// limit returns the limit of the latest waiting request.
func (r *quotaRouter) limit(t *quotaTenant) quota.Limit {
	limit := t.limit
	if list := r.waiting[t]; len(list) > 0 {
		limit = list[len(list)-1].limit
	}
	return limit
}

// distributeGrant distributes the tokens granted by an owner to the waiting requests, and denies
// requests beyond the grant.
func (r *quotaRouter) distributeGrant(addr string, t *quotaTenant, limit quota.Limit, need int, grant messages.QuotaGrant, askedUs int64) {
	nowUs := r.process.NowUs()
	r.owners[quota.ShardOf(t.name)] = addr
	r.grantee.AddGranted(t.name, limit, grant.Granted, askedUs, nowUs)
	served := 0
	for len(r.waiting[t]) > 0 {
		token, ok := r.grantee.Acquire(t.name, nowUs)
		if !ok {
			break
		}
		r.popWaiting(t).decide(token, false)
		served++
	}
	if grant.Granted >= need {
		return
	}
	for range min(need-served, len(r.waiting[t])) {
		r.popWaiting(t).decide(quota.Token{}, true)
	}
}

func (r *quotaRouter) popWaiting(t *quotaTenant) *quotaRequest {
	request := r.waiting[t][0]
	r.waiting[t] = r.waiting[t][1:]
	return request
}
