// Package usagereport sends the controllers the number of requests of each tenant that a runner has
// begun, in windows of the fleet's time of day (package usage). The router calls Add for each such
// request.
//
// Counts go to two controllers, those of the router's zone first. They are retained until the
// controllers have closed their window, so that a controller that has restarted, or that replaces
// another as receiver, gets all of them again. The counts of about one period are lost if the
// router dies.
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
	// reportInterval is the interval between reports; a router that dies loses the counts of up to one period.
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 350 * time.Millisecond
	// receiverCount is the number of controllers that receive the counts.
	receiverCount = 2
	// checkAfterIdle is the number of periods without a change after which an empty report checks
	// whether the receiver has restarted and lost the counts.
	checkAfterIdle = 5
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config holds the dependencies and parameters of a Sender. All fields are required.
type Config struct {
	// Addr and Zone are those of this router.
	Addr, Zone string
	// WindowUs is the length of a window, in microseconds.
	WindowUs int64
	Clock    func() int64 // microseconds, monotonic
	Peers    Caller
	// Controllers returns the controllers that are alive.
	Controllers func() []messages.Peer
	// TimeOfDay converts a reading of Clock into the fleet's time of day, in microseconds, and
	// reports whether that has been compared with a controller's clock.
	TimeOfDay func(atUs int64) (timeUs int64, agreed bool)
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("usagereport: incomplete configuration")

// Sender counts requests and sends the counts to controllers. It is safe for concurrent use.
type Sender struct {
	config  Config
	startUs int64

	mu        sync.Mutex // guards what follows
	counter   *usage.Counter
	receivers map[string]*receiver
}

// receiver is the state of a controller that receives the counts.
type receiver struct {
	epoch              int64 // identifies its process
	acknowledgedChange int64 // newest change that it has acknowledged
	inFlight           bool  // a report is in flight
	idlePeriods        int   // periods since the last report
}

// New returns a Sender without counts.
func New(config Config) (*Sender, error) {
	if config.Addr == "" || config.WindowUs <= 0 || config.Clock == nil || config.Peers == nil || config.Controllers == nil || config.TimeOfDay == nil {
		return nil, ErrConfig
	}
	return &Sender{
		config:    config,
		startUs:   config.Clock(),
		counter:   usage.NewCounter(fmt.Sprintf("%s/%x", config.Addr, rand.Uint64())),
		receivers: map[string]*receiver{},
	}, nil
}

// Run sends the counts until ctx ends.
func (r *Sender) Run(ctx context.Context) {
	loop.Every(ctx, reportInterval, func() { r.report(ctx) })
}

// Add counts a request of a tenant that a runner has begun.
func (r *Sender) Add(tenant string) {
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
// usage.ClockWaitUs has passed without a comparison, after which the local time is used.
func (r *Sender) timeKnown(nowUs int64) bool {
	_, agreed := r.config.TimeOfDay(nowUs)
	return agreed || nowUs-r.startUs > usage.ClockWaitUs
}

func (r *Sender) windowAt(atUs int64) int64 {
	timeUs, _ := r.config.TimeOfDay(atUs)
	return usage.WindowOf(timeUs, r.config.WindowUs)
}

// assignWindows assigns the requests that began before the time of day was known to their windows.
func (r *Sender) assignWindows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counter.HasDeferred() && r.timeKnown(r.config.Clock()) {
		r.counter.CountDeferred(r.windowAt)
	}
}

// DiscardClosed discards the counts of closed windows, that is, of those before firstOpen.
func (r *Sender) DiscardClosed(firstOpen int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.DropClosed(firstOpen)
}

// report sends each receiver the counts that have changed since its last acknowledgement.
func (r *Sender) report(ctx context.Context) {
	r.assignWindows()
	for _, addr := range r.selectReceivers() {
		if rows, newest, due := r.due(addr); due {
			go r.send(ctx, addr, rows, newest)
		}
	}
}

// selectReceivers selects the controllers that receive the counts: those of this zone first, in an
// order hashed from both addresses, so that it is stable and differs between routers.
func (r *Sender) selectReceivers() []string {
	controllers := slices.Clone(r.config.Controllers())
	zoneRank := func(p messages.Peer) int {
		if p.Zone == r.config.Zone {
			return 0
		}
		return 1
	}
	weight := func(p messages.Peer) uint64 { return statesync.HashText(p.Addr, r.config.Addr) }
	slices.SortFunc(controllers, func(a, b messages.Peer) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(weight(a), weight(b)))
	})
	var addrs []string
	for _, p := range controllers[:min(receiverCount, len(controllers))] {
		addrs = append(addrs, p.Addr)
	}
	r.removeUnselected(addrs)
	return addrs
}

// removeUnselected removes the receivers that are no longer selected, unless a report to them is in
// flight.
func (r *Sender) removeUnselected(selected []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, state := range r.receivers {
		if !state.inFlight && !slices.Contains(selected, addr) {
			delete(r.receivers, addr)
		}
	}
}

// due returns the rows to send to a receiver now; due is false if there is nothing to send.
func (r *Sender) due(addr string) (rows []messages.UsageRow, newest int64, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.receivers[addr]
	if state == nil {
		state = &receiver{}
		r.receivers[addr] = state
	}
	if state.inFlight {
		return nil, 0, false
	}
	rows, newest = r.counter.RowsSince(state.acknowledgedChange)
	state.idlePeriods++
	if len(rows) == 0 && (newest == 0 || state.idlePeriods < checkAfterIdle) {
		return nil, 0, false
	}
	state.inFlight, state.idlePeriods = true, 0
	return rows, newest, true
}

// send sends a report. If the acknowledgement carries a new epoch, the receiver has restarted and
// gets all counts with the next report.
func (r *Sender) send(ctx context.Context, addr string, rows []messages.UsageRow, newest int64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var ack messages.UsageAck
	b, err := r.config.Peers.Call(ctx, addr, transport.KindUsageRows, &messages.UsageRows{Rows: rows})
	if err == nil {
		_, err = ack.UnmarshalMsg(b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.receivers[addr]
	state.inFlight = false
	switch {
	case err != nil:
	case state.epoch == 0 || state.epoch == ack.Epoch:
		state.epoch, state.acknowledgedChange = ack.Epoch, newest
	default:
		state.epoch, state.acknowledgedChange = ack.Epoch, 0
	}
}

// Flush sends the changed counts before the process ends, and waits for the acknowledgements.
func (r *Sender) Flush() {
	r.assignWindows()
	var sending sync.WaitGroup
	for _, addr := range r.selectReceivers() {
		if rows, newest, due := r.due(addr); due {
			sending.Go(func() { r.send(context.Background(), addr, rows, newest) })
		}
	}
	sending.Wait()
}
