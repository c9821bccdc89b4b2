package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// keepAliveMarginUs is how long before the runner's announced limit an idle connection
// is no longer used.
const keepAliveMarginUs = 600_000

// ConnPool keeps idle connections to runners. It is safe for concurrent use.
type ConnPool struct {
	clock func() int64 // monotonic, in microseconds

	mu     sync.Mutex         // guards all below
	idle   map[string][]*Conn // by address, the one idle for the shortest time last
	limits idleLimits
}

// NewConnPool makes an empty pool. clock returns monotonic microseconds.
func NewConnPool(clock func() int64) *ConnPool {
	return &ConnPool{clock: clock, idle: map[string][]*Conn{}, limits: idleLimits{}}
}

// Dead records that a connection from the pool had been dropped by the runner.
func (p *ConnPool) Dead(c *Conn) {
	if c.RestedUs == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.recordDead(c.service, c.RestedUs)
}

// Alive records that a response came on a connection from the pool.
func (p *ConnPool) Alive(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.recordAlive(c.service, c.RestedUs)
}

// GetFor returns a connection for a request to a runner of a service. It has been idle
// only for as long as is safe for that service.
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

// Get returns a connection to addr, an idle one if there is a good one.
func (p *ConnPool) Get(ctx context.Context, addr string) (*Conn, error) {
	return p.getWithin(ctx, addr, idleLimitMaxUs)
}

// getWithin returns a connection that has been idle for no longer than maxIdleUs.
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
		c.RestedUs = max(idleUs, 1)
		return c, nil
	}
}

// popIdle takes the connection out of the pool that has been idle for the shortest
// time; nil where there is none.
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

// Put returns a connection to the pool after a complete response, or closes it. A
// runner may respond before it has read the whole body of a request: as long as the
// rest is being written, no other request may follow it.
func (p *ConnPool) Put(addr string, c *Conn, h *protocol.ResponseHeader) {
	if c.tainted || c.sending.Load() || !c.keepAlive(h) || c.in.Len() > 0 {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.OnInterrupt = nil
	c.interrupted.Store(false) // an interrupt may have come just as the response ended
	if c.userTimeoutRaised {
		c.setUserTimeout(0)
	}
	c.idleSinceUs = p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// Drop closes the idle connections to an address, as when another runner has taken it
// over.
func (p *ConnPool) Drop(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

// Sweep closes connections that have been idle for too long, and all to addresses that
// keep returns false for.
func (p *ConnPool) Sweep(keep func(addr string) bool) {
	closeAll(p.takeExpired(keep))
}

func (p *ConnPool) takeExpired(keep func(addr string) bool) (expired []*Conn) {
	nowUs := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			idleUs := nowUs - c.idleSinceUs
			if !keep(addr) || c.expired(idleUs) || idleUs > idleLimitMaxUs {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	return expired
}

func closeAll(list []*Conn) {
	for _, c := range list {
		c.Close()
	}
}
