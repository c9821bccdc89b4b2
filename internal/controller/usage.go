// Usage of the platform's windows: every controller collects the counts of routers, and
// the holder of the lease closes and reports the windows (package usage).

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/usage"
)

// usageDuty is the name of the duty in the settings.
const usageDuty = "metering"

// usagePart is the register with the lease and the ledger of usage.
var usagePart = consensus.PartOf("platform/usage")

// Periods and waits of collecting.
const (
	keepUsagePeriod = time.Second
	usageQueryWait  = 700 * time.Millisecond
	// usageFile names the copy of the rows on disk.
	usageFile = "usage"
)

// usageWanted tells whether the platform is to be told the usage.
func usageWanted(set settings.Settings) bool {
	return set.Cloud.Address != "" && set.Bounds.UsageWindowS > 0 && slices.Contains(set.Cloud.Duties, usageDuty)
}

// usageReporter is safe for concurrent use.
type usageReporter struct {
	controller *Controller
	epoch      int64 // names this process to routers
	lengthUs   int64

	mu        sync.Mutex // guards what follows
	collector *usage.Collector
	plan      *usage.Plan
	changed   bool // rows have come since the last copy on disk
}

func newUsageReporter(d *Controller) *usageReporter {
	lengthUs := (time.Duration(d.set.Bounds.UsageWindowS) * time.Second).Microseconds()
	u := &usageReporter{
		controller: d, epoch: 1 + rand.Int64N(1<<53), lengthUs: lengthUs,
		collector: usage.NewCollector(), plan: usage.NewPlan(usage.Config{LengthUs: lengthUs, Jitter: rand.Float64}),
	}
	u.recall()
	return u
}

// recall reads the copy of an earlier process, which counts as rows that come twice.
func (u *usageReporter) recall() {
	if u.controller.disk == nil {
		return
	}
	b, ok := u.controller.disk.Note(usageFile)
	if !ok {
		return
	}
	var rows messages.UsageRows
	if _, err := rows.UnmarshalMsg(b); err == nil {
		u.collector.Merge(rows.Rows)
	}
}

// keep writes the rows to disk if there are new ones, so that they outlive a loss of power
// at all controllers and routers.
func (u *usageReporter) keep() {
	disk := u.controller.disk
	u.mu.Lock()
	due := u.changed && disk != nil
	u.changed = false
	var rows messages.UsageRows
	if due {
		rows.Rows = u.collector.Rows(0, 1<<62)
	}
	u.mu.Unlock()
	if !due {
		return
	}
	b, err := rows.MarshalMsg(nil)
	if err == nil {
		err = disk.Keep(usageFile, b)
	}
	if err != nil {
		u.controller.log.Info("usage not kept", "err", err)
	}
}

// receiveRows takes the counts of a router.
func (u *usageReporter) receiveRows(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var rows messages.UsageRows
	if _, err := rows.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	u.merge(rows.Rows)
	ack := messages.UsageAck{Epoch: u.epoch}
	return ack.MarshalMsg(nil)
}

func (u *usageReporter) merge(rows []messages.UsageRow) {
	if len(rows) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	late := u.collector.Merge(rows)
	u.changed = u.changed || late < len(rows)
	u.controller.counters.lateUsage.Add(int64(late))
}

// answerQuery returns the rows of some windows to the holder.
func (u *usageReporter) answerQuery(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	var query messages.UsageQuery
	if _, err := query.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	u.mu.Lock()
	rows := messages.UsageRows{Rows: u.collector.Rows(query.From, query.To), Refilling: u.refilling()}
	u.mu.Unlock()
	return rows.MarshalMsg(nil)
}

// refilling reports whether routers may not have repeated yet what an earlier process had.
func (u *usageReporter) refilling() bool {
	return u.controller.clock()-u.controller.startUs < usage.RefillUs
}

// closed forgets the windows before the first one that is not closed.
func (u *usageReporter) closed(next int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.collector.Closed(next)
}

// prepare is part of task.
func (u *usageReporter) prepare(part int, body messages.LeaseBody) (job, bool) {
	if part != usagePart {
		return job{}, false
	}
	d := u.controller
	timeUs, _ := d.timeOfDay.TimeUs(d.clock())
	u.mu.Lock()
	oldest, counted := u.collector.Oldest()
	step := u.plan.Step(usage.View{NowUs: d.clock(), TimeUs: timeUs, Ledger: body.Usage, Counted: counted, Oldest: oldest, IsHolder: body.Lease.Holder == d.registers.ID()})
	u.mu.Unlock()
	run := func(ctx context.Context, grant lease.Grant) { u.work(ctx, grant, body, step) }
	return job{needed: step.Needed(), run: run}, true
}

