package traffic

import (
	"slices"
	"time"

	"beechtide.org/beechtide/internal/reachability"
)

// Cut is a partition between one zone and the others. Connections across it do not come up, and
// pings get no answer; requests that were sent before are answered.
type Cut struct {
	Zone string // empty: there is no cut
	From time.Duration
	For  time.Duration
	// Unaware has routers find out for each runner by itself, as without package reachability.
	Unaware bool
}

const (
	// connectWaitUs is how long a connection that does not come up takes.
	connectWaitUs = 700_000
	// maxUnsent bounds how many runners are tried whose connections do not come up.
	maxUnsent = 4
	// pingTickUs is how often routers look at their pings, pingUs how long an answer takes.
	pingTickUs = 50_000
	pingUs     = 2_000
	// noticeUs is after how long requests are no longer late for a partition that began a
	// moment ago.
	noticeUs = 1_500_000
	// maxPingNodes is how many routers of a zone another one knows.
	maxPingNodes = 10
)

// cutNow reports whether the partition is in force.
func (f *fleet) cutNow() bool {
	c, nowUs := f.options.Cut, f.kernel.NowUs()
	return c.Zone != "" && nowUs >= c.From.Microseconds() && nowUs < (c.From+c.For).Microseconds()
}

// separated reports whether two zones are on different sides now.
func (f *fleet) separated(one, other string) bool {
	return f.cutNow() && (one == f.options.Cut.Zone) != (other == f.options.Cut.Zone)
}

func (f *fleet) zoneOf(router int) string { return zones[router%len(zones)] }

// watchZones has every router ping the other zones.
func (f *fleet) watchZones() {
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

// ping sends the pings that are due, and has the router go by what is known.
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

// connect tries a runner beyond the partition: after a while the request looks for another one.
func (f *fleet) connect(r *request) {
	f.kernel.After(connectWaitUs, func() {
		f.routers[r.router].Release(r.admitted, false, f.kernel.NowUs())
		r.unsent++
		r.TimeLeftUs = r.arrivedUs + f.options.Classes[r.class].Deadline.Microseconds() - f.kernel.NowUs()
		if r.unsent >= maxUnsent || r.TimeLeftUs <= 0 {
			f.result.Classes[r.class].Rejected++
			return
		}
		r.ExcludedRunners = append(slices.Clone(r.ExcludedRunners), r.admitted.Runner.ID)
		r.decided = false
		f.decide(r, f.routers[r.router].Submit(r.Request, f.kernel.NowUs()))
	})
}

// CutResult is what became of the requests that arrived during the partition, from noticeUs
// after its begin, and in the 3 s that began 3 s after its end.
type CutResult struct {
	Sent, InAim           int
	AfterSent, AfterInAim int
}

// phase returns where the counts of a request belong, by its arrival.
func (f *fleet) phase(arrivedUs int64) (sent, inAim *int) {
	c := f.options.Cut
	fromUs, toUs := c.From.Microseconds(), (c.From + c.For).Microseconds()
	const restUs, countedUs = 3_000_000, 3_000_000
	switch {
	case c.Zone == "":
	case arrivedUs >= fromUs+noticeUs && arrivedUs < toUs:
		return &f.result.Cut.Sent, &f.result.Cut.InAim
	case arrivedUs >= toUs+restUs && arrivedUs < toUs+restUs+countedUs:
		return &f.result.Cut.AfterSent, &f.result.Cut.AfterInAim
	}
	return new(int), new(int)
}

// ShareInAim is the share of the requests that arrived during the partition whose first token
// came in time.
func (c *CutResult) ShareInAim() float64 { return float64(c.InAim) / float64(max(c.Sent, 1)) }

// AfterInAimShare is the same for those that arrived after it.
func (c *CutResult) AfterInAimShare() float64 {
	return float64(c.AfterInAim) / float64(max(c.AfterSent, 1))
}
