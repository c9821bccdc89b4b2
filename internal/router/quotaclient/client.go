// Package quotaclient gets the tokens with which requests of limited tenants run (package quota).
// Tokens come from the controller that owns the tenant's count; requests of a tenant that arrive
// while a question is under way share the next one. Where no owner answers, a few routers, the
// lenders, share what a limit leaves for this (lending.go).
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
	// answerTimeout is after how long without an answer another controller is asked.
	answerTimeout = 45 * time.Millisecond
	// lateAnswerTimeout is how long an answer is still taken.
	lateAnswerTimeout = 400 * time.Millisecond
	// maxAsksOfOne is how often a controller is asked in a round that others name as the owner:
	// its first answer may be late.
	maxAsksOfOne = 2
	// roundPause is the pause after no controller was the owner.
	roundPause = 25 * time.Millisecond
	// silentUs is after how long without an owner requests wait for one for silentWaitUs
	// only, before they run without a token, if they may.
	silentUs     = 60_000
	silentWaitUs = 5_000
	// Times after which a client may come back.
	minDeniedRetryUs = 50_000
	maxDeniedRetryUs = 2_000_000
	noOwnerRetryUs   = 250_000
	// SweepInterval is how often Sweep is to be called.
	SweepInterval = time.Second
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config is what a Client is given. All fields are required.
type Config struct {
	// Addr is the address of this router.
	Addr string
	// Bounds is how far the sum over all routers may exceed a limit.
	Bounds quota.Bounds
	Clock  func() int64 // microseconds, monotonic
	Log    logr.Logger
	Peers  Caller
	// Controllers returns the addresses of the controllers that may own a count.
	Controllers func() []string
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("quotaclient: incomplete configuration")

// Client asks the owners of tenants' counts. It is safe for concurrent use.
type Client struct {
	config  Config
	granted atomic.Int64
	denied  atomic.Int64
	unowned atomic.Int64
	unknown atomic.Int64

	mu      sync.Mutex // guards what follows
	grantee *quota.Grantee
	tenants map[string]*tenantQueue
	owners  map[int]string // by shard: who was the owner last
}

// tenantQueue is the requests of a tenant that wait for a token.
type tenantQueue struct {
	limit    quota.Limit
	waiting  []*waiter
	asking   bool
	silentUs int64 // since when no owner has answered; 0: one has
}

// waiter is a request that waits.
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

// Sweep forgets tenants that send nothing, and takes note of the routers that are alive.
func (c *Client) Sweep(routers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantee.SetRouters(routers, c.config.Clock())
	c.grantee.Sweep(c.config.Clock())
	for tenant, queue := range c.tenants {
		if !queue.asking && queue.silentUs == 0 {
			delete(c.tenants, tenant)
		}
	}
}

// Acquire returns a token for a request, or why there is none. It waits for waitUs at most.
// arrives tells that the request is new.
func (c *Client) Acquire(tenant string, limit quota.Limit, arrives bool, waitUs int64, left <-chan struct{}) Answer {
	untilUs := c.config.Clock() + waitUs
	for {
		answer := c.acquireOnce(tenant, limit, arrives, untilUs, left)
		nowUs := c.config.Clock()
		if answer.Outcome != Denied || nowUs+answer.WaitUs > untilUs {
			return answer
		}
		// A token will be there in time.
		time.Sleep(time.Duration(answer.WaitUs) * time.Microsecond)
		arrives = false
	}
}

func (c *Client) acquireOnce(tenant string, limit quota.Limit, arrives bool, untilUs int64, left <-chan struct{}) Answer {
	nowUs := c.config.Clock()
	c.mu.Lock()
	token, ok := quota.Token{}, false
	if arrives {
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
	silent := t.silentUs > 0 && nowUs-t.silentUs > silentUs
	w := &waiter{answer: make(chan Answer, 1)}
	t.waiting = append(t.waiting, w)
	if !t.asking {
		t.asking = true
		go c.ask(tenant, t)
	}
	c.mu.Unlock()
	if silent {
		untilUs = min(untilUs, nowUs+silentWaitUs)
	}
	return c.wait(tenant, t, w, untilUs-nowUs, left)
}

// wait waits for the answer to a question. Without one, the request may run on a token of a
// lender.
func (c *Client) wait(tenant string, t *tenantQueue, w *waiter, waitUs int64, left <-chan struct{}) Answer {
	timer := time.NewTimer(time.Duration(waitUs) * time.Microsecond)
	defer timer.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
	case <-left:
	}
	c.mu.Lock()
	t.waiting = slices.DeleteFunc(t.waiting, func(other *waiter) bool { return other == w })
	limit := t.limit
	c.mu.Unlock()
	select {
	case a := <-w.answer: // it came in between
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

// ask asks for tokens until no request of the tenant waits.
func (c *Client) ask(tenant string, t *tenantQueue) {
	for {
		c.mu.Lock()
		need := len(t.waiting)
		if need == 0 {
			t.asking = false
			c.mu.Unlock()
			return
		}
		limit := t.limit
		want := c.grantee.RequestSize(tenant, limit, need, c.config.Clock())
		c.mu.Unlock()
		ask := messages.QuotaAsk{Tenant: tenant, Need: need, Want: want, RatePerS: limit.RatePerS, Burst: limit.Burst, Version: limit.Version}
		if !c.askRound(tenant, t, &ask) {
			time.Sleep(roundPause)
		}
	}
}

// askRound asks one controller after the other, until one is the owner.
func (c *Client) askRound(tenant string, t *tenantQueue, ask *messages.QuotaAsk) bool {
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
		grant, answered := c.call(addr, tenant, t, ask)
		if answered && grant.Owner {
			return true
		}
		next = ""
		if answered && tries[grant.Hint] < maxAsksOfOne {
			next = grant.Hint
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, shard)
	if t.silentUs == 0 {
		t.silentUs = c.config.Clock()
		c.config.Log.Info("no owner of the count answers", "tenant", tenant, "shard", shard, "asked", len(tries))
	}
	return false
}

// candidates is the controllers that may own a shard, the most likely first.
func (c *Client) candidates(shard int) []string {
	out := quota.OwnerOrder(shard, c.config.Controllers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[shard]; owner != "" {
		out = append([]string{owner}, out...)
	}
	return out
}

// call asks one controller. An answer that comes late is used all the same.
func (c *Client) call(addr, tenant string, t *tenantQueue, ask *messages.QuotaAsk) (messages.QuotaGrant, bool) {
	answers := make(chan messages.QuotaGrant, 1)
	go func() {
		defer close(answers)
		ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTimeout)
		defer cancel()
		askedUs := c.config.Clock()
		b, err := c.config.Peers.Call(ctx, addr, transport.KindQuotaAsk, ask)
		var grant messages.QuotaGrant
		if err == nil {
			_, err = grant.UnmarshalMsg(b)
		}
		if err != nil {
			return
		}
		if grant.Owner {
			c.settle(addr, tenant, t, ask.Need, grant, askedUs)
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

// settle hands out what an owner has granted.
func (c *Client) settle(addr, tenant string, t *tenantQueue, need int, grant messages.QuotaGrant, askedUs int64) {
	nowUs := c.config.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[quota.ShardOf(tenant)] = addr
	if t.silentUs > 0 {
		c.config.Log.Info("the owner of the count answers again", "tenant", tenant, "owner", addr, "afterMs", (nowUs-t.silentUs)/1000)
		t.silentUs = 0
	}
	c.granted.Add(int64(grant.Granted))
	c.grantee.AddGranted(tenant, t.limit, grant.Granted, askedUs, nowUs)
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
	// Those that the question was for and that got nothing are over the limit; the others
	// came later.
	if grant.Granted >= need {
		return
	}
	for range min(need-served, len(t.waiting)) {
		c.denied.Add(1)
		t.waiting[0].answer <- Answer{Outcome: Denied, WaitUs: min(max(grant.WaitUs, minDeniedRetryUs), maxDeniedRetryUs)}
		t.waiting = t.waiting[1:]
	}
}

// Return returns the token of a request that did not run.
func (c *Client) Return(tenant string, token quota.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantee.Return(tenant, token, c.config.Clock())
}