// work begins what a step of the plan asks for.
func (u *usageReporter) work(ctx context.Context, grant lease.Grant, body messages.LeaseBody, step usage.Step) {
	if !grant.MayAct {
		return
	}
	if step.Close > 0 && !u.refilling() {
		u.mu.Lock()
		u.plan.Closing(step.Close, u.controller.clock())
		u.mu.Unlock()
		go u.close(ctx, body, step.Close)
	}
	if step.Report != nil {
		u.mu.Lock()
		u.plan.Reporting()
		u.mu.Unlock()
		go u.report(ctx, grant, *step.Report)
	}
}

// close agrees on the counts of a window.
func (u *usageReporter) close(ctx context.Context, body messages.LeaseBody, window int64) {
	d := u.controller
	done := false
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.plan.Closed(done, d.clock())
	}()
	complete := u.collect(ctx, messages.UsageQuery{From: body.Usage.Next, To: window})
	timeUs, _ := d.timeOfDay.TimeUs(d.clock())
	u.mu.Lock()
	mayClose := complete || u.plan.MayClose(window, timeUs, d.clock())
	if oldest, counted := u.collector.Oldest(); body.Usage.Next == 0 && counted {
		window = min(window, oldest)
	} else if body.Usage.Next == 0 && mayClose {
		u.plan.Searched(window)
		mayClose, done = false, true
	}
	counts, reported := u.collector.Total(window), u.plan.Reported()
	u.mu.Unlock()
	if !mayClose {
		return
	}
	_, err := d.roles.change(ctx, usagePart, body.Lease, func(b *messages.LeaseBody) bool {
		return usage.Close(&b.Usage, window, counts, reported)
	})
	d.log.Info("usage window closed", "window", window, "tenants", len(counts), "complete", complete, "err", err)
	done = err == nil
	if done {
		d.counters.closedWindows.Add(1)
	}
}

// collect asks all other controllers for the rows of some windows. It reports whether all
// of them have answered, and have what they ever had.
func (u *usageReporter) collect(ctx context.Context, query messages.UsageQuery) (complete bool) {
	d := u.controller
	ctx, cancel := context.WithTimeout(ctx, usageQueryWait)
	defer cancel()
	var asked sync.WaitGroup
	var mu sync.Mutex
	complete = true
	for _, p := range d.monitor.Alive(messages.Controller) {
		if p.Addr == d.transport.Addr() {
			continue
		}
		asked.Go(func() {
			var rows messages.UsageRows
			b, err := d.transport.Call(ctx, p.Addr, transport.KindUsageQuery, &query)
			if err == nil {
				_, err = rows.UnmarshalMsg(b)
			}
			u.merge(rows.Rows)
			mu.Lock()
			defer mu.Unlock()
			complete = complete && err == nil && !rows.Refilling
		})
	}
	asked.Wait()
	return complete
}

// report tells the platform the agreed counts of a window.
func (u *usageReporter) report(ctx context.Context, grant lease.Grant, window messages.UsageWindow) {
	d := u.controller
	content := api.UsageReport{WindowSeq: window.Window, Counts: map[string]int64{}}
	for _, t := range window.Counts {
		content.Counts[t.Tenant] = t.Count
	}
	answer := d.callPlatform(ctx, usagePart, grant, "/usage", content)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.plan.Answered(window.Window, answer == platformAccepted, d.clock())
}

// unreported returns how long ago the oldest window ended that the platform may not have,
// as far as this controller knows.
func (u *usageReporter) unreported() time.Duration {
	d := u.controller
	v, _ := d.registers.Committed(usagePart)
	body, err := leaseBody(v)
	timeUs, _ := d.timeOfDay.TimeUs(d.clock())
	if err != nil || body.Usage.Next == 0 {
		return 0
	}
	oldest := body.Usage.Next
	u.mu.Lock()
	if pending := usage.Pending(body.Usage, u.plan.Reported()); len(pending) > 0 {
		oldest = pending[0].Window
	}
	u.mu.Unlock()
	return max(time.Duration(timeUs-(oldest+1)*u.lengthUs)*time.Microsecond, 0)
}
