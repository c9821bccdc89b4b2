// Usage: how many requests of each tenant began to run, in windows of the time of day
// (package usage). Counts go to the controllers of this zone, or to others where it has
// fewer than two, and are kept here until their window is closed: a controller that has
// restarted, or that takes the place of one, gets them again.

package router

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/usage"
)

const (
	// usageReportPeriod is how often counts are sent; the counts of so long are lost with
	// a router.
	usageReportPeriod = 400 * time.Millisecond
	usageReportWait   = 350 * time.Millisecond
	// usageReceivers is how many controllers get the counts.
	usageReceivers = 2
	// usageCheckEvery is after how many periods without a change a receiver is asked
	// whether it still has the counts.
	usageCheckEvery = 5
)

// usageReports is safe for concurrent use.
type usageReports struct {
	router   *Router
	lengthUs int64
	startUs  int64

	mu        sync.Mutex // guards what follows
	counter   *usage.Counter
	receivers map[string]*usageReceiver
}

// usageReceiver is a controller that gets the counts.
type usageReceiver struct {
	epoch   int64 // of its process
	change  int64 // the newest change that it has
	waiting bool  // a report is under way
	idle    int   // periods without a report
}

func newUsageReports(c *Router) *usageReports {
	name := fmt.Sprintf("%s/%x", c.transport.Addr(), rand.Uint64())
	return &usageReports{
		router:    c,
		startUs:   c.clock(),
		lengthUs:  (time.Duration(c.set.Bounds.UsageWindowS) * time.Second).Microseconds(),
		counter:   usage.NewCounter(name),
		receivers: map[string]*usageReceiver{},
	}
}

// countUsage counts a request once, when a runner has begun it.
func (e *exchange) countUsage(r *protocol.Response) {
	if e.counted || e.tenant == nil || r.StatusCode()/100 != 2 || e.c.usage == nil {
		return
	}
	e.counted = true
	e.c.usage.add(e.tenant.Name)
}

func (u *usageReports) add(tenant string) {
	nowUs := u.router.clock()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timeKnown(nowUs) {
		u.counter.Add(u.windowAt(nowUs), tenant)
	} else {
		u.counter.Hold(tenant, nowUs)
	}
}

// timeKnown reports whether the time of day has been compared with a controller's, or
// there was time for it.
func (u *usageReports) timeKnown(nowUs int64) bool {
	_, agreed := u.router.timeOfDay.TimeUs(nowUs)
	return agreed || nowUs-u.startUs > usage.HoldUs
}

func (u *usageReports) windowAt(atUs int64) int64 {
	timeUs, _ := u.router.timeOfDay.TimeUs(atUs)
	return usage.WindowOf(timeUs, u.lengthUs)
}

// place counts the requests that began before the time of day was known.
func (u *usageReports) place() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counter.Holding() && u.timeKnown(u.router.clock()) {
		u.counter.Place(u.windowAt)
	}
}

// closed forgets the windows before the first one that is not closed.
func (u *usageReports) closed(next int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Closed(next)
}

// report sends each receiver what has changed.
func (u *usageReports) report(ctx context.Context) {
	u.router.timeOfDay.Observe(time.Now().UnixMicro(), u.router.clock())
	u.place()
	for _, addr := range u.receiving() {
		if rows, newest, due := u.due(addr); due {
			go u.send(ctx, addr, rows, newest)
		}
	}
}

// receiving returns the controllers that get the counts: those of this zone first, each
// time in the order of this router.
func (u *usageReports) receiving() []string {
	c := u.router
	controllers := slices.Clone(c.monitor.Alive(messages.Controller))
	away := func(p messages.Peer) int {
		if p.Zone == c.set.Zone {
			return 0
		}
		return 1
	}
	weight := func(p messages.Peer) uint64 { return statesync.HashText(p.Addr, c.transport.Addr()) }
	slices.SortFunc(controllers, func(a, b messages.Peer) int {
		return cmp.Or(cmp.Compare(away(a), away(b)), cmp.Compare(weight(a), weight(b)))
	})
	var addrs []string
	for _, p := range controllers[:min(usageReceivers, len(controllers))] {
		addrs = append(addrs, p.Addr)
	}
	u.forgetOthers(addrs)
	return addrs
}

// forgetOthers drops the receivers that get the counts no longer.
func (u *usageReports) forgetOthers(addrs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, r := range u.receivers {
		if !r.waiting && !slices.Contains(addrs, addr) {
			delete(u.receivers, addr)
		}
	}
}

// due returns the report that a receiver is to be sent now.
func (u *usageReports) due(addr string) (rows []messages.UsageRow, newest int64, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.receivers[addr]
	if r == nil {
		r = &usageReceiver{}
		u.receivers[addr] = r
	}
	if r.waiting {
		return nil, 0, false
	}
	rows, newest = u.counter.RowsSince(r.change)
	r.idle++
	if len(rows) == 0 && (newest == 0 || r.idle < usageCheckEvery) {
		return nil, 0, false
	}
	r.waiting, r.idle = true, 0
	return rows, newest, true
}

// send sends a report. A receiver whose process is another than before gets all counts
// with the next one.
func (u *usageReports) send(ctx context.Context, addr string, rows []messages.UsageRow, newest int64) {
	ctx, cancel := context.WithTimeout(ctx, usageReportWait)
	defer cancel()
	var ack messages.UsageAck
	b, err := u.router.transport.Call(ctx, addr, transport.KindUsageRows, &messages.UsageRows{Rows: rows})
	if err == nil {
		_, err = ack.UnmarshalMsg(b)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.receivers[addr]
	r.waiting = false
	switch {
	case err != nil:
	case r.epoch == 0 || r.epoch == ack.Epoch:
		r.epoch, r.change = ack.Epoch, newest
	default:
		r.epoch, r.change = ack.Epoch, 0
	}
}

// flush sends what has changed before the process ends.
func (u *usageReports) flush() {
	u.place()
	var sending sync.WaitGroup
	for _, addr := range u.receiving() {
		if rows, newest, due := u.due(addr); due {
			sending.Go(func() { u.send(context.Background(), addr, rows, newest) })
		}
	}
	sending.Wait()
}
