// Garage keeps the idle links to runners and bounds how many there are to each.
package cab

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// idleMarginUs is how long before the runner's own limit an idle link is no
// longer used.
const idleMarginUs = 600_000

// Garage is safe for concurrent use.
type Garage struct {
	mu    sync.Mutex
	idle  map[string][]*Link
	clock func() int64
}

// NewGarage makes one; clock gives steady microseconds.
func NewGarage(clock func() int64) *Garage {
	return &Garage{idle: map[string][]*Link{}, clock: clock}
}

// Get gives a link to addr, an idle one where there is a good one.
func (g *Garage) Get(ctx context.Context, addr string) (*Link, error) {
	for {
		g.mu.Lock()
		list := g.idle[addr]
		var l *Link
		if n := len(list); n > 0 {
			l = list[n-1]
			g.idle[addr] = list[:n-1]
		}
		g.mu.Unlock()
		if l == nil {
			return Connect(ctx, addr)
		}
		age := g.clock() - l.idleUs
		if (l.keepUs > 0 && age > l.keepUs-idleMarginUs) || !l.clean() {
			l.Close()
			continue
		}
		return l, nil
	}
}

// Put takes a link back after a whole answer, or closes it.
func (g *Garage) Put(addr string, l *Link, h *protocol.ResponseHeader) {
	if !l.keepAlive(h) || l.in.Buffered() > 0 {
		l.Close()
		return
	}
	_ = l.conn.SetDeadline(time.Time{})
	l.idleUs = g.clock()
	g.mu.Lock()
	g.idle[addr] = append(g.idle[addr], l)
	g.mu.Unlock()
}

// Sweep closes links that have been idle too long, and all to addresses that
// keep says no to.
func (g *Garage) Sweep(keep func(addr string) bool) {
	now := g.clock()
	var shut []*Link
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
