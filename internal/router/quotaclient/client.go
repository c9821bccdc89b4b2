// Package quotaclient acquires the quota tokens that requests of rate-limited tenants need before
// they are sent to a runner (package quota). The router calls Acquire before an attempt, and Return
// if the attempt did not run.
//
// Tokens are granted by the controller that owns the tenant's quota shard. At most one token
// request per tenant is in progress; requests that arrive meanwhile are batched into the next one.
// While no owner answers, a few routers, the lenders, let requests run within the allowance that
// the limit reserves for this case (lending.go).
package quotaclient

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/quota"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// answerTimeout is the time without an answer after which the next controller is tried.
	answerTimeout = 45 * time.Millisecond
	// lateAnswerTimeout is the time during which a late answer is still used.
	lateAnswerTimeout = 400 * time.Millisecond
	// maxRequestsPerController limits the requests per round to a controller that others name as
	// the owner: the answer to the first one may be late.
	maxRequestsPerController = 2
	// roundPause is the pause after a round in which no controller was the owner.
	roundPause = 25 * time.Millisecond
	// Once no owner has answered for unownedAfterUs, requests wait for one only for unownedWaitUs
	// before they try to run without a token.
	unownedAfterUs = 60_000
	unownedWaitUs  = 5_000
	// Times after which a client may retry.
	minDeniedRetryUs = 50_000
	maxDeniedRetryUs = 2_000_000
	noOwnerRetryUs   = 250_000
	// SweepInterval is the interval at which the caller calls Sweep.
	SweepInterval = time.Second
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config holds the dependencies and parameters of a Client. All fields are required.
type Config struct {
	// Addr is the address of this router.
	Addr string
	// Bounds limit how far the sum over all routers may exceed a limit.
	Bounds quota.Bounds
	Clock  func() int64 // microseconds, monotonic
	Log    logr.Logger
	Peers  Caller
	// Controllers returns the addresses of the controllers that may own a quota shard.
	Controllers func() []string
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("quotaclient: incomplete configuration")

// Client requests tokens from the owners of the tenants' quotas. It is safe for concurrent use.
type Client struct {
	config  Config
	granted atomic.Int64
	denied  atomic.Int64
	unowned atomic.Int64
	unknown atomic.Int64

	mu      sync.Mutex // guards what follows
	grantee *quota.Grantee
	tenants map[string]*tenantQueue
	owners  map[int]string // last known owner, by shard
}

// tenantQueue holds the requests of a tenant that wait for a token.
type tenantQueue struct {
	limit          quota.Limit
	waiting        []*waiter
	requesting     bool
	noOwnerSinceUs int64 // start of the period without an answer of an owner; 0 if the owner answers
}

// waiter is a request that waits for a token.
type waiter struct{ answer chan Answer }

// New returns a client without tokens.
func New(config Config) (*Client, error) {
	if config.Addr == "" || config.Clock == nil || config.Peers == nil || config.Controllers == nil {
		return nil, ErrConfig
	}
	return &Client{
		config:  config,
		grantee: quota.NewGrantee(config.Addr, config.Bounds, config.Clock()),
		tenants: map[string]*tenantQueue{},
		owners:  map[int]string{},
	}, nil
}

// Sweep removes the state of idle tenants and updates the list of live routers, from which the
// lenders are chosen.
func (c *Client) Sweep(routers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantee.SetRouters(routers, c.config.Clock())
	c.grantee.Sweep(c.config.Clock())
	for tenant, queue := range c.tenants {
		if !queue.requesting && queue.noOwnerSinceUs == 0 {
			delete(c.tenants, tenant)
		}
	}
}

// Acquire returns a token for a request, or the reason why there is none. It waits for at most
// waitUs, or until clientGone is closed. isNew is true for a new request and false for one that has
// been counted as an arrival before.
func (c *Client) Acquire(tenant string, limit quota.Limit, isNew bool, waitUs int64, clientGone <-chan struct{}) Answer {
	untilUs := c.config.Clock() + waitUs
	for {
		answer := c.acquireOnce(tenant, limit, isNew, untilUs, clientGone)
		nowUs := c.config.Clock()
		if answer.Outcome != Denied || nowUs+answer.WaitUs > untilUs {
			return answer
		}
		// A token is expected before the time is up.
		time.Sleep(time.Duration(answer.WaitUs) * time.Microsecond)
		isNew = false
	}
}

func (c *Client) acquireOnce(tenant string, limit quota.Limit, isNew bool, untilUs int64, clientGone <-chan struct{}) Answer {
	nowUs := c.config.Clock()
	c.mu.Lock()
	token, ok := quota.Token{}, false
	if isNew {
		token, ok = c.grantee.CountAndAcquire(tenant, nowUs)
	} else {
		token, ok = c.grantee.Acquire(tenant, nowUs)
	}
	if ok {
		c.mu.Unlock()
		return Answer{Outcome: Granted, Token: token}
	}
	t := c.tenants[tenant]
	if t == nil {
		t = &tenantQueue{}
		c.tenants[tenant] = t
	}
	if limit.Version >= t.limit.Version {
		t.limit = limit
	}
	unowned := t.noOwnerSinceUs > 0 && nowUs-t.noOwnerSinceUs > unownedAfterUs
	w := &waiter{answer: make(chan Answer, 1)}
	t.waiting = append(t.waiting, w)
	if !t.requesting {
		t.requesting = true
		go c.requestTokens(tenant, t)
	}
	c.mu.Unlock()
	if unowned {
		untilUs = min(untilUs, nowUs+unownedWaitUs)
	}
	return c.wait(tenant, t, w, untilUs-nowUs, clientGone)
}

// wait waits for a token from the owner. If none comes in time, the request may run within the
// allowance of a lender.
func (c *Client) wait(tenant string, t *tenantQueue, w *waiter, waitUs int64, clientGone <-chan struct{}) Answer {
	timer := time.NewTimer(time.Duration(waitUs) * time.Microsecond)
	defer timer.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
	case <-clientGone:
	}
	c.mu.Lock()
	t.waiting = slices.DeleteFunc(t.waiting, func(other *waiter) bool { return other == w })
	limit := t.limit
	c.mu.Unlock()
	select {
	case a := <-w.answer: // it arrived before the waiter was removed
		return a
	default:
	}
	if c.borrow(tenant, limit) {
		c.unowned.Add(1)
		nowUs := c.config.Clock()
		return Answer{Outcome: Granted, Token: quota.Token{ExpiresUs: nowUs + c.grantee.Allowance(limit).TokenLifetimeUs}}
	}
	c.unknown.Add(1)
	return Answer{Outcome: Unknown, WaitUs: noOwnerRetryUs}
}

