package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
)

// quotaMember models the quota part of a controller.
type quotaMember struct {
	history *quotaHistory
	addr    string
	process *Process
	lives   int
	known   quota.Group // the group as last received by this member; survives restarts
	member  *quota.Member
}

func (m *quotaMember) boot() {
	m.process.Start()
	m.lives++
	config := quota.Config{Self: fmt.Sprintf("%s/%d", m.addr, m.lives), Bounds: quotaBounds, StartUs: m.process.NowUs()}
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
	return m.known
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

// answer handles a router's request for tokens.
func (m *quotaMember) answer(ask messages.QuotaAsk) messages.QuotaGrant {
	grant := m.member.HandleAsk(ask, m.process.NowUs())
	if grant.Owner {
		m.history.checks.answered(m, quota.ShardOf(ask.Tenant))
	}
	if m.member.Urgent() {
		m.process.After(0, m.claim)
	}
	return grant
}

// Timeouts of a router, as in package router.
const (
	quotaAnswerWaitUs = 45 * Millisecond
	quotaTries        = 2
	quotaPauseUs      = 25 * Millisecond
	quotaBorrowWaitUs = 20 * Millisecond
	quotaRequestUs    = 100 * Millisecond // longest wait of a request for a token
	mostQueueUs       = 300 * Millisecond // longest wait for a runner afterwards
)

// quotaRouter models the quota part of a router.
type quotaRouter struct {
	history *quotaHistory
	addr    string
	process *Process
	grantee *quota.Grantee
	waiting map[*quotaTenant][]*quotaRequest
	asking  map[*quotaTenant]bool
	owners  map[int]string
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
	r.waiting, r.asking, r.owners = map[*quotaTenant][]*quotaRequest{}, map[*quotaTenant]bool{}, map[int]string{}
	r.see()
}

// see refreshes the grantee's list of running routers every second.
func (r *quotaRouter) see() {
	var alive []string
	for _, other := range r.history.routers {
		if other.process.Up() {
			alive = append(alive, other.addr)
		}
	}
	r.grantee.SetRouters(alive, r.process.NowUs())
	r.process.After(Second, r.see)
}

// arrive handles a client's request.
func (r *quotaRouter) arrive(t *quotaTenant, limit quota.Limit) {
	token, ok := r.grantee.CountAndAcquire(t.name, r.process.NowUs())
	r.acquire(t, limit, token, ok, func(token quota.Token, denied bool) {
		if token == (quota.Token{}) {
			r.history.checks.rejected(t, denied)
			return
		}
		r.queue(t, limit, token)
	})
}

// queue makes the request wait for a runner. It then runs if its token is still valid or another
// token is granted.
func (r *quotaRouter) queue(t *quotaTenant, limit quota.Limit, token quota.Token) {
	k := r.history.kernel
	waitUs := max(k.Between(0, mostQueueUs), r.history.busyUntilUs-k.NowUs())
	r.process.After(waitUs, func() {
		if token.Valid(r.process.NowUs()) || r.history.defects.IgnoreTokenAge {
			r.history.checks.ran(t)
			return
		}
		token, ok := r.grantee.Acquire(t.name, r.process.NowUs())
		r.acquire(t, limit, token, ok, func(token quota.Token, _ bool) {
			if token == (quota.Token{}) {
				r.history.checks.rejectedLate(t)
			} else {
				r.history.checks.ran(t)
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
	r.process.After(quotaRequestUs, func() { r.giveUp(request) })
	if !r.asking[t] {
		r.asking[t] = true
		r.ask(t)
	}
}

// giveUp ends a request's wait for an owner and tries to borrow a token from other routers.
func (r *quotaRouter) giveUp(request *quotaRequest) {
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
	r.process.After(quotaBorrowWaitUs, func() { end(false) })
}

func (h *quotaHistory) routerAt(addr string) *quotaRouter {
	for _, r := range h.routers {
		if r.addr == addr {
			return r
		}
	}
	return nil
}

// ask requests tokens from the members, the most likely owner first.
func (r *quotaRouter) ask(t *quotaTenant) {
	if len(r.waiting[t]) == 0 {
		r.asking[t] = false
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
	r.askNext(t, shard, "", addrs, map[string]int{})
}

// askNext sends the request to addr, the owner that another member has returned as a hint, or
// else to the next member.
func (r *quotaRouter) askNext(t *quotaTenant, shard int, addr string, addrs []string, tries map[string]int) {
	for addr == "" && len(addrs) > 0 {
		if tries[addrs[0]] == 0 {
			addr = addrs[0]
		}
		addrs = addrs[1:]
	}
	if addr == "" {
		delete(r.owners, shard)
		r.process.After(quotaPauseUs, func() { r.ask(t) })
		return
	}
	tries[addr]++
	r.call(addr, t, func(grant messages.QuotaGrant, answered bool) {
		switch {
		case answered && grant.Owner:
			r.ask(t)
		case answered && tries[grant.Hint] < quotaTries:
			r.askNext(t, shard, grant.Hint, addrs, tries)
		default:
			r.askNext(t, shard, "", addrs, tries)
		}
	})
}

// call requests tokens from one member. A grant that arrives after the timeout is still used.
func (r *quotaRouter) call(addr string, t *quotaTenant, done func(messages.QuotaGrant, bool)) {
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
			r.settle(addr, t, limit, need, grant, askedUs)
		}
		end(grant, true)
	})
	m := r.history.memberAt(addr)
	net.Send(r.addr, addr, func() {
		m.process.Deliver(func() {
			grant = m.answer(ask)
			net.Send(addr, r.addr, back)
		})
	})
	r.process.After(quotaAnswerWaitUs, func() { end(messages.QuotaGrant{}, false) })
}

// limit returns the limit of the latest waiting request.
func (r *quotaRouter) limit(t *quotaTenant) quota.Limit {
	limit := t.limit
	if list := r.waiting[t]; len(list) > 0 {
		limit = list[len(list)-1].limit
	}
	return limit
}

// settle distributes the tokens granted by an owner to the waiting requests, and denies requests
// beyond the grant.
func (r *quotaRouter) settle(addr string, t *quotaTenant, limit quota.Limit, need int, grant messages.QuotaGrant, askedUs int64) {
	nowUs := r.process.NowUs()
	r.owners[quota.ShardOf(t.name)] = addr
	r.grantee.AddGranted(t.name, limit, grant.Granted, askedUs, nowUs)
	served := 0
	for len(r.waiting[t]) > 0 {
		token, ok := r.grantee.Acquire(t.name, nowUs)
		if !ok {
			break
		}
		r.pop(t).decide(token, false)
		served++
	}
	if grant.Granted >= need {
		return
	}
	for range min(need-served, len(r.waiting[t])) {
		r.pop(t).decide(quota.Token{}, true)
	}
}

func (r *quotaRouter) pop(t *quotaTenant) *quotaRequest {
	request := r.waiting[t][0]
	r.waiting[t] = r.waiting[t][1:]
	return request
}
