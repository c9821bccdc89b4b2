// Package router is the role that serves clients: it takes their requests, asks
// package admission for a runner, sends attempts to runners and streams the responses
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
// load, compare.go and recheck.go query controllers outside the tree, missing.go probes
// absent runners, leave.go shuts down by the plan of shutdown_plan.go.
//
// # Ownership of state
//
// Run starts a goroutine for each periodic task, for the subscription and for each
// server. A request belongs to the goroutine of the HTTP server that serves its
// connection; while it is queued that goroutine waits for its continuation in the
// slab, which is resumed by the goroutine of pump, or by that of a request of higher
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
	parts         map[int]messages.RegisterUpdate
	evacuations   map[int][]messages.Evacuation // by register
	configuration *routeconfig.Replica
	runners       *statesync.Entries // replica of the parent's list
	feedStats     stats

	up     dissemination.Subscriber
	parent atomic.Pointer[string]
	loads  loads

	admissionMu     sync.Mutex
	admission       *admission.Admitter
	budgets         map[string]*upstream.Budget
	slab            inflight.Slab[admission.Decision]
	queueChanged    chan struct{}
	prefixesPending chan struct{} // a runner has begun to prefill prefixes that others may share
	loadsChanged    chan struct{} // this node's loads have changed
	missing         chan struct{} // a runner was not at its address
	sent            sentAttempts
	movableStreams  sentAttempts               // streams that have begun and that another attempt may resume
	pendingConnects activeSet[*pendingConnect] // connections being established
	undelivered     sentAttempts               // begun, but the client has received no part of the response

	freshness    freshnessChecks
	comparisons  *dissemination.Comparisons
	core         coreMemory
	lastUpdateUs atomic.Int64 // when a parent that reaches the core last sent a feed

	trail    compliance.Trail
	seeds    atomic.Pointer[[]string]
	nodes    atomic.Int64
	informed atomic.Bool
	inFlight atomic.Int64
	front    atomic.Pointer[timedListener]

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
		connPool:        upstream.NewConnPool(clock),
		parts:           map[int]messages.RegisterUpdate{},
		evacuations:     map[int][]messages.Evacuation{},
		configuration:   routeconfig.NewReplica(),
		runners:         statesync.NewEntries(),
		admission:       newAdmitter(set, clock()),
		budgets:         map[string]*upstream.Budget{},
		queueChanged:    make(chan struct{}, 1),
		prefixesPending: make(chan struct{}, 1),
		loadsChanged:    make(chan struct{}, 1),
		missing:         make(chan struct{}, 1),
		comparisons:     dissemination.NewComparisons(rand.IntN(comparisonOrders)),
		drainBegun:      make(chan struct{}),
		finalPhase:      make(chan struct{}),
	}
	r.loads.init(clock())
	r.parent.Store(new(string))
	r.nodes.Store(1)
	r.seeds.Store(&set.Seeds)
	r.timeOfDay.Observe(time.Now().UnixMicro(), clock())
	r.joinTree()
	self := messages.Peer{Addr: set.RouterAddr(), Role: messages.Router, Zone: set.Zone, Node: set.Node}
	r.monitor = membership.NewMonitor(trans, self, clock, r.seedAddrs)
	if err := r.newClientsOfOthers(); err != nil {
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
	admitter.Bound = admission.WeightsBound{
		VersionUs:     int64(set.Bounds.VersionMs) * usPerMs,
		ContactLossUs: int64(set.Bounds.ContactMs) * usPerMs,
	}
	admitter.Contact(nowUs)
	warmup := admission.WarmupBounds{Overshoot: set.Bounds.ColdOvershoot, Slack: set.Bounds.ColdSlack}
	admitter.SetWarmup(set.RouterAddr(), warmup, nowUs)
	admitter.SetReturnCold(returnColdBeats * int64(set.BeatPeriodMs) * usPerMs)
	admitter.SetRegions(set.Zones)
	return admitter
}

// joinTree sets up this router's part of the relay tree: the subscription to its parent and the
// publisher for the routers below it.
func (r *Router) joinTree() {
	r.publisher = dissemination.NewPublisher(r.transport, dissemination.Upstream{
		DeltaSince:   r.deltaSince,
		ApplyReport:  r.applyReport,
		Unsubscribed: r.removeSender,
	})
	r.up.SyncState = r.syncState
	r.up.Parents = r.parents
	r.up.ApplyUpdate = r.receiveFeed
	r.up.Acked = r.loads.acknowledge
	r.up.ResendAll = r.resendLoads
	r.up.Unsubscribed = func(string) {}
	r.up.Counts = &r.counters.subscriptions
}

