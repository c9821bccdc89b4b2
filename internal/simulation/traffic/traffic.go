// Package traffic simulates requests from many routers to runners that they share.
//
// Every router has its own admission.Admitter, the production code of the router role. It
// has exact data on its own requests, and delayed data on those of the other routers: the
// sum of their loads every LoadInterval, LoadDelay old, and notices of prefixes that a
// runner is about to cache, NoticeDelay old. Runners are modelled: they prefill prompts
// sequentially, decode several requests at once, and report their load once a second. The
// only fault is a partition between a zone and the others (Cut). The deviation from a real
// fleet is unknown: use the figures to compare designs, or sizes of one design.
//
// A simulation runs on one goroutine; the same options and seed give the same result. The
// command traffic and the tests of this package run it.
package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/simulation"
)

// Class is a kind of request. Its prompt has a head shared by many requests, a body shared
// by the requests for one subject, and a unique part (own).
type Class struct {
	Name             string
	Share            float64 // of all requests
	Heads            int     // different heads
	Subjects         int     // different bodies
	HeadTokens       int
	BodyTokens       int
	OwnTokens        int // mean of a log-normal distribution
	OutTokens        int
	FirstTokenTarget time.Duration // target of the time to the first token
	Deadline         time.Duration
}

// Options are the size of a fleet, its requests, and the delays of the data that routers
// exchange.
type Options struct {
	Routers, Runners  int
	RequestsPerSecond float64
	Duration          time.Duration // of the arrival of requests
	LoadInterval      time.Duration
	LoadDelay         time.Duration
	NoticeDelay       time.Duration
	Classes           []Class
	Cut               Cut
}

// Validate reports the first option that cannot be simulated.
func (o *Options) Validate() error {
	switch {
	case o.Routers < 1 || o.Routers > maxSize:
		return errors.Errorf("routers: %d is not from 1 to %d", o.Routers, maxSize)
	case o.Runners < 1 || o.Runners > maxSize:
		return errors.Errorf("runners: %d is not from 1 to %d", o.Runners, maxSize)
	case !(o.RequestsPerSecond > 0) || math.IsInf(o.RequestsPerSecond, 0):
		return errors.Errorf("rate: %v is not a positive number", o.RequestsPerSecond)
	case o.Duration <= 0 || o.LoadInterval <= 0:
		return errors.New("duration and load-interval must be positive")
	case o.LoadDelay < 0 || o.NoticeDelay < 0:
		return errors.New("load-delay and notice-delay must not be negative")
	case o.Cut.Zone != "" && !slices.Contains(zones, o.Cut.Zone):
		return errors.Errorf("cut: %q is none of the zones %v", o.Cut.Zone, zones)
	case o.Cut.From < 0 || o.Cut.For < 0:
		return errors.New("the times of a cut must not be negative")
	case len(o.Classes) == 0:
		return errors.New("classes: none")
	}
	return nil
}

// maxSize bounds the number of routers and that of runners, as memory use grows with their
// product.
const maxSize = 2000

// Parameters of the modelled runners and of the data that routers receive about them.
const (
	runnerCapacity     = 16      // requests at once
	runnerMemoryTokens = 232_000 // of the cache
	prefillTokensPerUs = 0.0387  // prefilled tokens per microsecond
	slowRunnerEvery    = 3       // one of this many runners is slower
	slowRunnerFactor   = 1.3
	decodeTokenUs      = 6_000  // duration of a token while nothing is prefilled
	chunkUs            = 60_000 // duration of a token and the chunk that is prefilled with it
	attentionPairUs    = 0.000737
	transferStartUs    = 3_000
	transferTokenUs    = 2.4
	reportIntervalUs   = 1_000_000
	reportDelayUs      = 300_000
	eventDelayUs       = 400_000 // until the routers learn of a cached part
	queueTickUs        = 8_000   // interval at which a router processes its queue
	settleUs           = 5_000_000
	service, model     = "service", "model"
	tenants            = 190
	maxOwnFactor       = 14
)

var zones = []string{"a", "b", "c", "d", "e"}

// fleet is the state of one simulation run.
type fleet struct {
	options      Options
	random       *rand.Rand
	kernel       *simulation.Kernel
	endUs        int64 // of the arrival of requests
	routers      []*admission.Admitter
	runners      []*runner
	byAddr       map[string]*runner
	slab         inflight.Slab[admission.Decision]
	queued       map[inflight.Ref]*request
	requestCount int64
	result       Result
}

type request struct {
	class             int
	router            int
	arrivedUs         int64
	decided           bool
	failedConnections int // failed connections
	admission.Request
	admitted *admission.Admission
}

