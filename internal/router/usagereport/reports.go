// Package usagereport sends the controllers how many requests of each tenant began to run, in
// windows of the time of day (package usage). Counts go to the controllers of this zone, or to
// others where it has fewer than two, and are kept here until their window is closed: a
// controller that has restarted, or that takes the place of one, gets them again.
package usagereport

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/usage"
)

const (
	// period is how often counts are sent; the counts of so long are lost with a router.
	period        = 400 * time.Millisecond
	reportTimeout = 350 * time.Millisecond
	// receiverCount is how many controllers get the counts.
	receiverCount = 2
	// checkAfterIdle is after how many periods without a change a receiver is asked
	// whether it still has the counts.
	checkAfterIdle = 5
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config is what Reports are given. All fields are required.
type Config struct {
	// Addr and Zone are those of this router.
	Addr, Zone string
	// WindowUs is the length of a window, in microseconds.
	WindowUs int64
	Clock    func() int64 // microseconds, monotonic
	Peers    Caller
	// Controllers returns the controllers that are alive.
	Controllers func() []messages.Peer
	// TimeOfDay returns the fleet's time of day at a moment of the clock, in microseconds,
	// and whether it has been compared with a controller's.
	TimeOfDay func(atUs int64) (timeUs int64, agreed bool)
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("usagereport: incomplete configuration")

// Reports is safe for concurrent use.
type Reports struct {
	config  Config
	startUs int64

	mu        sync.Mutex // guards what follows
	counter   *usage.Counter
	receivers map[string]*receiver
}

// receiver is a controller that gets the counts.
type receiver struct {
	epoch   int64 // of its process
	change  int64 // the newest change that it has
	waiting bool  // a report is under way
	idle    int   // periods without a report
}

// New returns reports without counts.
func New(config Config) (*Reports, error) {
	if config.Addr == "" || config.WindowUs <= 0 || config.Clock == nil || config.Peers == nil || config.Controllers == nil || config.TimeOfDay == nil {
		return nil, ErrConfig
	}
	return &Reports{
		config:    config,
		startUs:   config.Clock(),
		counter:   usage.NewCounter(fmt.Sprintf("%s/%x", config.Addr, rand.Uint64())),
		receivers: map[string]*receiver{},
	}, nil
}

// Run sends the counts until ctx ends.
func (r *Reports) Run(ctx context.Context) {
	loop.Every(ctx, period, func() { r.report(ctx) })
}

// Add counts a request of a tenant that a runner has begun.
func (r *Reports) Add(tenant string) {
	nowUs := r.config.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timeKnown(nowUs) {
		r.counter.Add(r.windowAt(nowUs), tenant)
	} else {
		r.counter.Defer(tenant, nowUs)
	}
}

// timeKnown reports whether the time of day has been compared with a controller's, or
// there was time for it.
func (r *Reports) timeKnown(nowUs int64) bool {
	_, agreed := r.config.TimeOfDay(nowUs)
	return agreed || nowUs-r.startUs > usage.ClockWaitUs
}

func (r *Reports) windowAt(atUs int64) int64 {
	timeUs, _ := r.config.TimeOfDay(atUs)
	return usage.WindowOf(timeUs, r.config.WindowUs)
}

// place counts the requests that began before the time of day was known.
func (r *Reports) place() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counter.HasDeferred() && r.timeKnown(r.config.Clock()) {
		r.counter.CountDeferred(r.windowAt)
	}
}

// Closed forgets the windows before the first one that is not closed.
func (r *Reports) Closed(next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.DropClosed(next)
}

// report sends each receiver what has changed.
func (r *Reports) report(ctx context.Context) {
	r.place()
	for _, addr := range r.receiving() {
		if rows, newest, due := r.due(addr); due {
			go r.send(ctx, addr, rows, newest)
		}
	}
}

// receiving returns the controllers that get the counts: those of this zone first, each
// time in the order of this router.
func (r *Reports) receiving() []string {
	controllers := slices.Clone(r.config.Controllers())
	away := func(p messages.Peer) int {
		if p.Zone == r.config.Zone {
			return 0
		}
		return 1
	}
	weight := func(p messages.Peer) uint64 { return statesync.HashText(p.Addr, r.config.Addr) }
	slices.SortFunc(controllers, func(a, b messages.Peer) int {
		return cmp.Or(cmp.Compare(away(a), away(b)), cmp.Compare(weight(a), weight(b)))
	})
	var addrs []string
	for _, p := range controllers[:min(receiverCount, len(controllers))] {
		addrs = append(addrs, p.Addr)
	}
	r.forgetOthers(addrs)
	return addrs
}

// forgetOthers drops the receivers that get the counts no longer.
func (r *Reports) forgetOthers(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, to := range r.receivers {
		if !to.waiting && !slices.Contains(addrs, addr) {
			delete(r.receivers, addr)
		}
	}
}

// due returns the report that a receiver is to be sent now.
func (r *Reports) due(addr string) (rows []messages.UsageRow, newest int64, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := r.receivers[addr]
	if to == nil {
		to = &receiver{}
		r.receivers[addr] = to
	}
	if to.waiting {
		return nil, 0, false
	}
	rows, newest = r.counter.RowsSince(to.change)
	to.idle++
	if len(rows) == 0 && (newest == 0 || to.idle < checkAfterIdle) {
		return nil, 0, false
	}
	to.waiting, to.idle = true, 0
	return rows, newest, true
}

// send sends a report. A receiver whose process is another than before gets all counts
// with the next one.
func (r *Reports) send(ctx context.Context, addr string, rows []messages.UsageRow, newest int64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var ack messages.UsageAck
	b, err := r.config.Peers.Call(ctx, addr, transport.KindUsageRows, &messages.UsageRows{Rows: rows})
	if err == nil {
		_, err = ack.UnmarshalMsg(b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	to := r.receivers[addr]
	to.waiting = false
	switch {
	case err != nil:
	case to.epoch == 0 || to.epoch == ack.Epoch:
		to.epoch, to.change = ack.Epoch, newest
	default:
		to.epoch, to.change = ack.Epoch, 0
	}
}

// Flush sends what has changed before the process ends.
func (r *Reports) Flush() {
	r.place()
	var sending sync.WaitGroup
	for _, addr := range r.receiving() {
		if rows, newest, due := r.due(addr); due {
			sending.Go(func() { r.send(context.Background(), addr, rows, newest) })
		}
	}
	sending.Wait()
}
