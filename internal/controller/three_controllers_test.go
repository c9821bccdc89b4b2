package controller

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
)

// startThreeControllers starts a core of three controllers on loopback addresses and waits until
// each has contact with the others and serves its control address. skipUs is added to the clock of
// the first.
func startThreeControllers(t *testing.T) (nodes []*Controller, url string, skipUs *atomic.Int64) {
	t.Helper()
	port, began := freePort(t), time.Now()
	skipUs = &atomic.Int64{}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", i+1, port+2))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 3 {
		set := settings.Settings{Node: fmt.Sprint("n", i), Ip: fmt.Sprintf("127.0.0.%d", i+1), Zone: "a", Ports: []int{port, port + 1}, Seeds: seeds, Bootstrap: true, BeatPeriodMs: 1000}
		set.Listen.Control = seeds[i]
		set.Bounds.LeaseMs = 3000
		pool, err := ants.NewPool(64, ants.WithNonblocking(true))
		must.NoError(t, err)
		clock := func() int64 { return time.Since(began).Microseconds() + 1 }
		if i == 0 {
			clock = func() int64 { return time.Since(began).Microseconds() + 1 + skipUs.Load() }
		}
		d, err := New(set, pool, clock, logr.Discard())
		must.NoError(t, err)
		nodes = append(nodes, d)
		go func() { _ = d.Run(ctx) }()
	}
	for _, d := range nodes {
		waitUntil(t, func() bool {
			return d.inContact() && len(membership.CountedControllers(d.monitor.Alive(messages.Controller))) == len(nodes)
		})
	}
	for _, control := range seeds {
		waitUntil(t, func() bool { return listens(control) })
	}
	return nodes, "http://" + seeds[0], skipUs
}

// listens reports whether a server accepts connections at an address.
func listens(addr string) bool {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// waitUntil polls a condition until it is true, bounded by the timeout of the test.
func waitUntil(t *testing.T, reached func() bool) {
	t.Helper()
	for !reached() {
		select {
		case <-t.Context().Done():
			t.Fatal("the test has ended")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// When a runner receives the acknowledgement of its draining or leaving, all other controllers have
// recorded it.
func TestAcknowledgedDrainIsRecordedByAllControllers(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	waitUntil(t, func() bool {
		status, _ := call(t, "GET", url+"/api/Config.Read", "", 0)
		return status == 404
	})
	for i := range 20 {
		id := fmt.Sprint("i-", i)
		beat := fmt.Sprintf(`{"service":"s","address":"1.2.3.4:%d","zone":"a","version":"v1","capacity":4,"state":%q,"coldLeftMs":0,"sequence":%d}`, 100+i, "draining", 7)
		status, _ := call(t, "POST", url+"/api/Runners.Heartbeat/"+id, beat, 0)
		must.Eq(t, 200, status)
		for _, d := range nodes {
			n, ok := d.registry.Record(id)
			must.True(t, ok)
			must.True(t, n.Draining)
		}
		status, _ = call(t, "POST", url+"/api/Runners.Leave/"+id, "", 0)
		must.Eq(t, 200, status)
		for _, d := range nodes {
			n, _ := d.registry.Record(id)
			must.True(t, n.Gone)
		}
	}
}

// The comparison of versions alone renews the contact lease, also after the process was suspended.
func TestVersionComparisonRenewsContactLease(t *testing.T) {
	nodes, _, skipUs := startThreeControllers(t)
	waitUntil(t, func() bool { return !nodes[0].starting() })
	skipUs.Add(2 * lease.ContactUs)
	waitUntil(t, nodes[0].inContact)
	must.False(t, nodes[0].cutOff())
}

// A heartbeat that changes nothing in the record and did not reach a controller is transferred by
// the comparison of versions once the runner is silent at that controller.
func TestVersionComparisonTransfersHeartbeatsOfSilentRunners(t *testing.T) {
	nodes, _, skipUs := startThreeControllers(t)
	cutOff, other := nodes[0], nodes[1]
	record := messages.RunnerRecord{ID: "x", Service: "s", Addr: "1.2.3.4:1", Capacity: 4, Seq: 1}
	for _, d := range nodes {
		d.registry.ApplyHeartbeat(record, d.clock())
	}
	isPublished := func() bool {
		other.feed.mu.Lock()
		defer other.feed.mu.Unlock()
		_, published := other.feed.registry.Get("x")
		return published
	}
	waitUntil(t, isPublished)
	record.Seq = 2
	must.False(t, other.registry.ApplyHeartbeat(record, other.clock()))
	skipUs.Add(cutOff.silenceLimits().QueryUs)
	first := []messages.LastHeartbeat{{ID: "x", Seq: 1}}
	waitUntil(t, func() bool { return len(cutOff.registry.LaterHeartbeats(first, cutOff.clock())) == 1 })
	known, _ := cutOff.registry.Record("x")
	must.Eq(t, 1, known.Seq, must.Sprint("the record itself is not transferred"))
}
