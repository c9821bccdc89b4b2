package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/controller/usagereport"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/transport"
)

// platformCall is a call that the platform has received.
type platformCall struct {
	path, holder, fence string
	usage               api.UsageReport
}

// platformStub is a stub of the platform's API that records its calls.
type platformStub struct {
	mu     sync.Mutex
	calls  []platformCall
	status atomic.Int64 // status code of the responses
}

func newPlatformStub(t *testing.T) (p *platformStub, addr string) {
	t.Helper()
	p = &platformStub{}
	p.status.Store(http.StatusOK)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.Listener.Addr().String()
}

func (p *platformStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := platformCall{path: r.URL.Path, holder: r.Header.Get("Beechtide-Duty-Holder"), fence: r.Header.Get("Beechtide-Fence")}
	_ = json.NewDecoder(r.Body).Decode(&c.usage)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	w.WriteHeader(int(p.status.Load()))
}

func (p *platformStub) receivedCalls() []platformCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]platformCall{}, p.calls...)
}

// usageWindow is the length of a usage window in these tests.
const usageWindow = time.Second

// startUsageReporting starts a core of one controller that reports usage in windows of a second.
// Its clock follows real time plus skipUs.
func startUsageReporting(t *testing.T, dir, platformAddr string, port int, bootstrap bool) (d *Controller, skipUs *atomic.Int64, stop func()) {
	t.Helper()
	return startWithDuty(t, dir, platformAddr, port, bootstrap, usagereport.DutyName)
}

// startWithDuty starts a core of one controller with a duty at the platform.
func startWithDuty(t *testing.T, dir, platformAddr string, port int, bootstrap bool, duty string) (d *Controller, skipUs *atomic.Int64, stop func()) {
	t.Helper()
	control := fmt.Sprintf("127.0.0.1:%d", port+2)
	set := settings.Settings{Node: "n", Ip: "127.0.0.1", Zone: "a", Ports: []int{port, port + 1}, Seeds: []string{control}, Bootstrap: bootstrap, DataDir: dir, BeatPeriodMs: 1000}
	set.Listen.Control = control
	set.Bounds = settings.Bounds{LeaseMs: 200, UsageWindowS: int(usageWindow.Seconds()), UsageDelayS: 10}
	set.Cloud = settings.Cloud{Address: platformAddr, Duties: []string{duty}}
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	must.NoError(t, err)
	began := time.Now()
	skipUs = &atomic.Int64{}
	started, err := New(set, pool, func() int64 { return time.Since(began).Microseconds() + 1 + skipUs.Load() }, logr.Discard())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- started.Run(ctx) }()
	waitUntil(t, func() bool { return listens(control) })
	return started, skipUs, sync.OnceFunc(func() {
		cancel()
		<-ended
		if started.disk != nil {
			started.disk.Close()
		}
	})
}

// countRequests sends a router's counts of the current window to a controller, and returns the
// window.
func countRequests(t *testing.T, d *Controller, router string, counts ...messages.UsageCount) (window int64) {
	t.Helper()
	nowUs, _ := d.timeOfDay.TimeUs(d.clock())
	window = nowUs / usageWindow.Microseconds()
	rows := messages.UsageRows{Rows: []messages.UsageRow{{Window: window, Router: router, Counts: counts}}}
	body, err := rows.MarshalMsg(nil)
	must.NoError(t, err)
	answer, err := d.usage.HandleRows(context.Background(), nil, body)
	must.NoError(t, err)
	var ack messages.UsageAck
	_, err = ack.UnmarshalMsg(answer)
	must.NoError(t, err)
	must.Positive(t, ack.Epoch)
	return window
}

func TestUsageWindowsAreReportedInOrderUnderFence(t *testing.T) {
	p, addr := newPlatformStub(t)
	d, _, stop := startUsageReporting(t, t.TempDir(), addr, freePort(t), true)
	defer stop()
	window := countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3}, messages.UsageCount{Tenant: "y", Count: 1})
	countRequests(t, d, "r2", messages.UsageCount{Tenant: "x", Count: 4})
	waitUntil(t, func() bool { return len(p.receivedCalls()) >= 3 })
	total := map[string]int64{}
	for i, c := range p.receivedCalls() {
		must.Eq(t, platformCall{path: "/usage", holder: "n", fence: "1", usage: c.usage}, c)
		must.Eq(t, window+int64(i), c.usage.WindowSeq)
		for tenant, count := range c.usage.Counts {
			total[tenant] += count
		}
	}
	must.Eq(t, map[string]int64{"x": 7, "y": 1}, total)
}

