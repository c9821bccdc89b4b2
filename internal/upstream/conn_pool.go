package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/memorybudget"
)

// keepAliveMarginUs is how long before the keep-alive timeout announced by the runner an
// idle connection is no longer used.
const keepAliveMarginUs = 600_000

// ConnPool holds idle connections to runners. It is safe for concurrent use.
type ConnPool struct {
	clock  func() int64 // monotonic, in microseconds
	budget *memorybudget.Budget

	mu     sync.Mutex         // guards the fields below
	idle   map[string][]*Conn // by address; the most recently used is last
	limits idleLimits
}

// NewConnPool creates an empty pool. clock returns monotonic microseconds. The bodies of responses to
// control calls count in budget, which may be nil.
func NewConnPool(clock func() int64, budget *memorybudget.Budget) *ConnPool {
	return &ConnPool{clock: clock, budget: budget, idle: map[string][]*Conn{}, limits: idleLimits{}}
}

// Budget returns the budget that the bodies of responses count in.
func (p *ConnPool) Budget() *memorybudget.Budget { return p.budget }

// RecordDead records that the runner had dropped a connection taken from the pool, which lowers
// the idle limit of its service. A new connection is ignored.
func (p *ConnPool) RecordDead(c *Conn) {
	if c.IdleUs == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.recordDead(c.service, c.IdleUs)
}

// RecordAlive records that a response arrived on a connection taken from the pool, which may
// raise the idle limit of its service.
func (p *ConnPool) RecordAlive(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.recordAlive(c.service, c.IdleUs)
}

// GetFor returns a connection for a request to a runner of a service. A pooled connection
// is used only if its idle time is within the learned limit of that service; the limit is
// higher for repeatable requests.
func (p *ConnPool) GetFor(ctx context.Context, addr, service string, repeatable bool) (*Conn, error) {
	p.mu.Lock()
	maxIdleUs := p.limits.limitFor(service, repeatable)
	p.mu.Unlock()
	c, err := p.getWithin(ctx, addr, maxIdleUs)
	if c != nil {
		c.service = service
	}
	return c, err
}

// Get returns a connection to addr: a reusable idle one if there is one, else a new one.
func (p *ConnPool) Get(ctx context.Context, addr string) (*Conn, error) {
	return p.getWithin(ctx, addr, idleLimitMaxUs)
}

// getWithin returns an idle connection with an idle time of at most maxIdleUs, or a new one.
func (p *ConnPool) getWithin(ctx context.Context, addr string, maxIdleUs int64) (*Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return Connect(ctx, addr)
		}
		idleUs := p.clock() - c.idleSinceUs
		if c.expired(idleUs) || idleUs > maxIdleUs || !c.reusable() {
			c.Close()
			continue
		}
		c.IdleUs = max(idleUs, 1)
		return c, nil
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if there is
// none.
func (p *ConnPool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	p.idle[addr] = list[:last]
	return list[last]
}

// Put returns a connection to the pool after a complete response, or closes it if it
// cannot be reused. A runner may respond before it has read the whole body of a request;
// while the rest of that body is being written, no other request may be sent.
func (p *ConnPool) Put(addr string, c *Conn, h *protocol.ResponseHeader) {
	if c.tainted || c.sending.Load() || !c.keepAlive(h) || c.in.Len() > 0 {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.OnInterrupt = nil
	c.interrupted.Store(false) // Interrupt may have been called just as the response ended
	if c.userTimeoutRaised {
		c.setUserTimeout(0)
	}
	c.idleSinceUs = p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// CloseIdle closes the idle connections to an address, for example after another runner has
// taken over the address.
func (p *ConnPool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

// Sweep closes connections that have been idle for too long, and all connections to
// addresses for which keep returns false.
func (p *ConnPool) Sweep(keep func(addr string) bool) {
	closeAll(p.removeExpired(keep))
}

func (p *ConnPool) removeExpired(keep func(addr string) bool) (expired []*Conn) {
	nowUs := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			idleUs := nowUs - c.idleSinceUs
			if !keep(addr) || c.expired(idleUs) || idleUs > idleLimitMaxUs {
				expired = append(expired, c)
			} else {
				remaining = append(remaining, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = remaining
		}
	}
	return expired
}

func closeAll(list []*Conn) {
	for _, c := range list {
		c.Close()
	}
}
