package traffic

import (
	"slices"
	"time"

	"beechtide.org/beechtide/internal/reachability"
)

// Cut is a network partition between one zone and the others. Connections across it cannot be
// established and pings are lost; requests sent before it still complete.
type Cut struct {
	Zone string // empty: no partition
	From time.Duration
	For  time.Duration
	// Unaware disables pings between zones, so that routers detect each unreachable runner
	// separately, as without package reachability.
	Unaware bool
}

const (
	// connectTimeoutUs is the time until an attempt to connect across the partition fails.
	connectTimeoutUs = 700_000
	// maxFailedConnections is the number of failed connections after which a request is rejected.
	maxFailedConnections = 4
	// pingTickUs is the interval at which routers process their pings, pingUs the round-trip time.
	pingTickUs = 50_000
	pingUs     = 2_000
	// detectionUs is the time from the start of a partition until its detection no longer delays
	// requests.
	detectionUs = 1_500_000
	// maxPingNodes is the number of routers of each other zone that a router can ping.
	maxPingNodes = 10
)

// partitionActive reports whether the partition exists at the current time.
func (f *fleet) partitionActive() bool {
	c, nowUs := f.options.Cut, f.kernel.NowUs()
	return c.Zone != "" && nowUs >= c.From.Microseconds() && nowUs < (c.From+c.For).Microseconds()
}

// separated reports whether the partition separates two zones at the current time.
func (f *fleet) separated(one, other string) bool {
	return f.partitionActive() && (one == f.options.Cut.Zone) != (other == f.options.Cut.Zone)
}

func (f *fleet) zoneOf(router int) string { return zones[router%len(zones)] }

// startPings makes every router ping the other zones.
func (f *fleet) startPings() {
	if f.options.Cut.Zone == "" || f.options.Cut.Unaware {
		return
	}
	for router := range f.routers {
		tracker := reachability.NewTracker(reachability.DefaultConfig, f.random.IntN)
		nodes := map[string][]string{}
		for _, zone := range zones {
			if zone != f.zoneOf(router) {
				for n := range maxPingNodes {
					nodes[zone] = append(nodes[zone], zone+string(rune('0'+n)))
				}
			}
		}
		tracker.SetNodes(nodes)
		f.kernel.After(f.kernel.Between(0, pingTickUs), func() { f.ping(router, tracker) })
	}
}

// ping sends the pings that are due and updates the router's unreachable zones.
func (f *fleet) ping(router int, tracker *reachability.Tracker) {
	if f.kernel.NowUs() > f.endUs+settleUs {
		return
	}
	for _, p := range tracker.Tick(f.kernel.NowUs()) {
		zone := p.To[:1]
		if !f.separated(f.zoneOf(router), zone) {
			f.kernel.After(pingUs, func() { tracker.RecordAck(zone, p.Seq, f.kernel.NowUs()) })
		}
	}
	f.routers[router].SetUnreachable(tracker.Unreachable(), f.kernel.NowUs())
	f.kernel.After(pingTickUs, func() { f.ping(router, tracker) })
}

// failConnection simulates a connection attempt across the partition: after the timeout the router
// submits the request again without this runner, or rejects it.
func (f *fleet) failConnection(r *request) {
	f.kernel.After(connectTimeoutUs, func() {
		f.routers[r.router].Release(r.admitted, false, f.kernel.NowUs())
		r.failedConnections++
		r.TimeLeftUs = r.arrivedUs + f.options.Classes[r.class].Deadline.Microseconds() - f.kernel.NowUs()
		if r.failedConnections >= maxFailedConnections || r.TimeLeftUs <= 0 {
			f.result.Classes[r.class].Rejected++
			return
		}
		r.ExcludedRunners = append(slices.Clone(r.ExcludedRunners), r.admitted.Runner.ID)
		r.decided = false
		f.decide(r, f.routers[r.router].Submit(r.Request, f.kernel.NowUs()))
	})
}

// CutResult counts the requests that arrived during the partition, from detectionUs after its
// start, and those (After) that arrived in the 3 s that began 3 s after its end.
type CutResult struct {
	Sent, OnTime           int
	AfterSent, AfterOnTime int
}

// partitionCounters returns the counters for a request with this arrival time.
func (f *fleet) partitionCounters(arrivedUs int64) (sent, onTime *int) {
	c := f.options.Cut
	fromUs, toUs := c.From.Microseconds(), (c.From + c.For).Microseconds()
	const restUs, countedUs = 3_000_000, 3_000_000
	switch {
	case c.Zone == "":
	case arrivedUs >= fromUs+detectionUs && arrivedUs < toUs:
		return &f.result.Cut.Sent, &f.result.Cut.OnTime
	case arrivedUs >= toUs+restUs && arrivedUs < toUs+restUs+countedUs:
		return &f.result.Cut.AfterSent, &f.result.Cut.AfterOnTime
	}
	return new(int), new(int)
}

// OnTimeShare returns the share of the requests that arrived during the partition whose first
// token was on time.
func (c *CutResult) OnTimeShare() float64 { return float64(c.OnTime) / float64(max(c.Sent, 1)) }

// AfterOnTimeShare returns the same share for the requests that arrived after the partition.
func (c *CutResult) AfterOnTimeShare() float64 {
	return float64(c.AfterOnTime) / float64(max(c.AfterSent, 1))
}
