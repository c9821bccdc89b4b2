// Package router implements the role that serves clients: it receives their requests, has
// package admission choose a runner, sends attempts to runners and streams the responses
// back.
//
// # Inputs and guarantees
//
// New takes the settings, a pool of goroutines, a monotonic clock in microseconds and
// a logger. Configuration, runners, cached prefixes and loads arrive as feeds from a
// parent (package dissemination). Nothing is kept on disk. Run serves until its
// context ends and then shuts down gracefully.
//
//   - A request is sent to a second runner only if the first cannot have run it, or if
//     its route is repeatable; always within the route's tries, the deadline and the
//     retry budget.
//   - A response that means "not executed" (408, 421, 429, 503) reaches the client
//     only if no attempt can have run.
//   - Nothing is sent after the request's deadline, nor to a runner whose weights are
//     past the bound.
//
// # Concerns
//
// front.go checks a request, attempts.go makes its attempts, send.go each of them, responses.go streams the
// response, move.go resumes streams elsewhere, withdraw.go ends attempts,
// client_watch.go detects clients that disconnect, feed.go applies feeds, loads.go reports
// load, compare.go and recheck.go query controllers outside the tree, absent_runners.go probes
// absent runners, shutdown.go shuts down by the plan of shutdown_plan.go.
//
// # Ownership of state
//
// Run starts a goroutine for each periodic task, for the subscription and for each
// server. A request belongs to the goroutine of the HTTP server that serves its
// connection; while it is queued that goroutine waits for its continuation in the
// slab, which is resumed by the goroutine of runQueue, or by that of a request of higher
// priority that sheds it.
//
//   - The compiled configuration is immutable and swapped by an atomic pointer; a
//     request uses the one that it began with.
//   - A first mutex guards what was received: the replica of the configuration, the
//     parent's list of runners and the target versions by register.
//   - A second one guards the admitter, with its prefix index, and the retry budgets.
//   - A third one, inside loads, guards the loads of this node, of those below it and
//     of all.
//   - The registry, the connection pool, the slab, the attempts under way and the
//     audit trail guard themselves.
//
// If several of the first three are held, they are locked in this order. None is held
// while a runner or another node is called.
package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/admission"
	"beechtide.org/beechtide/internal/clocksync"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/inflight"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/memorybudget"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/router/quotaclient"
	"beechtide.org/beechtide/internal/router/usagereport"
	"beechtide.org/beechtide/internal/router/zoneping"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/statesync"
	"beechtide.org/beechtide/internal/transport"
	"beechtide.org/beechtide/internal/upstream"
)

// Router is the state of a running router.
type Router struct {
	set       settings.Settings
	log       logr.Logger
	clock     func() int64
	startUs   int64
	transport *transport.Transport
	monitor   *membership.Monitor
	publisher *dissemination.Publisher
	registry  *registry.Registry
	connPool  *upstream.ConnPool
	table     atomic.Pointer[routeconfig.Table]

	stateMu       sync.Mutex
	registers     map[int]messages.RegisterUpdate
	evacuations   map[int][]messages.Evacuation // by register
	configuration *routeconfig.Replica
	runners       *statesync.Entries // replica of the parent's list
	feedCounters  feedCounters

	subscriber dissemination.Subscriber
	parent     atomic.Pointer[string]
	loads      loads

	admissionMu     sync.Mutex
	admission       *admission.Admitter
	budgets         map[string]*upstream.RetryBudget
	slab            inflight.Slab[admission.Decision]
	queueChanged    chan struct{}
	prefixesPending chan struct{} // a runner has begun to prefill prefixes that others may share
	loadsChanged    chan struct{} // this node's loads have changed
	probesPending   chan struct{} // a runner was not at its address
	sent            sentAttempts
	movableStreams  sentAttempts               // streams that have begun and that another attempt may resume
	pendingConnects activeSet[*pendingConnect] // connections being established
	undelivered     sentAttempts               // begun, but the client has received no part of the response

	freshness    freshnessChecks
	comparisons  *dissemination.Comparisons
	core         coreHistory
	lastUpdateUs atomic.Int64 // when a parent that reaches the core last sent a feed

	trail           compliance.Trail
	seeds           atomic.Pointer[[]string]
	nodes           atomic.Int64 // number of routers, as estimated by fleetSize
	runnersReceived atomic.Bool
	inFlight        atomic.Int64
	front           atomic.Pointer[timedListener]

	shutdown   atomic.Pointer[shutdownPlan] // nil until SIGTERM
	drainBegun chan struct{}                // closed when shutdown is set
	finalPhase chan struct{}                // closed when requests without a response get their final one

	timeOfDay clocksync.Shared
	usage     *usagereport.Sender // nil if usage reporting is disabled
	quotas    *quotaclient.Client
	zones     *zoneping.Prober

	retirements retirements

	counters   counters
	lag        configLag
	majorityUs atomic.Int64 // when a majority of the core last confirmed the configuration
}