// requestTokens requests tokens until no request of the tenant waits.
func (c *Client) requestTokens(tenant string, t *tenantQueue) {
	for {
		c.mu.Lock()
		need := len(t.waiting)
		if need == 0 {
			t.requesting = false
			c.mu.Unlock()
			return
		}
		limit := t.limit
		want := c.grantee.RequestSize(tenant, limit, need, c.config.Clock())
		c.mu.Unlock()
		request := messages.QuotaAsk{Tenant: tenant, Need: need, Want: want, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
		if !c.requestRound(tenant, t, &request) {
			time.Sleep(roundPause)
		}
	}
}

// requestRound sends the request to one controller after the other until one answers as the owner,
// following their hints. It reports whether one did.
func (c *Client) requestRound(tenant string, t *tenantQueue, request *messages.QuotaAsk) bool {
	shard := quota.ShardOf(tenant)
	addrs := c.candidates(shard)
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
		grant, answered := c.call(addr, tenant, t, request)
		if answered && grant.Owner {
			return true
		}
		next = ""
		if answered && tries[grant.Hint] < maxRequestsPerController {
			next = grant.Hint
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, shard)
	if t.noOwnerSinceUs == 0 {
		t.noOwnerSinceUs = c.config.Clock()
		c.config.Log.Info("no quota owner answers", "tenant", tenant, "shard", shard, "asked", len(tries))
	}
	return false
}

// candidates returns the controllers that may own a shard, the most likely first.
func (c *Client) candidates(shard int) []string {
	out := quota.OwnerOrder(shard, c.config.Controllers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[shard]; owner != "" {
		out = append([]string{owner}, out...)
	}
	return out
}

// call sends the request to one controller. A grant that arrives after answerTimeout is still
// distributed.
func (c *Client) call(addr, tenant string, t *tenantQueue, request *messages.QuotaAsk) (messages.QuotaGrant, bool) {
	answers := make(chan messages.QuotaGrant, 1)
	go func() {
		defer close(answers)
		ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTimeout)
		defer cancel()
		sentUs := c.config.Clock()
		b, err := c.config.Peers.Call(ctx, addr, transport.KindQuotaAsk, request)
		var grant messages.QuotaGrant
		if err == nil {
			_, err = grant.UnmarshalMsg(b)
		}
		if err != nil {
			return
		}
		if grant.Owner {
			c.distributeGrant(addr, tenant, t, request.Need, grant, sentUs)
		}
		answers <- grant
	}()
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case grant, ok := <-answers:
		return grant, ok
	case <-timer.C:
		return messages.QuotaGrant{}, false
	}
}

// distributeGrant distributes the tokens of a grant to the waiting requests.
func (c *Client) distributeGrant(addr, tenant string, t *tenantQueue, need int, grant messages.QuotaGrant, sentUs int64) {
	nowUs := c.config.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[quota.ShardOf(tenant)] = addr
	if t.noOwnerSinceUs > 0 {
		c.config.Log.Info("quota owner answers again", "tenant", tenant, "owner", addr, "afterMs", (nowUs-t.noOwnerSinceUs)/1000)
		t.noOwnerSinceUs = 0
	}
	c.granted.Add(int64(grant.Granted))
	c.grantee.AddGranted(tenant, t.limit, grant.Granted, sentUs, nowUs)
	served := 0
	for len(t.waiting) > 0 {
		token, ok := c.grantee.Acquire(tenant, nowUs)
		if !ok {
			break
		}
		t.waiting[0].answer <- Answer{Outcome: Granted, Token: token}
		t.waiting = t.waiting[1:]
		served++
	}
	// Requests that were included in this token request and got no token are over the limit;
	// the others arrived later and stay in the queue.
	if grant.Granted >= need {
		return
	}
	for range min(need-served, len(t.waiting)) {
		c.denied.Add(1)
		t.waiting[0].answer <- Answer{Outcome: Denied, WaitUs: min(max(grant.WaitUs, minDeniedRetryUs), maxDeniedRetryUs)}
		t.waiting = t.waiting[1:]
	}
}

// Return gives back the token of a request that did not run.
func (c *Client) Return(tenant string, token quota.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantee.Return(tenant, token, c.config.Clock())
}