// Run simulates a fleet and returns the measured result.
func Run(options Options, seed uint64) Result {
	f := &fleet{
		options: options, kernel: simulation.NewKernel(seed, false), random: rand.New(rand.NewPCG(seed, 0)), endUs: options.Duration.Microseconds(),
		byAddr: map[string]*runner{}, queued: map[inflight.Ref]*request{}, result: newResult(options),
	}
	f.build()
	f.startPings()
	f.kernel.After(0, f.arrive)
	f.kernel.After(options.LoadInterval.Microseconds(), f.publishLoads)
	f.kernel.After(reportIntervalUs, f.publishReports)
	f.kernel.RunUntil(f.endUs + settleUs)
	for _, r := range f.runners {
		f.result.Arrivals = append(f.result.Arrivals, r.arrivals)
	}
	return f.result
}

// build creates the routers and the runners.
func (f *fleet) build() {
	var records []messages.RunnerRecord
	for i := range f.options.Runners {
		id := fmt.Sprintf("runner-%08x", f.random.Uint32())
		r := newRunner(id, i%slowRunnerEvery == slowRunnerEvery-1)
		record := messages.RunnerRecord{ID: id, Service: service, Addr: id + ":1", Zone: zones[i%len(zones)], Capacity: runnerCapacity, Models: []messages.Target{{Model: model, Version: 1}}}
		records = append(records, record)
		f.runners, f.byAddr[record.Addr] = append(f.runners, r), r
	}
	for i := range f.options.Routers {
		a := admission.New(admission.Defaults, f.zoneOf(i), uint64(i))
		a.SetNodes(f.options.Routers)
		a.SetService(service, records, runnerMemoryTokens, transferTokenUs)
		f.routers = append(f.routers, a)
	}
}

// arrive submits one request to a random router and schedules the next arrival.
func (f *fleet) arrive() {
	if f.kernel.NowUs() > f.endUs {
		return
	}
	f.kernel.After(int64(f.random.ExpFloat64()*1e6/f.options.RequestsPerSecond), f.arrive)
	r := f.newRequest()
	f.result.Classes[r.class].Sent++
	sent, _ := f.partitionCounters(r.arrivedUs)
	*sent++
	decision := f.routers[r.router].Submit(r.Request, f.kernel.NowUs())
	f.decide(r, decision)
	f.publishExpectedPrefixes(r.router)
}

func (f *fleet) newRequest() *request {
	class, x := 0, f.random.Float64()
	for class < len(f.options.Classes)-1 && x >= f.options.Classes[class].Share {
		x -= f.options.Classes[class].Share
		class++
	}
	c := f.options.Classes[class]
	subject := f.random.IntN(c.Subjects)
	own := f.ownTokens(c)
	f.requestCount++
	return &request{
		class: class, router: f.random.IntN(f.options.Routers), arrivedUs: f.kernel.NowUs(),
		Request: admission.Request{
			Ref: f.slab.Store(func(admission.Decision) {}), Service: service, Model: model,
			Tenant:   fmt.Sprint("tenant-", f.random.IntN(tenants)),
			TokensIn: c.HeadTokens + c.BodyTokens + own, TokensOut: c.OutTokens,
			SetpointUs: c.FirstTokenTarget.Microseconds(), TimeLeftUs: c.Deadline.Microseconds(),
			Parts: []prefixindex.Part{
				{ID: fmt.Sprintf("%s/head-%d", c.Name, subject%c.Heads), Tokens: c.HeadTokens},
				{ID: fmt.Sprintf("%s/body-%d", c.Name, subject), Tokens: c.BodyTokens},
				{ID: fmt.Sprintf("%s/own-%d", c.Name, f.requestCount), Tokens: own},
			},
		},
	}
}

// ownTokens draws from a log-normal distribution, bounded by maxOwnFactor times its mean.
func (f *fleet) ownTokens(c Class) int {
	factor := math.Exp(f.random.NormFloat64() - 0.5)
	return max(int(float64(c.OwnTokens)*min(factor, maxOwnFactor)), 1)
}

// decide executes a decision of a router: it queues, rejects or sends the request.
func (f *fleet) decide(r *request, decision admission.Decision) {
	if decision.Queued {
		f.queued[r.Ref] = r
		f.result.Queued++
		f.kernel.After(queueTickUs, func() { f.tickQueue(r) })
		return
	}
	if r.decided {
		f.result.DecidedTwice++
	}
	r.decided = true
	f.slab.Resume(r.Ref, decision)
	if decision.Admission == nil {
		f.result.Classes[r.class].Rejected++
		return
	}
	r.admitted = decision.Admission
	if f.separated(f.zoneOf(r.router), decision.Admission.Runner.Zone) {
		f.failConnection(r)
		return
	}
	f.byAddr[decision.Admission.Runner.Addr].enqueue(f, r)
}

// tickQueue processes the queue of a router periodically while r waits in it.
func (f *fleet) tickQueue(r *request) {
	if f.queued[r.Ref] == nil {
		return
	}
	for _, decision := range f.routers[r.router].Tick(f.kernel.NowUs()) {
		decided := f.queued[decision.Ref]
		delete(f.queued, decision.Ref)
		f.decide(decided, decision)
	}
	f.publishExpectedPrefixes(r.router)
	if f.queued[r.Ref] != nil {
		f.kernel.After(queueTickUs, func() { f.tickQueue(r) })
	}
}
