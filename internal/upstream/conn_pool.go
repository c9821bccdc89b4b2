// ConnPool keeps idle connections to runners and bounds how many there are to each.

package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// idleMarginUs is how long before the runner's own limit an idle conn is no
// longer used.
const idleMarginUs = 600_000

// ConnPool is safe for concurrent use.
type ConnPool struct {
	mu    sync.Mutex
	idle  map[string][]*Conn
	clock func() int64
	safe  map[string]float64 // by service, microseconds
}

// A runner may drop an idle conn without a word, and earlier than it says; what
// is sent over it then is lost. How long a conn may have rested is learned by
// service: shorter when one that rested was dead, longer by little steps.
const (
	safeStartUs = 1_500_000
	safeLeastUs = 50_000
	safeMostUs  = 30_000_000
	safeCut     = 0.6
	safeGrow    = 0.02
	tryBeyond   = 2 // a request that may be repeated may use a conn that has rested longer
)

func (g *ConnPool) safeUs(service string) float64 {
	if us, ok := g.safe[service]; ok {
		return us
	}
	return safeStartUs
}

// Dead notes that a conn was of no use, and Alive that it was.
func (g *ConnPool) Dead(l *Conn) {
	if l.RestedUs > 0 {
		g.mu.Lock()
		g.safe[l.service] = max(min(g.safeUs(l.service), safeCut*float64(l.RestedUs)), safeLeastUs)
		g.mu.Unlock()
	}
}

// Alive notes that a conn that had rested was good.
func (g *ConnPool) Alive(l *Conn) {
	g.mu.Lock()
	if us := g.safeUs(l.service); float64(l.RestedUs) > us {
		g.safe[l.service] = min(us+safeGrow*(float64(l.RestedUs)-us), safeMostUs)
	}
	g.mu.Unlock()
}

// GetFor gives a conn for a request to a runner of a service, which may have
// rested only as long as is safe for it.
func (g *ConnPool) GetFor(ctx context.Context, addr, service string, repeatable bool) (*Conn, error) {
	g.mu.Lock()
	mostUs := g.safeUs(service)
	g.mu.Unlock()
	if repeatable {
		mostUs *= tryBeyond
	}
	l, err := g.get(ctx, addr, int64(mostUs))
	if l != nil {
		l.service = service
	}
	return l, err
}

// NewConnPool makes one; clock gives steady microseconds.
func NewConnPool(clock func() int64) *ConnPool {
	return &ConnPool{idle: map[string][]*Conn{}, clock: clock, safe: map[string]float64{}}
}

// Get gives a conn to addr, an idle one where there is a good one.
func (g *ConnPool) Get(ctx context.Context, addr string) (*Conn, error) {
	return g.get(ctx, addr, safeMostUs)
}

func (g *ConnPool) get(ctx context.Context, addr string, mostUs int64) (*Conn, error) {
	for {
		g.mu.Lock()
		list := g.idle[addr]
		var l *Conn
		if n := len(list); n > 0 {
			l = list[n-1]
			g.idle[addr] = list[:n-1]
		}
		g.mu.Unlock()
		if l == nil {
			return Connect(ctx, addr)
		}
		age := g.clock() - l.idleUs
		if (l.keepUs > 0 && age > l.keepUs-idleMarginUs) || age > mostUs || !l.clean() {
			l.Close()
			continue
		}
		l.RestedUs = max(age, 1)
		return l, nil
	}
}

// Put takes a conn back after a whole answer, or closes it. A runner may answer before
// it has read the whole body: nothing else may come in the place of the rest.
func (g *ConnPool) Put(addr string, l *Conn, h *protocol.ResponseHeader) {
	if l.spoiled || l.sending.Load() || !l.keepAlive(h) || l.in.Len() > 0 {
		l.Close()
		return
	}
	_ = l.conn.SetDeadline(time.Time{})
	if l.patient {
		l.setUserTimeout(0)
	}
	l.idleUs = g.clock()
	g.mu.Lock()
	g.idle[addr] = append(g.idle[addr], l)
	g.mu.Unlock()
}

// Drop closes the idle conns to an address, as when another has taken it over.
func (g *ConnPool) Drop(addr string) {
	g.mu.Lock()
	list := g.idle[addr]
	delete(g.idle, addr)
	g.mu.Unlock()
	for _, l := range list {
		l.Close()
	}
}

// Sweep closes conns that have been idle too long, and all to addresses that
// keep says no to.
func (g *ConnPool) Sweep(keep func(addr string) bool) {
	now := g.clock()
	var shut []*Conn
	g.mu.Lock()
	for addr, list := range g.idle {
		left := list[:0]
		for _, l := range list {
			age := now - l.idleUs
			if !keep(addr) || l.keepUs > 0 && age > l.keepUs-idleMarginUs || age > 30_000_000 {
				shut = append(shut, l)
			} else {
				left = append(left, l)
			}
		}
		if len(left) == 0 {
			delete(g.idle, addr)
		} else {
			g.idle[addr] = left
		}
	}
	g.mu.Unlock()
	for _, l := range shut {
		l.Close()
	}
}
