// Package usagereport reports the usage of tenants in each time window to the platform. Every
// controller collects the rows of request counts that routers send. The holder of the lease closes
// the windows and reports them, as package usage decides: it commits the counts of a window to the
// register, and then sends the committed counts.
package usagereport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/platform"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/usage"
)

// DutyName is the name of the duty in the settings.
const DutyName = "metering"

// RegisterIndex is the number of the register with the lease and the usage ledger.
var RegisterIndex = consensus.RegisterOf("platform/usage")

// Intervals, timeouts and limits of collecting.
const (
	savePeriod   = time.Second
	queryTimeout = 700 * time.Millisecond
	// rowsFile is the name of the file with the saved rows.
	rowsFile = "usage"
	// allWindows is greater than the number of any window.
	allWindows = int64(1) << 62
	// maxEpoch limits the number that identifies this process to routers, so that every
	// decoder's number type represents it exactly.
	maxEpoch = int64(1) << 53
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Leases changes a register under its lease (singleton.Leases).
type Leases interface {
	Change(ctx context.Context, register int, expected messages.Lease, edit func(body *messages.LeaseBody) bool) (messages.LeaseBody, error)
}

// Platform calls the platform's API (platform.Client).
type Platform interface {
	Call(ctx context.Context, register int, grant lease.Grant, path string, content any) platform.Outcome
}

// Config configures a Reporter. All fields are required, except the file store.
type Config struct {
	// WindowUs is the length of a window, in microseconds.
	WindowUs  int64
	Clock     func() int64 // microseconds, monotonic
	Log       logr.Logger
	Registers singleton.Registers
	Leases    Leases
	Platform  Platform
	Transport Caller
	// Peers returns the addresses of the other controllers that are alive.
	Peers func() []string
	// TimeUs returns the fleet's time of day in microseconds, 0 if it is not known.
	TimeUs func() int64
	// The file store has a copy of the rows; nil on a machine without a disk.
	Files singleton.FileStore
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("usagereport: incomplete configuration")

func (c *Config) check() error {
	complete := c.WindowUs > 0 && c.Clock != nil && c.Registers != nil && c.Leases != nil && c.Platform != nil &&
		c.Transport != nil && c.Peers != nil && c.TimeUs != nil
	if !complete {
		return ErrConfig
	}
	return nil
}

// Reporter collects and reports usage. It is safe for concurrent use.
type Reporter struct {
	config  Config
	epoch   int64 // identifies this process to routers
	startUs int64

	closedWindows atomic.Int64
	lateRows      atomic.Int64

	mu        sync.Mutex // guards what follows
	collector *usage.Collector
	plan      *usage.Plan
	unsaved   bool // rows were received since the last save
}

// New returns a Reporter with the rows that an earlier process has saved. A row that is received
// again is counted once.
func New(config Config) (*Reporter, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	r := &Reporter{
		config:    config,
		epoch:     1 + rand.Int64N(maxEpoch),
		startUs:   config.Clock(),
		collector: usage.NewCollector(),
		plan:      usage.NewPlan(usage.Config{LengthUs: config.WindowUs, Jitter: rand.Float64}),
	}
	r.restore()
	return r, nil
}

// restore reads the rows that an earlier process has saved. A missing or damaged file is ignored.
func (r *Reporter) restore() {
	if r.config.Files == nil {
		return
	}
	encoded, ok := r.config.Files.ReadFile(rowsFile)
	if !ok {
		return
	}
	var rows messages.UsageRows
	if _, err := rows.UnmarshalMsg(encoded); err == nil {
		r.collector.Merge(rows.Rows)
	}
}

// Run saves the rows periodically until ctx ends.
func (r *Reporter) Run(ctx context.Context) { loop.Every(ctx, savePeriod, r.Save) }

// Save writes the rows to disk if there are new ones, so that they survive a power failure of all
// controllers and routers.
func (r *Reporter) Save() {
	r.mu.Lock()
	due := r.unsaved && r.config.Files != nil
	r.unsaved = false
	var rows messages.UsageRows
	if due {
		rows.Rows = r.collector.Rows(0, allWindows)
	}
	r.mu.Unlock()
	if !due {
		return
	}
	encoded, err := rows.MarshalMsg(nil)
	if err == nil {
		err = r.config.Files.WriteFile(rowsFile, encoded)
	}
	if err != nil {
		r.config.Log.Info("usage not saved", "err", err)
	}
}

// HandleRows merges the rows that a router sends and acknowledges them.
func (r *Reporter) HandleRows(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var rows messages.UsageRows
	if _, err := rows.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	r.Merge(rows.Rows)
	ack := messages.UsageAck{Epoch: r.epoch}
	return ack.MarshalMsg(nil)
}

// Merge merges rows into the collected ones and counts the late ones.
func (r *Reporter) Merge(rows []messages.UsageRow) {
	if len(rows) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	late := r.collector.Merge(rows)
	r.unsaved = r.unsaved || late < len(rows)
	r.lateRows.Add(int64(late))
}

// HandleQuery returns the rows of a range of windows to the holder of the lease.
func (r *Reporter) HandleQuery(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var query messages.UsageQuery
	if _, err := query.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	r.mu.Lock()
	rows := messages.UsageRows{Rows: r.collector.Rows(query.From, query.To), Refilling: r.refilling()}
	r.mu.Unlock()
	return rows.MarshalMsg(nil)
}

// refilling reports whether this process started so recently that routers may not have resent all
// rows that an earlier process had.
func (r *Reporter) refilling() bool {
	return r.config.Clock()-r.startUs < usage.RefillUs
}

// DropClosedWindows deletes the rows of the windows before next, the first one that is not closed.
func (r *Reporter) DropClosedWindows(next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.DropClosed(next)
}

// Prepare implements singleton.Task.
func (r *Reporter) Prepare(register int, body messages.LeaseBody) (singleton.Job, bool) {
	if register != RegisterIndex {
		return singleton.Job{}, false
	}
	timeUs := r.config.TimeUs()
	r.mu.Lock()
	oldest, counted := r.collector.Oldest()
	step := r.plan.Step(usage.View{NowUs: r.config.Clock(), TimeUs: timeUs, Ledger: body.Usage, HasCounts: counted, Oldest: oldest, IsHolder: body.Lease.Holder == r.config.Registers.ID()})
	r.mu.Unlock()
	run := func(ctx context.Context, grant lease.Grant) { r.executeStep(ctx, grant, body, step) }
	return singleton.Job{Needed: step.HasWork(), Run: run}, true
}

// executeStep starts the actions of a step of the plan: closing a window and reporting one.
func (r *Reporter) executeStep(ctx context.Context, grant lease.Grant, body messages.LeaseBody, step usage.Step) {
	if !grant.MayAct {
		return
	}
	if step.Close > 0 && !r.refilling() {
		r.mu.Lock()
		r.plan.BeginClose(step.Close, r.config.Clock())
		r.mu.Unlock()
		go r.close(ctx, body, step.Close)
	}
	if step.Report != nil {
		r.mu.Lock()
		r.plan.BeginReport()
		r.mu.Unlock()
		go r.reportWindow(ctx, grant, *step.Report)
	}
}

// close commits the counts of a window to the register, if the window may be closed.
func (r *Reporter) close(ctx context.Context, body messages.LeaseBody, window int64) {
	done := false
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.plan.EndClose(done, r.config.Clock())
	}()
	complete := r.collect(ctx, messages.UsageQuery{From: body.Usage.Next, To: window})
	timeUs := r.config.TimeUs()
	r.mu.Lock()
	mayClose := complete || r.plan.MayCloseIncomplete(window, timeUs, r.config.Clock())
	if oldest, counted := r.collector.Oldest(); body.Usage.Next == 0 && counted {
		window = min(window, oldest)
	} else if body.Usage.Next == 0 && mayClose {
		r.plan.RecordEmpty(window)
		mayClose, done = false, true
	}
	counts, reported := r.collector.Total(window), r.plan.Reported()
	r.mu.Unlock()
	if !mayClose {
		return
	}
	_, err := r.config.Leases.Change(ctx, RegisterIndex, body.Lease, func(b *messages.LeaseBody) bool {
		return usage.Close(&b.Usage, window, counts, reported)
	})
	r.config.Log.Info("usage window closed", "window", window, "tenants", len(counts), "complete", complete, "err", err)
	done = err == nil
	if done {
		r.closedWindows.Add(1)
	}
}

// collect fetches the rows of a range of windows from all other controllers. It reports whether all
// have responded and none is refilling.
func (r *Reporter) collect(ctx context.Context, query messages.UsageQuery) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var pending sync.WaitGroup
	var mu sync.Mutex
	complete = true
	for _, addr := range r.config.Peers() {
		pending.Go(func() {
			var rows messages.UsageRows
			b, err := r.config.Transport.Call(ctx, addr, transport.KindUsageQuery, &query)
			if err == nil {
				_, err = rows.UnmarshalMsg(b)
			}
			r.Merge(rows.Rows)
			mu.Lock()
			defer mu.Unlock()
			complete = complete && err == nil && !rows.Refilling
		})
	}
	pending.Wait()
	return complete
}

