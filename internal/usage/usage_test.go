package usage

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	second   = int64(1_000_000)
	lengthUs = 5 * second
)

func counts(of ...any) []messages.UsageCount {
	out := []messages.UsageCount{}
	for i := 0; i < len(of); i += 2 {
		out = append(out, messages.UsageCount{Tenant: of[i].(string), Count: int64(of[i+1].(int))})
	}
	return out
}

func TestRowsSinceReturnsOnlyChangedCounts(t *testing.T) {
	c := NewCounter("r")
	c.Add(7, "a")
	c.Add(7, "b")
	c.Add(8, "a")
	rows, first := c.RowsSince(0)
	must.Len(t, 2, rows)
	c.Add(8, "b")
	c.Add(8, "b")
	rows, newest := c.RowsSince(first)
	must.Eq(t, []messages.UsageRow{{Window: 8, Router: "r", Counts: counts("b", 2)}}, rows)
	rows, again := c.RowsSince(newest)
	must.SliceEmpty(t, rows)
	must.Eq(t, newest, again)
	c.DropClosed(8)
	rows, _ = c.RowsSince(0)
	must.Len(t, 1, rows)
}

// A request that starts before the time of day is known is counted as soon as it is, in the
// window of its start.
func TestDeferredRequestsAreCountedInWindowsOfTheirStart(t *testing.T) {
	c := NewCounter("r")
	c.Defer("a", 3*second)
	c.Defer("b", 6*second)
	rows, _ := c.RowsSince(0)
	must.SliceEmpty(t, rows)
	must.True(t, c.HasDeferred())
	c.CountDeferred(func(atUs int64) int64 { return WindowOf(100*lengthUs+atUs, lengthUs) })
	must.False(t, c.HasDeferred())
	rows, _ = c.RowsSince(0)
	must.Eq(t, []messages.UsageRow{{Window: 100, Router: "r", Counts: counts("a", 1)}, {Window: 101, Router: "r", Counts: counts("b", 1)}}, rows)
}

// Rows may arrive repeatedly, in any order and over several paths.
func TestTotalIsIndependentOfRowOrderAndRepeats(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		truth, collector := map[string]int64{}, NewCollector()
		var sent []messages.UsageRow
		for _, router := range []string{"r1", "r2", "r3"} {
			c, change := NewCounter(router), int64(0)
			for range 200 {
				tenant := string(rune('a' + random.IntN(4)))
				c.Add(3, tenant)
				truth[tenant]++
				if random.IntN(10) == 0 {
					var rows []messages.UsageRow
					rows, change = c.RowsSince(change)
					sent = append(sent, rows...)
				}
			}
			rows, _ := c.RowsSince(0)
			sent = append(sent, rows...)
		}
		sent = append(sent, sent[:random.IntN(len(sent))]...)
		random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		for _, row := range sent {
			must.Zero(t, collector.Merge([]messages.UsageRow{row}))
		}
		must.Eq(t, sortedCounts(truth), collector.Total(3))
		other := NewCollector()
		other.Merge(collector.Rows(3, 3))
		must.Eq(t, sortedCounts(truth), other.Total(3))
	}
}

func TestRowsOfClosedWindowsAreIgnored(t *testing.T) {
	c := NewCollector()
	row := messages.UsageRow{Window: 4, Router: "r", Counts: counts("a", 1)}
	c.Merge([]messages.UsageRow{row})
	c.DropClosed(5)
	must.Eq(t, 1, c.Merge([]messages.UsageRow{row}))
	must.SliceEmpty(t, c.Total(4))
	_, counted := c.Oldest()
	must.False(t, counted)
}

func TestWindowsAreBounded(t *testing.T) {
	counter, collector := NewCounter("r"), NewCollector()
	for window := range int64(2 * MaxWindows) {
		counter.Add(window, "a")
		rows, _ := counter.RowsSince(window)
		collector.Merge(rows)
	}
	rows, _ := counter.RowsSince(0)
	must.Len(t, MaxWindows, rows)
	must.Len(t, MaxWindows, collector.Rows(0, 1<<62))
}

func TestWindowsAreClosedOnceAndInOrder(t *testing.T) {
	var ledger messages.UsageLedger
	must.True(t, Close(&ledger, 10, counts("a", 1), 0))
	must.False(t, Close(&ledger, 10, counts("a", 2), 0))
	must.False(t, Close(&ledger, 12, counts(), 0))
	must.True(t, Close(&ledger, 11, counts("a", 3), 0))
	must.Eq(t, []messages.UsageWindow{{Window: 10, Counts: counts("a", 1)}, {Window: 11, Counts: counts("a", 3)}}, ledger.Pending)
	must.True(t, Close(&ledger, 12, counts(), 11))
	must.Eq(t, []messages.UsageWindow{{Window: 12, Counts: counts()}}, ledger.Pending)
	must.SliceEmpty(t, Pending(ledger, 12))
}

