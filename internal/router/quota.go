// Limits of tenants: a request goes to a runner only with a token of its tenant (package
// quota). Tokens come from the controller that owns the tenant's count; requests of a
// tenant that arrive while a question is under way share the next one.

package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

// Reasons of rejections for a tenant's limit.
const (
	rejectOverQuota  admission.Reason = "tenant-quota"
	rejectNoCounting admission.Reason = "tenant-quota-unavailable"
)

const (
	// quotaAnswerWait is after how long without an answer another controller is asked.
	quotaAnswerWait = 45 * time.Millisecond
	// quotaLateWait is how long an answer is still taken.
	quotaLateWait = 400 * time.Millisecond
	// quotaTries is how often a controller is asked in a round that others name as the owner:
	// its first answer may be late.
	quotaTries = 2
	// quotaRoundPause is the pause after no controller was the owner.
	quotaRoundPause = 25 * time.Millisecond
	// quotaSilentUs is after how long without an owner requests wait for one for
	// quotaSilentWaitUs only, before they run without a token, if they may.
	quotaSilentUs     = 60_000
	quotaSilentWaitUs = 5_000
	// Bounds of how long a request waits: a quarter of its latency target, after which an
	// early rejection would count as a late one.
	minQuotaWaitUs = 40_000
	maxQuotaWaitUs = 200_000
	// moveQuotaWaitUs is how long a stream that could move elsewhere waits.
	moveQuotaWaitUs = 50_000
	// Times after which a client may come back.
	minOverQuotaUs     = 50_000
	maxOverQuotaUs     = 2_000_000
	noCountingAgainUs  = 250_000
	quotaSweepInterval = time.Second
)

// quotaOutcome is what became of a question for a token.
type quotaOutcome int

const (
	quotaGranted quotaOutcome = iota
	quotaDenied               // the tenant is at its limit
	quotaUnknown              // no owner has answered
)

type quotaAnswer struct {
	outcome quotaOutcome
	token   quota.Token
	waitUs  int64
}

// quotaClient asks the owners of tenants' counts. It is safe for concurrent use.
type quotaClient struct {
	router  *Router
	granted atomic.Int64 // tokens that were granted
	denied  atomic.Int64
	unowned atomic.Int64 // requests that ran without a token
	unknown atomic.Int64 // requests that were rejected as no owner answered

	mu      sync.Mutex // guards what follows
	grantee *quota.Grantee
	tenants map[string]*tenantQuota
	owners  map[int]string // by shard: who was the owner last
}

// tenantQuota is the requests of a tenant that wait for a token.
type tenantQuota struct {
	limit    quota.Limit
	waiting  []*quotaWaiter
	asking   bool
	silentUs int64 // since when no owner has answered; 0: one has
}

type quotaWaiter struct{ answer chan quotaAnswer }

func newQuotaClient(c *Router) *quotaClient {
	return &quotaClient{
		router: c, tenants: map[string]*tenantQuota{}, owners: map[int]string{},
		grantee: quota.NewGrantee(c.transport.Addr(), c.set.QuotaBounds(), c.clock()),
	}
}

// sweep forgets tenants that send nothing, and looks at which routers there are.
func (q *quotaClient) sweep() {
	var routers []string
	for _, p := range q.router.monitor.Alive(messages.Router) {
		routers = append(routers, p.Addr)
	}
	q.router.seeRouters(routers)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantee.SetRouters(routers, q.router.clock())
	q.grantee.Sweep(q.router.clock())
	for tenant, t := range q.tenants {
		if !t.asking && t.silentUs == 0 {
			delete(q.tenants, tenant)
		}
	}
}

// acquire returns a token for a request, or why there is none. It waits for waitUs at most.
// arrives tells that the request is new.
func (q *quotaClient) acquire(tenant string, limit quota.Limit, arrives bool, waitUs int64, left <-chan struct{}) quotaAnswer {
	untilUs := q.router.clock() + waitUs
	for {
		answer := q.acquireOnce(tenant, limit, arrives, untilUs, left)
		nowUs := q.router.clock()
		if answer.outcome != quotaDenied || nowUs+answer.waitUs > untilUs {
			return answer
		}
		// A token will be there in time.
		time.Sleep(time.Duration(answer.waitUs) * time.Microsecond)
		arrives = false
	}
}

func (q *quotaClient) acquireOnce(tenant string, limit quota.Limit, arrives bool, untilUs int64, left <-chan struct{}) quotaAnswer {
	nowUs := q.router.clock()
	q.mu.Lock()
	token, ok := quota.Token{}, false
	if arrives {
		token, ok = q.grantee.Arrive(tenant, nowUs)
	} else {
		token, ok = q.grantee.Take(tenant, nowUs)
	}
	if ok {
		q.mu.Unlock()
		return quotaAnswer{outcome: quotaGranted, token: token}
	}
	t := q.tenants[tenant]
	if t == nil {
		t = &tenantQuota{}
		q.tenants[tenant] = t
	}
	if limit.Version >= t.limit.Version {
		t.limit = limit
	}
	silent := t.silentUs > 0 && nowUs-t.silentUs > quotaSilentUs
	w := &quotaWaiter{answer: make(chan quotaAnswer, 1)}
	t.waiting = append(t.waiting, w)
	if !t.asking {
		t.asking = true
		go q.ask(tenant, t)
	}
	q.mu.Unlock()
	if silent {
		untilUs = min(untilUs, nowUs+quotaSilentWaitUs)
	}
	return q.wait(tenant, t, w, untilUs-nowUs, left)
}