// reportWindow sends the committed counts of a window to the platform.
func (r *Reporter) reportWindow(ctx context.Context, grant lease.Grant, window messages.UsageWindow) {
	content := api.UsageReport{WindowSeq: window.Window, Counts: map[string]int64{}}
	for _, t := range window.Counts {
		content.Counts[t.Tenant] = t.Count
	}
	outcome := r.config.Platform.Call(ctx, RegisterIndex, grant, "/usage", content)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.EndReport(window.Window, outcome == platform.Accepted, r.config.Clock())
}

// UnreportedAge returns how long ago the oldest window ended whose report the platform has not
// accepted according to this controller's state; 0 if no window has been closed.
func (r *Reporter) UnreportedAge() time.Duration {
	v, _ := r.config.Registers.Committed(RegisterIndex)
	body, err := messages.DecodeLeaseBody(v)
	timeUs := r.config.TimeUs()
	if err != nil || body.Usage.Next == 0 {
		return 0
	}
	oldest := body.Usage.Next
	r.mu.Lock()
	if pending := usage.Pending(body.Usage, r.plan.Reported()); len(pending) > 0 {
		oldest = pending[0].Window
	}
	r.mu.Unlock()
	return max(time.Duration(timeUs-(oldest+1)*r.config.WindowUs)*time.Microsecond, 0)
}

// LastReportedWindow returns the newest window up to which the platform has accepted all reports,
// according to the state of this process.
func (r *Reporter) LastReportedWindow() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.Reported()
}

// ClosedWindows returns how many windows this process has closed.
func (r *Reporter) ClosedWindows() int64 { return r.closedWindows.Load() }

// LateRows returns how many rows were received after their window was closed.
func (r *Reporter) LateRows() int64 { return r.lateRows.Load() }