// Closing a window must not change the slices of an earlier copy of the ledger, which
// another reader may hold.
func TestCloseDoesNotChangeEarlierCopies(t *testing.T) {
	ledger := messages.UsageLedger{Next: 3, Pending: make([]messages.UsageWindow, 2, 8)}
	ledger.Pending[0].Window, ledger.Pending[1].Window = 1, 2
	before := ledger
	must.True(t, Close(&ledger, 3, counts(), 1))
	must.Eq(t, int64(1), before.Pending[0].Window)
	must.Eq(t, int64(2), before.Pending[1].Window)
}

func newTestPlan() *Plan {
	return NewPlan(Config{LengthUs: lengthUs, Jitter: func() float64 { return 1 }})
}

func TestWindowIsClosedAfterSettleTime(t *testing.T) {
	p := newTestPlan()
	v := View{NowUs: 1, Ledger: messages.UsageLedger{Next: 4}, IsHolder: true}
	must.False(t, p.Step(v).HasWork(), must.Sprint("the time of day is unknown"))
	v.TimeUs = 5*lengthUs + SettleUs - 1
	must.False(t, p.Step(v).HasWork())
	v.TimeUs++
	must.Eq(t, int64(4), p.Step(v).Close)
	p.BeginClose(4, v.NowUs)
	must.False(t, p.MayCloseIncomplete(4, v.TimeUs, v.NowUs+MinCollectUs), must.Sprint("the window ended too recently to be closed without all rows"))
	must.False(t, p.MayCloseIncomplete(4, 5*lengthUs+IncompleteCloseUs, v.NowUs+MinCollectUs-1), must.Sprint("the first attempt to close the window was too recent"))
	must.True(t, p.MayCloseIncomplete(4, 5*lengthUs+IncompleteCloseUs, v.NowUs+MinCollectUs))
	must.Zero(t, p.Step(v).Close, must.Sprint("a window is being closed already"))
	p.EndClose(false, v.NowUs)
	must.Zero(t, p.Step(v).Close)
	v.NowUs += closeBackoffUs
	must.Eq(t, int64(4), p.Step(v).Close)
}

// Before the first request there is nothing to report. The holder checks once for each
// window whether another controller has counts.
func TestFirstClosedWindowIsOldestWithCounts(t *testing.T) {
	p := newTestPlan()
	v := View{NowUs: 1, TimeUs: 9*lengthUs + SettleUs}
	must.False(t, p.Step(v).HasWork())
	v.IsHolder = true
	must.Eq(t, int64(8), p.Step(v).Close)
	p.RecordEmpty(8)
	must.False(t, p.Step(v).HasWork())
	v.HasCounts, v.Oldest = true, 6
	must.Eq(t, int64(6), p.Step(v).Close)
	v.Oldest = 9
	must.False(t, p.Step(v).HasWork(), must.Sprint("the window has not settled"))
}

func TestWindowsAreReportedOldestFirstWithBackoff(t *testing.T) {
	p := newTestPlan()
	v := View{NowUs: second, Ledger: messages.UsageLedger{Next: 6, Pending: []messages.UsageWindow{{Window: 4}, {Window: 5}}}}
	must.Eq(t, int64(4), p.Step(v).Report.Window)
	p.BeginReport()
	must.Nil(t, p.Step(v).Report)
	pauseUs := minBackoffUs
	for range 8 {
		p.EndReport(4, false, v.NowUs)
		must.Nil(t, p.Step(v).Report)
		v.NowUs += pauseUs
		must.Eq(t, int64(4), p.Step(v).Report.Window)
		pauseUs = min(2*pauseUs, maxBackoffUs)
	}
	p.EndReport(4, true, v.NowUs)
	must.Eq(t, int64(5), p.Step(v).Report.Window)
	p.EndReport(5, true, v.NowUs)
	must.False(t, p.Step(v).HasWork())
	must.Eq(t, int64(5), p.Reported())
}

func TestNoWindowIsClosedWhileLedgerIsFull(t *testing.T) {
	p := newTestPlan()
	v := View{NowUs: 1, TimeUs: 1 << 50, Ledger: messages.UsageLedger{Next: 4, Pending: make([]messages.UsageWindow, MaxWindows)}}
	must.Zero(t, p.Step(v).Close)
}
