// Package standin is a stand-in for a model runner: it implements the runner's side of
// the protocol and generates its responses without a model. It also has a stand-in for
// the platform's API. Tests, the load generator and the soak command use it.
//
// A Runner accepts requests on its own address, sends heartbeats to controllers, executes
// orders to load weights, and reports its load and its cached prompt parts. The durations
// of prefill and of each token are configured. Config.OnRun is called when a request
// begins to run and again when it has ended, so that a caller can compare the requests
// that ran with the responses that clients received.
//
// A Runner is safe for concurrent use. Start begins its goroutines; Crash and Leave end
// them. A Runner isn't started twice: every start of a runner is a new incarnation with
// an id of its own.
package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/loop"
)

// Config configures a runner. Zero values are replaced by defaults.
type Config struct {
	Service         string
	Zone            string
	SoftwareVersion string
	Listen          string   // address to accept requests on; port 0 for any
	Advertise       string   // address sent in heartbeats; empty: the one listened on
	Controllers     []string // control addresses for heartbeats
	// Translate returns the address to dial for a control address; nil: the same address.
	// Tests use it to route heartbeats through proxies.
	TranslateAddress  func(address string) string
	ProbePath         string
	Capacity          int // requests that run at a time
	QueueLength       int // requests that wait for a slot
	Model             string
	WeightsVersion    int64
	CacheTokens       int
	HeartbeatInterval time.Duration
	PrefillTime       time.Duration // from the start of a request to its first token
	TokenTime         time.Duration // between two tokens of a stream
	WorkTime          time.Duration // duration of a request that isn't a generation
	WeightsLoadTime   time.Duration // to load other weights
	DrainTime         time.Duration // requests are still served this long after draining is acknowledged
	OnRun             func(Run)
	OnOrder           func(Order)
}

// Run is one request that a runner began to run. It is passed to Config.OnRun when it
// begins and again, with Ended set, when it has ended.
type Run struct {
	Attempt  string
	Runner   string
	Service  string
	Path     string
	Tenant   string
	Seal     string
	Checksum uint32 // of the request's body
	Began    time.Time
	Ended    time.Time
	Finished bool // the whole response was written
	Resumed  bool // the request had a Last-Event-Id
}

// Defaults of the configuration.
const (
	defaultCapacity          = 8
	defaultQueueLength       = 4
	defaultCacheTokens       = 100000
	defaultHeartbeatInterval = time.Second
	defaultPrefillTime       = 20 * time.Millisecond
	defaultTokenTime         = 10 * time.Millisecond
	defaultWorkTime          = 10 * time.Millisecond
	defaultWeightsLoadTime   = 500 * time.Millisecond
	defaultDrainTime         = 2 * time.Second
	defaultProbePath         = "/health"
	defaultModel             = "standin"
)

// Runner is one incarnation of a stand-in runner.
type Runner struct {
	config   Config
	id       string
	began    time.Time
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	loops    sync.WaitGroup
	slots    chan struct{}
	weights  *weights
	cache    *cache

	mu              sync.Mutex
	active          int
	queued          int
	draining        bool
	sequence        int64 // of heartbeats
	seals           int64
	heartbeatTarget string

	announcing sync.Mutex // held for a periodic heartbeat and for the leave; guards left
	left       bool
}

// New returns a runner that isn't started yet.
func New(config Config) *Runner {
	config.setDefaults()
	return &Runner{
		config:  config,
		id:      fmt.Sprintf("i-%08x", rand.Uint32()),
		began:   time.Now(),
		slots:   make(chan struct{}, config.Capacity),
		weights: newWeights(config.Model, config.WeightsVersion, config.WeightsLoadTime),
		cache:   newCache(config.CacheTokens),
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Capacity, defaultCapacity)
	setDefault(&c.QueueLength, defaultQueueLength)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.PrefillTime, defaultPrefillTime)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.WorkTime, defaultWorkTime)
	setDefault(&c.WeightsLoadTime, defaultWeightsLoadTime)
	setDefault(&c.DrainTime, defaultDrainTime)
	setDefault(&c.ProbePath, defaultProbePath)
	setDefault(&c.Model, defaultModel)
	setDefault(&c.WeightsVersion, 1)
	setDefault(&c.SoftwareVersion, "v1")
	setDefault(&c.Listen, "127.0.0.1:0")
	if c.OnRun == nil {
		c.OnRun = func(Run) {}
	}
	if c.OnOrder == nil {
		c.OnOrder = func(Order) {}
	}
	if c.TranslateAddress == nil {
		c.TranslateAddress = func(address string) string { return address }
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// ID returns the id of this incarnation.
func (r *Runner) ID() string { return r.id }

// WeightsVersion returns the version of the active weights.
func (r *Runner) WeightsVersion() int64 { return r.weights.activeVersion() }

// Listen opens the address for requests without accepting any, so that a proxy for it can
// be set up before Start.
func (r *Runner) Listen() (address string, err error) {
	r.listener, err = net.Listen("tcp4", r.config.Listen)
	if err != nil {
		return "", errors.Wrap(err, "standin: listen on the address for requests")
	}
	return r.listener.Addr().String(), nil
}

// Start serves requests and, if controllers are configured, sends heartbeats. Listen must
// be called first. advertise replaces Config.Advertise unless it is empty.
func (r *Runner) Start(advertise string) {
	if advertise != "" {
		r.config.Advertise = advertise
	}
	setDefault(&r.config.Advertise, r.listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.server = &http.Server{Handler: r.handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	r.loops.Go(func() { _ = r.server.Serve(r.listener) })
	if len(r.config.Controllers) > 0 {
		r.loops.Go(func() { r.sendHeartbeats(ctx) })
	}
}

// Crash ends the runner at once: its connections break and no controller is notified.
func (r *Runner) Crash() {
	r.stop()
	_ = r.server.Close()
	r.loops.Wait()
}

// Leave shuts the runner down gracefully: it sends the state draining until a controller
// acknowledges it, serves requests for Config.DrainTime, sends the leave call and ends. It
// returns the time at which draining was acknowledged; zero if ctx ended before that.
func (r *Runner) Leave(ctx context.Context) (acknowledged time.Time) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for ctx.Err() == nil {
		if r.sendHeartbeat(ctx) == nil {
			acknowledged = time.Now()
			break
		}
		loop.Pause(ctx, leaveRetryPause)
	}
	loop.Pause(ctx, r.config.DrainTime)
	_ = r.announceLeave(ctx)
	loop.Pause(ctx, r.config.DrainTime/2)
	r.Crash()
	return acknowledged
}

// LeaveUndrained shuts the runner down without the state draining: it sends the leave call until a
// controller acknowledges it, sends no more heartbeats, serves requests for Config.DrainTime and
// serveOn, and ends. It returns the time at which the call was acknowledged; zero if ctx ended
// before that.
func (r *Runner) LeaveUndrained(ctx context.Context, serveOn time.Duration) (acknowledged time.Time) {
	for ctx.Err() == nil {
		if r.announceLeave(ctx) == nil {
			acknowledged = time.Now()
			break
		}
		loop.Pause(ctx, leaveRetryPause)
	}
	loop.Pause(ctx, r.config.DrainTime+serveOn)
	r.Crash()
	return acknowledged
}
