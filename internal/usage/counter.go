// Package usage counts how many requests of each tenant began to run in each window of
// the time of day, over all routers, so that every window is reported to the platform
// once and with one set of counts.
//
// A router counts with a Counter and sends its rows to a few controllers. Counts of a row
// only grow, so a Collector merges rows that arrive twice, late or by several ways by
// taking the larger count. The holder of the role collects the rows of a window from all
// controllers some time after its end, and closes it: the sums become a value of a
// consensus register (Close) before the first call for the window leaves. Whoever reports
// the window later sends exactly that value. A Plan says what the holder does next.
//
// Everything here is pure: times are whole microseconds given as arguments. No type is
// safe for concurrent use.
package usage

import (
	"cmp"
	"maps"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// MaxWindows bounds how many windows are kept that are not closed. Older ones are dropped.
const MaxWindows = 720

// HoldUs is how long after its start a router waits for the time of day of the
// controllers before it goes by its own.
const HoldUs = int64(2_000_000)

// WindowOf returns the window that a time of day belongs to: window k begins k times the
// length after the start of 1970.
func WindowOf(timeOfDayUs, lengthUs int64) int64 { return timeOfDayUs / lengthUs }

// Counter is the counts of one router. Each change has a number, so that a receiver is
// sent what has changed since the last one that it has.
type Counter struct {
	router  string
	change  int64
	windows map[int64]*counted
	held    []heldRequest
}

// heldRequest is a request that began before the time of day was known.
type heldRequest struct {
	tenant string
	atUs   int64 // on the monotonic clock
}

// counted is a window of a Counter.
type counted struct {
	change int64 // the last change of any tenant
	counts map[string]tenantCount
}

type tenantCount struct{ count, change int64 }

// NewCounter returns a counter of a router. The name is unique to the process.
func NewCounter(router string) *Counter {
	return &Counter{router: router, windows: map[int64]*counted{}}
}

// Add counts a request of a tenant that has begun to run.
func (c *Counter) Add(window int64, tenant string) {
	w := c.windows[window]
	if w == nil {
		w = &counted{counts: map[string]tenantCount{}}
		c.windows[window] = w
		dropOldest(c.windows)
	}
	c.change++
	w.change = c.change
	w.counts[tenant] = tenantCount{w.counts[tenant].count + 1, c.change}
}

// Hold keeps a request that began at a moment of the monotonic clock until Place counts it.
func (c *Counter) Hold(tenant string, atUs int64) {
	c.held = append(c.held, heldRequest{tenant, atUs})
}

// Holding reports whether there are such requests.
func (c *Counter) Holding() bool { return len(c.held) > 0 }

// Place counts the requests that Hold has kept, in the windows of their moments.
func (c *Counter) Place(windowAt func(atUs int64) int64) {
	for _, request := range c.held {
		c.Add(windowAt(request.atUs), request.tenant)
	}
	c.held = nil
}

// RowsSince returns the counts that have changed after the change with this number, and
// the number of the newest one.
func (c *Counter) RowsSince(change int64) (rows []messages.UsageRow, newest int64) {
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		w := c.windows[window]
		if w.change <= change {
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
	return rows, c.change
}

// Closed forgets the windows before the first one that is not closed.
func (c *Counter) Closed(next int64) { forgetBefore(c.windows, next) }

// Collector is the rows of all routers, as one controller has them.
type Collector struct {
	next    int64 // the first window that is not closed
	windows map[int64]map[string]map[string]int64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{windows: map[int64]map[string]map[string]int64{}}
}

// Merge takes rows. It returns how many of them are for a window that is closed; these
// change nothing.
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

// Rows returns the rows of the windows from one to another, both included.
func (c *Collector) Rows(from, to int64) []messages.UsageRow {
	rows := []messages.UsageRow{}
	for window, routers := range c.windows {
		if window < from || window > to {
			continue
		}
		for router, counts := range routers {
			rows = append(rows, messages.UsageRow{Window: window, Router: router, Counts: sorted(counts)})
		}
	}
	return rows
}

// Total returns the sums of a window, ordered by tenant.
func (c *Collector) Total(window int64) []messages.UsageCount {
	total := map[string]int64{}
	for _, counts := range c.windows[window] {
		for tenant, count := range counts {
			total[tenant] += count
		}
	}
	return sorted(total)
}

// Oldest returns the oldest window with a count; false where there is none.
func (c *Collector) Oldest() (window int64, ok bool) {
	for w := range c.windows {
		if !ok || w < window {
			window, ok = w, true
		}
	}
	return window, ok
}

// Closed forgets the windows before the first one that is not closed.
func (c *Collector) Closed(next int64) {
	c.next = max(c.next, next)
	forgetBefore(c.windows, c.next)
}

func sorted(counts map[string]int64) []messages.UsageCount {
	out := make([]messages.UsageCount, 0, len(counts))
	for tenant, count := range counts {
		out = append(out, messages.UsageCount{Tenant: tenant, Count: count})
	}
	slices.SortFunc(out, func(a, b messages.UsageCount) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}

func forgetBefore[T any](windows map[int64]T, next int64) {
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