// usPerMs converts milliseconds into microseconds.
const usPerMs = int64(1000)

// comparisonOrders is the number of orders in which routers query the controllers. Each router
// chooses one at random, so that not all query the same controller at a time.
const comparisonOrders = 64

// New creates a router. It sends nothing and serves nothing before Run.
func New(set settings.Settings, pool *ants.Pool, clock func() int64, log logr.Logger) (*Router, error) {
	trans, err := transport.New(set.RouterAddr(), pool, log)
	if err != nil {
		return nil, errors.Wrap(err, "router: open the transport")
	}
	r := &Router{
		set:             set,
		log:             log,
		clock:           clock,
		startUs:         clock(),
		transport:       trans,
		registry:        registry.New(),
		connPool:        upstream.NewConnPool(clock, memorybudget.ForResponses(set.Limits.MemoryMb)),
		registers:       map[int]messages.RegisterUpdate{},
		evacuations:     map[int][]messages.Evacuation{},
		configuration:   routeconfig.NewReplica(),
		runners:         statesync.NewEntries(),
		admission:       newAdmitter(set, clock()),
		budgets:         map[string]*upstream.RetryBudget{},
		queueChanged:    make(chan struct{}, 1),
		prefixesPending: make(chan struct{}, 1),
		loadsChanged:    make(chan struct{}, 1),
		probesPending:   make(chan struct{}, 1),
		comparisons:     dissemination.NewComparisons(rand.IntN(comparisonOrders)),
		drainBegun:      make(chan struct{}),
		finalPhase:      make(chan struct{}),
	}
	r.loads.init(clock())
	r.parent.Store(new(string))
	r.nodes.Store(1)
	r.seeds.Store(&set.Seeds)
	r.timeOfDay.Observe(time.Now().UnixMicro(), clock())
	r.initDissemination()
	self := messages.Peer{Addr: set.RouterAddr(), Role: messages.Router, Zone: set.Zone, Node: set.Node}
	r.monitor = membership.NewMonitor(trans, self, clock, r.seedAddrs)
	if err := r.newPeerClients(); err != nil {
		return nil, err
	}
	trans.OnDatagram(transport.KindReachPing, r.zones.HandlePing)
	trans.OnDatagram(transport.KindReachAck, r.zones.HandleAck)
	trans.OnCall(transport.KindReach, r.answerReach)
	trans.OnCall(transport.KindQuotaUnowned, r.quotas.HandleBorrow)
	trans.OnCall(transport.KindCondition, func(context.Context, *transport.Conn, []byte) ([]byte, error) {
		condition := r.condition()
		return condition.MarshalMsg(nil)
	})
	return r, nil
}

// newAdmitter returns the admission control of a router with these settings.
func newAdmitter(set settings.Settings, nowUs int64) *admission.Admitter {
	admitter := admission.New(admission.Defaults, set.Zone, rand.Uint64())
	admitter.WeightsBound = admission.WeightsBound{
		VersionUs:     int64(set.Bounds.VersionMs) * usPerMs,
		ContactLossUs: int64(set.Bounds.ContactMs) * usPerMs,
	}
	admitter.RecordContact(nowUs)
	warmup := admission.WarmupBounds{Overshoot: set.Bounds.ColdOvershoot, Slack: set.Bounds.ColdSlack}
	admitter.SetWarmup(set.RouterAddr(), warmup, nowUs)
	admitter.SetReturnWarmup(returnColdBeats * int64(set.BeatPeriodMs) * usPerMs)
	admitter.SetRegions(set.Zones)
	return admitter
}