// wait waits for the answer to a question. Without one, the request may run on a token of a
// lender.
func (q *quotaClient) wait(tenant string, t *tenantQuota, w *quotaWaiter, waitUs int64, left <-chan struct{}) quotaAnswer {
	timer := time.NewTimer(time.Duration(waitUs) * time.Microsecond)
	defer timer.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
	case <-left:
	}
	q.mu.Lock()
	t.waiting = slices.DeleteFunc(t.waiting, func(other *quotaWaiter) bool { return other == w })
	limit := t.limit
	q.mu.Unlock()
	select {
	case a := <-w.answer: // it came in between
		return a
	default:
	}
	if q.borrow(tenant, limit) {
		q.unowned.Add(1)
		nowUs := q.router.clock()
		return quotaAnswer{outcome: quotaGranted, token: quota.Token{ExpiresUs: nowUs + q.grantee.Allowance(limit).DelayUs}}
	}
	q.unknown.Add(1)
	return quotaAnswer{outcome: quotaUnknown, waitUs: noCountingAgainUs}
}

// ask asks for tokens until no request of the tenant waits.
func (q *quotaClient) ask(tenant string, t *tenantQuota) {
	for {
		q.mu.Lock()
		need := len(t.waiting)
		if need == 0 {
			t.asking = false
			q.mu.Unlock()
			return
		}
		limit := t.limit
		want := q.grantee.Want(tenant, limit, need, q.router.clock())
		q.mu.Unlock()
		ask := messages.QuotaAsk{Tenant: tenant, Need: need, Want: want, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
		if !q.askRound(tenant, t, &ask) {
			time.Sleep(quotaRoundPause)
		}
	}
}

// askRound asks one controller after the other, until one is the owner.
func (q *quotaClient) askRound(tenant string, t *tenantQuota, ask *messages.QuotaAsk) bool {
	shard := quota.ShardOf(tenant)
	addrs := q.candidates(shard)
	tries := map[string]int{}
	next := ""
	for next != "" || len(addrs) > 0 {
		addr := next
		if next == "" {
			addr, addrs = addrs[0], addrs[1:]
			if tries[addr] > 0 {
				continue
			}
		}
		tries[addr]++
		grant, answered := q.call(addr, tenant, t, ask)
		if answered && grant.Owner {
			return true
		}
		next = ""
		if answered && tries[grant.Hint] < quotaTries {
			next = grant.Hint
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.owners, shard)
	if t.silentUs == 0 {
		t.silentUs = q.router.clock()
		q.router.log.Info("no owner of the count answers", "tenant", tenant, "shard", shard, "asked", len(tries))
	}
	return false
}

// candidates is the controllers that may own a shard, the most likely first.
func (q *quotaClient) candidates(shard int) []string {
	var core []string
	for _, p := range membership.Core(q.router.monitor.Alive(messages.Controller)) {
		core = append(core, p.Addr)
	}
	out := quota.Order(shard, core)
	q.mu.Lock()
	defer q.mu.Unlock()
	if owner := q.owners[shard]; owner != "" {
		out = append([]string{owner}, out...)
	}
	return out
}

// call asks one controller. An answer that comes late is used all the same.
func (q *quotaClient) call(addr, tenant string, t *tenantQuota, ask *messages.QuotaAsk) (messages.QuotaGrant, bool) {
	answers := make(chan messages.QuotaGrant, 1)
	go func() {
		defer close(answers)
		ctx, cancel := context.WithTimeout(context.Background(), quotaLateWait)
		defer cancel()
		askedUs := q.router.clock()
		b, err := q.router.transport.Call(ctx, addr, transport.KindQuotaAsk, ask)
		var grant messages.QuotaGrant
		if err == nil {
			_, err = grant.UnmarshalMsg(b)
		}
		if err != nil {
			return
		}
		if grant.Owner {
			q.settle(addr, tenant, t, ask.Need, grant, askedUs)
		}
		answers <- grant
	}()
	timer := time.NewTimer(quotaAnswerWait)
	defer timer.Stop()
	select {
	case grant, ok := <-answers:
		return grant, ok
	case <-timer.C:
		return messages.QuotaGrant{}, false
	}
}

// settle hands out what an owner has granted.
func (q *quotaClient) settle(addr, tenant string, t *tenantQuota, need int, grant messages.QuotaGrant, askedUs int64) {
	nowUs := q.router.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owners[quota.ShardOf(tenant)] = addr
	if t.silentUs > 0 {
		q.router.log.Info("the owner of the count answers again", "tenant", tenant, "owner", addr, "afterMs", (nowUs-t.silentUs)/1000)
		t.silentUs = 0
	}
	q.granted.Add(int64(grant.Granted))
	q.grantee.Granted(tenant, t.limit, grant.Granted, askedUs, nowUs)
	served := 0
	for len(t.waiting) > 0 {
		token, ok := q.grantee.Take(tenant, nowUs)
		if !ok {
			break
		}
		t.waiting[0].answer <- quotaAnswer{outcome: quotaGranted, token: token}
		t.waiting = t.waiting[1:]
		served++
	}
	// Those that the question was for and that got nothing are over the limit; the others
	// came later.
	if grant.Granted >= need {
		return
	}
	for range min(need-served, len(t.waiting)) {
		q.denied.Add(1)
		t.waiting[0].answer <- quotaAnswer{outcome: quotaDenied, waitUs: min(max(grant.WaitUs, minOverQuotaUs), maxOverQuotaUs)}
		t.waiting = t.waiting[1:]
	}
}

// giveBack returns the token of a request that did not run.
func (q *quotaClient) giveBack(tenant string, token quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantee.Return(tenant, token, q.router.clock())
}