// Run serves until ctx ends and then shuts down gracefully.
func (r *Router) Run(ctx context.Context) error {
	live, stop := context.WithCancel(context.Background())
	defer r.transport.Close()
	defer stop()
	r.transport.Run(live)
	go r.monitor.Run(live)
	go r.up.Listen(live, r.transport)
	go loop.Every(live, r.convergeTime()/dissemination.ComparisonParts, r.compareVersions(live))
	go r.reportLoads(live)
	go loop.Every(live, time.Second, func() { r.connPool.Sweep(func(string) bool { return true }) })
	go loop.Every(live, forgetEvery, r.forgetUnlisted)
	go r.pump(live)
	go r.zones.Run(live)
	go r.probeAbsent(live)
	go loop.Every(live, quotaclient.SweepInterval, r.seeRouters)
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
	r.recordCutByLeaving()
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
		return append(r.seedAddrs(), r.wholeCore()...)
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
	t := r.table.Load()
	snap := r.registry.Snapshot()
	if t != nil {
		r.admission.SetRelinquished(t.Relinquished, r.clock())
		r.admission.SetRetired(t.Retired)
		r.retirements.observe(t.Retired, r.clock())
	}
	for service, notes := range snap.ByService {
		tokens, moveUs, links, coldPerS := 0, 0.0, 0, 0.0
		if t != nil {
			if s := t.Service(service); s != nil {
				tokens, links, coldPerS = s.Engine.CacheTokens, s.LinkLimit, s.ColdPerS
				if s.Engine.LinkMbps > 0 {
					moveUs = float64(s.Engine.TokenBytes) * 8 / float64(s.Engine.LinkMbps)
				}
			}
		}
		r.admission.SetService(service, notes, tokens, moveUs)
		r.admission.SetWarmups(service, coldPerS, r.clock())
		r.admission.SetLinks(service, links)
		r.admission.SetStores(service, storesFor(t, service))
		r.admission.SetCertified(service, certified(t, notes))
	}
	for _, name := range r.admission.Services() {
		if _, ok := snap.ByService[name]; !ok {
			r.admission.SetService(name, nil, 0, 0)
		}
	}
}

// certified returns the runners and stores that each regime allows, by regime and ID; nil if there
// are no regimes.
func certified(t *routeconfig.Table, notes []messages.RunnerRecord) map[string]map[string]bool {
	if t == nil || t.Policies.None() {
		return nil
	}
	out := map[string]map[string]bool{}
	for _, name := range t.Policies.Names() {
		out[name] = map[string]bool{}
		for _, n := range notes {
			if _, ok := t.Policies.Allows(name, sightOf(n)); ok {
				out[name][n.ID] = true
			}
		}
		for _, box := range t.Stores {
			if _, ok := t.Policies.Allows(name, compliance.Runner{ID: box.CacheStore, Service: box.Name, Zone: box.Zone}); ok {
				out[name][box.CacheStore] = true
			}
		}
	}
	return out
}

func sightOf(n messages.RunnerRecord) compliance.Runner {
	return compliance.Runner{ID: n.ID, Service: n.Service, Zone: n.Zone}
}

// storesFor returns the cache stores that the runners of a service may use: all stores with a
// link rate, if the service's engine supports cache transfers.
func storesFor(t *routeconfig.Table, service string) []admission.Store {
	if t == nil {
		return nil
	}
	s := t.Service(service)
	if s == nil || s.Engine.TokenBytes == 0 {
		return nil
	}
	var out []admission.Store
	for _, box := range t.Stores {
		if box.LinkMbps > 0 {
			out = append(out, admission.Store{ID: box.CacheStore, Addr: box.CacheStore, Zone: box.Zone, MoveUs: float64(s.Engine.TokenBytes) * 8 / float64(box.LinkMbps)})
		}
	}
	return out
}

// returnColdBeats is the number of heartbeat periods for which the runners of a zone count as cold
// after its evacuation has ended: by then their heartbeats have reported their state.
const returnColdBeats = 2

// forgetEvery is the interval at which runners that the parent no longer lists are removed.
const forgetEvery = 5 * time.Second

func (r *Router) wakeQueue() { signal(r.queueChanged) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// pump calls tick at every tickInterval while requests are queued.
func (r *Router) pump(ctx context.Context) {
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
	fresh := r.admission.HasFresh()
	r.admissionMu.Unlock()
	if fresh {
		signal(r.prefixesPending)
	}
	if len(decisions) > 0 {
		signal(r.loadsChanged)
	}
	for _, decision := range decisions {
		if r.slab.Resume(decision.Ref, decision) || decision.Admit == nil {
			continue
		}
		r.admissionMu.Lock()
		r.admission.Done(decision.Admit, true, r.clock())
		r.admissionMu.Unlock()
	}
}