// A closed window is resent unchanged until the platform accepts it, also after a restart and
// whatever has been counted since.
func TestClosedWindowIsResentUnchangedAfterRestart(t *testing.T) {
	p, addr := newPlatformStub(t)
	p.status.Store(http.StatusServiceUnavailable)
	dir, port := t.TempDir(), freePort(t)
	d, _, stop := startUsageReporting(t, dir, addr, port, true)
	defer stop()
	window := countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3})
	waitUntil(t, func() bool { return len(p.receivedCalls()) >= 2 })
	stop()
	p.status.Store(http.StatusOK)
	d, _, stop = startUsageReporting(t, dir, addr, port, false)
	defer stop()
	d.usage.Merge([]messages.UsageRow{{Window: window, Router: "r1", Counts: []messages.UsageCount{{Tenant: "x", Count: 9}}}})
	waitUntil(t, func() bool { return d.usage.LastReportedWindow() > window })
	fences := map[string]bool{}
	for _, c := range p.receivedCalls() {
		fences[c.fence] = true
		if c.usage.WindowSeq == window {
			must.Eq(t, map[string]int64{"x": 3}, c.usage.Counts)
		}
	}
	must.MapLen(t, 2, fences, must.Sprint("the restarted process has its own fencing token"))
}

// Counts of a window that is not closed yet survive a restart.
func TestUsageCountsSurviveRestart(t *testing.T) {
	p, addr := newPlatformStub(t)
	dir, port := t.TempDir(), freePort(t)
	d, _, stop := startUsageReporting(t, dir, addr, port, true)
	defer stop()
	window := countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3})
	d.usage.Save()
	stop()
	_, _, stop = startUsageReporting(t, dir, addr, port, false)
	defer stop()
	waitUntil(t, func() bool { return len(p.receivedCalls()) > 0 })
	must.Eq(t, api.UsageReport{WindowSeq: window, Counts: map[string]int64{"x": 3}}, p.receivedCalls()[0].usage)
}

// After the platform has refused a fencing token, no further call uses it.
func TestRefusedFenceIsNotReused(t *testing.T) {
	p, addr := newPlatformStub(t)
	p.status.Store(http.StatusConflict)
	d, _, stop := startUsageReporting(t, t.TempDir(), addr, freePort(t), true)
	defer stop()
	countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3})
	waitUntil(t, func() bool { return len(p.receivedCalls()) >= 3 })
	seen := map[string]int{}
	for _, c := range p.receivedCalls() {
		seen[c.fence]++
	}
	for fence, calls := range seen {
		must.Eq(t, 1, calls, must.Sprintf("calls under fence %s", fence))
	}
}

// A reload of the settings changes the platform's address in a running process.
func TestReloadChangesPlatformAddress(t *testing.T) {
	before, addr := newPlatformStub(t)
	after, newAddr := newPlatformStub(t)
	d, _, stop := startUsageReporting(t, t.TempDir(), addr, freePort(t), true)
	defer stop()
	set := d.set
	set.Cloud.Address = newAddr
	d.Reload(set)
	countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3})
	waitUntil(t, func() bool { return len(after.receivedCalls()) > 0 })
	must.SliceEmpty(t, before.receivedCalls())
}

func TestUsageQueryReturnsRowsOfWindow(t *testing.T) {
	_, addr := newPlatformStub(t)
	d, _, stop := startUsageReporting(t, t.TempDir(), addr, freePort(t), true)
	defer stop()
	window := countRequests(t, d, "r1", messages.UsageCount{Tenant: "x", Count: 3})
	query := messages.UsageQuery{From: window, To: window}
	b, err := d.transport.Call(context.Background(), d.transport.Addr(), transport.KindUsageQuery, &query)
	must.NoError(t, err)
	var rows messages.UsageRows
	_, err = rows.UnmarshalMsg(b)
	must.NoError(t, err)
	must.Eq(t, []messages.UsageRow{{Window: window, Router: "r1", Counts: []messages.UsageCount{{Tenant: "x", Count: 3}}}}, rows.Rows)
}
