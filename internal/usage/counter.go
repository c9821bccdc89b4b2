// Package usage counts how many requests of each tenant started to run in each time window,
// over all routers. Every window is reported to the platform with a single set of counts,
// and a report that is repeated is identical to the first.
//
// A router counts with a Counter and sends its rows to several controllers. Counts only
// grow, so a Collector merges rows that arrive repeatedly, late or over several paths by
// taking the larger count. Some time after the end of a window, the lease holder collects
// its rows from all controllers and closes it: the sums are stored in a consensus register
// (Close) before the first report of the window is sent. Every report of the window, also
// by a later holder, sends the stored value. A Plan returns what the holder does next.
//
// The package has no I/O and no clock: times are whole microseconds, passed as arguments.
// No type is safe for concurrent use.
package usage

import (
	"cmp"
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// MaxWindows is the maximum number of windows stored by a counter or a collector, and of
// closed windows waiting to be reported. Counters and collectors drop the oldest window
// beyond it.
const MaxWindows = 720

// ClockWaitUs is how long after its start a router waits for the time of day of the controllers
// before it uses its own.
const ClockWaitUs = int64(2_000_000)

// WindowOf returns the number of the window that contains a time of day: window k begins k
// window lengths after the Unix epoch.
func WindowOf(timeOfDayUs, lengthUs int64) int64 { return timeOfDayUs / lengthUs }

// Counter holds the counts of one router. Changes are numbered, so that a receiver can be
// sent only the counts that changed after the last change it has.
type Counter struct {
	router     string
	lastChange int64
	windows    map[int64]*windowCounts
	deferred   []deferredRequest
}

// deferredRequest is a request that started before the time of day was known.
type deferredRequest struct {
	tenant    string
	startedUs int64 // on the monotonic clock
}

// windowCounts holds the counts of one window.
type windowCounts struct {
	lastChange int64 // number of the last change of any tenant
	counts     map[string]tenantCount
}

type tenantCount struct{ count, change int64 }

// NewCounter returns the counter of a router. The name must be unique to the process.
func NewCounter(router string) *Counter {
	return &Counter{router: router, windows: map[int64]*windowCounts{}}
}

// Add counts a request of a tenant that started to run in a window.
func (c *Counter) Add(window int64, tenant string) {
	w := c.windows[window]
	if w == nil {
		w = &windowCounts{counts: map[string]tenantCount{}}
		c.windows[window] = w
		dropOldest(c.windows)
	}
	c.lastChange++
	w.lastChange = c.lastChange
	w.counts[tenant] = tenantCount{w.counts[tenant].count + 1, c.lastChange}
}

// Defer defers counting a request that started at a time of the monotonic clock, until
// Counter.CountDeferred is called.
func (c *Counter) Defer(tenant string, atUs int64) {
	c.deferred = append(c.deferred, deferredRequest{tenant, atUs})
}

// HasDeferred reports whether there are deferred requests.
func (c *Counter) HasDeferred() bool { return len(c.deferred) > 0 }

// CountDeferred counts the deferred requests in the windows of their start times.
func (c *Counter) CountDeferred(windowAt func(atUs int64) int64) {
	for _, request := range c.deferred {
		c.Add(windowAt(request.startedUs), request.tenant)
	}
	c.deferred = nil
}

// RowsSince returns the counts that changed after the change with the given number, and the
// number of the newest change.
func (c *Counter) RowsSince(change int64) (rows []messages.UsageRow, newest int64) {
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		w := c.windows[window]
		if w.lastChange <= change {
			continue
		}
		row := messages.UsageRow{Window: window, Router: c.router}
		for tenant, t := range w.counts {
			if t.change > change {
				row.Counts = append(row.Counts, messages.UsageCount{Tenant: tenant, Count: t.count})
			}
		}
		rows = append(rows, row)
	}
	return rows, c.lastChange
}

// DropClosed drops the windows before next, the first window that is not closed.
func (c *Counter) DropClosed(next int64) { dropBefore(c.windows, next) }

// Collector holds the rows of all routers that one controller has received.
type Collector struct {
	next    int64                                 // the first window that is not closed
	windows map[int64]map[string]map[string]int64 // counts by window, router and tenant
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{windows: map[int64]map[string]map[string]int64{}}
}

// Merge merges rows into the collector. It returns the number of rows that are ignored
// because their window is closed.
func (c *Collector) Merge(rows []messages.UsageRow) (late int) {
	for _, row := range rows {
		if row.Window < c.next {
			late++
			continue
		}
		counts := c.row(row.Window, row.Router)
		for _, t := range row.Counts {
			counts[t.Tenant] = max(counts[t.Tenant], t.Count)
		}
	}
	dropOldest(c.windows)
	return late
}

func (c *Collector) row(window int64, router string) map[string]int64 {
	if c.windows[window] == nil {
		c.windows[window] = map[string]map[string]int64{}
	}
	if c.windows[window][router] == nil {
		c.windows[window][router] = map[string]int64{}
	}
	return c.windows[window][router]
}

// Rows returns the rows of the windows in the closed interval [from, to].
func (c *Collector) Rows(from, to int64) []messages.UsageRow {
	rows := []messages.UsageRow{}
	for window, routers := range c.windows {
		if window < from || window > to {
			continue
		}
		for router, counts := range routers {
			rows = append(rows, messages.UsageRow{Window: window, Router: router, Counts: sortedCounts(counts)})
		}
	}
	return rows
}

// Total returns the sums of a window over all routers, sorted by tenant.
func (c *Collector) Total(window int64) []messages.UsageCount {
	total := map[string]int64{}
	for _, counts := range c.windows[window] {
		for tenant, count := range counts {
			total[tenant] += count
		}
	}
	return sortedCounts(total)
}

// Oldest returns the oldest window with a count; ok is false if there is none.
func (c *Collector) Oldest() (window int64, ok bool) {
	for w := range c.windows {
		if !ok || w < window {
			window, ok = w, true
		}
	}
	return window, ok
}

// DropClosed drops the windows before next, the first window that is not closed.
func (c *Collector) DropClosed(next int64) {
	c.next = max(c.next, next)
	dropBefore(c.windows, c.next)
}

func sortedCounts(counts map[string]int64) []messages.UsageCount {
	out := make([]messages.UsageCount, 0, len(counts))
	for tenant, count := range counts {
		out = append(out, messages.UsageCount{Tenant: tenant, Count: count})
	}
	slices.SortFunc(out, func(a, b messages.UsageCount) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}

func dropBefore[T any](windows map[int64]T, next int64) {
	for window := range windows {
		if window < next {
			delete(windows, window)
		}
	}
}

func dropOldest[T any](windows map[int64]T) {
	if len(windows) > MaxWindows {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
}