// initDissemination sets up this router's part of the relay tree: the subscription to its parent
// and the publisher for the routers below it.
func (r *Router) initDissemination() {
	r.publisher = dissemination.NewPublisher(r.transport, dissemination.PublisherCallbacks{
		DeltaSince:   r.deltaSince,
		ApplyReport:  r.applyReport,
		Unsubscribed: r.removeSender,
	})
	r.subscriber.SyncState = r.syncState
	r.subscriber.Parents = r.parents
	r.subscriber.ApplyUpdate = r.receiveFeed
	r.subscriber.Acked = r.loads.acknowledge
	r.subscriber.ResendAll = r.resendLoads
	r.subscriber.Unsubscribed = func(string) {}
	r.subscriber.Counts = &r.counters.subscriptions
}

// Run serves until ctx ends and then shuts down gracefully.
func (r *Router) Run(ctx context.Context) error {
	live, stop := context.WithCancel(context.Background())
	defer r.transport.Close()
	defer stop()
	r.transport.Run(live)
	go r.monitor.Run(live)
	go r.subscriber.Listen(live, r.transport)
	go loop.Every(live, r.convergeTime()/dissemination.ComparisonIntervalDivisor, r.compareVersions(live))
	go r.reportLoads(live)
	go loop.Every(live, time.Second, func() { r.connPool.Sweep(func(string) bool { return true }) })
	go loop.Every(live, unlistedSweepInterval, r.removeUnlisted)
	go r.runQueue(live)
	go r.zones.Run(live)
	go r.probeAbsent(live)
	go loop.Every(live, quotaclient.SweepInterval, r.updateLiveRouters)
	go loop.Every(live, withdrawInterval, r.withdrawFromOldWeights)
	go r.metricsServer().Run(live)
	if r.usage != nil {
		go loop.Every(live, timeOfDayPeriod, func() { r.timeOfDay.Observe(time.Now().UnixMicro(), r.clock()) })
		go r.usage.Run(live)
		defer r.usage.Flush()
	}
	failed := make(chan error, 2)
	go func() { failed <- r.serveReady() }()
	for r.table.Load() == nil {
		select {
		case <-time.After(20 * time.Millisecond):
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
	go func() { failed <- r.serveFront(live) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	r.shutDown()
	r.recordCutByShutdown()
	return nil
}

// zoneParentWaitUs is the time that a starting router waits for a controller of its own zone to
// appear in the membership. All routers have the same few seeds: if hundreds that start at once
// fetched their first snapshot from these, and another one from their own zone a moment later, the
// snapshots would saturate the seeds' links for seconds.
const zoneParentWaitUs = 400_000

// waitsForZone reports whether a starting router still waits for a controller of its zone.
func waitsForZone(uptimeUs int64, zone string, controllers []messages.Peer) bool {
	inZone := func(p messages.Peer) bool { return p.Zone == zone }
	return uptimeUs < zoneParentWaitUs && !slices.ContainsFunc(controllers, inZone)
}

// parents returns the nodes to which this router may subscribe, the preferred one first; none
// while it waits for a controller of its zone.
func (r *Router) parents() []string {
	controllers := r.monitor.Alive(messages.Controller)
	if waitsForZone(r.clock()-r.startUs, r.set.Zone, controllers) {
		return nil
	}
	list := dissemination.Parents(r.transport.Addr(), r.set.Zone, controllers, r.monitor.Alive(messages.Router))
	if len(list) == 0 {
		return append(r.seedAddrs(), r.allCoreAddrs()...)
	}
	return list
}

// Reload applies the settings that may change in a running process: the seeds.
func (r *Router) Reload(set settings.Settings) { r.seeds.Store(&set.Seeds) }

func (r *Router) seedAddrs() []string {
	set := r.set
	set.Seeds = *r.seeds.Load()
	return set.SeedAddrs()
}

// syncAdmission updates the admission control from the current configuration and registry. Feeds
// may be applied concurrently; both are read with the admission lock held, so that the last call
// to acquire it applies the newest state.
func (r *Router) syncAdmission() {
	r.loads.markAllChanged()
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	table := r.table.Load()
	snap := r.registry.Snapshot()
	if table != nil {
		r.admission.SetRelinquished(table.RelinquishUsByZone, r.clock())
		r.admission.SetRetired(table.MinWeightsVersionByModel)
		r.retirements.observe(table.MinWeightsVersionByModel, r.clock())
	}
	for service, records := range snap.ByService {
		tokens, moveUs, links, coldPerS := 0, 0.0, 0, 0.0
		if table != nil {
			if svc := table.Service(service); svc != nil {
				tokens, links, coldPerS = svc.Engine.CacheTokens, svc.LinkLimit, svc.ColdPerS
				if svc.Engine.LinkMbps > 0 {
					moveUs = float64(svc.Engine.TokenBytes) * 8 / float64(svc.Engine.LinkMbps)
				}
			}
		}
		r.admission.SetService(service, records, tokens, moveUs)
		r.admission.SetWarmupRate(service, coldPerS, r.clock())
		r.admission.SetConnectionLimit(service, links)
		r.admission.SetStores(service, storesFor(table, service))
		r.admission.SetCertified(service, certifiedByRegime(table, records))
	}
	for _, name := range r.admission.Services() {
		if _, ok := snap.ByService[name]; !ok {
			r.admission.SetService(name, nil, 0, 0)
		}
	}
}

// certifiedByRegime returns the runners and stores that each regime allows, by regime and ID; nil if there
// are no regimes.
func certifiedByRegime(table *routeconfig.Table, records []messages.RunnerRecord) map[string]map[string]bool {
	if table == nil || table.Policies.IsEmpty() {
		return nil
	}
	out := map[string]map[string]bool{}
	for _, name := range table.Policies.RegimeNames() {
		out[name] = map[string]bool{}
		for _, record := range records {
			if _, ok := table.Policies.Allows(name, complianceRunner(record)); ok {
				out[name][record.ID] = true
			}
		}
		for _, store := range table.CacheStoreServices {
			if _, ok := table.Policies.Allows(name, compliance.Runner{ID: store.CacheStore, Service: store.Name, Zone: store.Zone}); ok {
				out[name][store.CacheStore] = true
			}
		}
	}
	return out
}

func complianceRunner(record messages.RunnerRecord) compliance.Runner {
	return compliance.Runner{ID: record.ID, Service: record.Service, Zone: record.Zone}
}

// storesFor returns the cache stores that the runners of a service may use: all stores with a
// link rate, if the service's engine supports cache transfers.
func storesFor(table *routeconfig.Table, service string) []admission.Store {
	if table == nil {
		return nil
	}
	svc := table.Service(service)
	if svc == nil || svc.Engine.TokenBytes == 0 {
		return nil
	}
	var out []admission.Store
	for _, store := range table.CacheStoreServices {
		if store.LinkMbps > 0 {
			out = append(out, admission.Store{ID: store.CacheStore, Addr: store.CacheStore, Zone: store.Zone, TransferUsPerToken: float64(svc.Engine.TokenBytes) * 8 / float64(store.LinkMbps)})
		}
	}
	return out
}

// returnColdBeats is the number of heartbeat periods for which the runners of a zone count as cold
// after its evacuation has ended: by then their heartbeats have reported their state.
const returnColdBeats = 2

// unlistedSweepInterval is the interval at which runners that the parent no longer lists are removed.
const unlistedSweepInterval = 5 * time.Second

func (r *Router) wakeQueue() { signal(r.queueChanged) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// runQueue calls tick every tickInterval while requests are queued.
func (r *Router) runQueue(ctx context.Context) {
	for {
		select {
		case <-r.queueChanged:
		case <-ctx.Done():
			return
		}
		for r.tick(); r.slab.Len() > 0; r.tick() {
			time.Sleep(tickInterval)
		}
	}
}

// tickInterval is the interval of decisions on queued requests.
const tickInterval = 8 * time.Millisecond

// tick resumes the queued requests on which the admission control has decided. If a request is no
// longer waiting, its reservation is released.
func (r *Router) tick() {
	r.admissionMu.Lock()
	decisions := r.admission.Tick(r.clock())
	fresh := r.admission.HasExpectedPrefixes()
	r.admissionMu.Unlock()
	if fresh {
		signal(r.prefixesPending)
	}
	if len(decisions) > 0 {
		signal(r.loadsChanged)
	}
	for _, decision := range decisions {
		if r.slab.Resume(decision.Ref, decision) || decision.Admission == nil {
			continue
		}
		r.admissionMu.Lock()
		r.admission.Release(decision.Admission, true, r.clock())
		r.admissionMu.Unlock()
	}
}
