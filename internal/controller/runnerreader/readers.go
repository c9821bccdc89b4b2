// Package runnerreader reads the cached prefixes and load reports of runners. Each runner is read by
// one controller, chosen by rendezvous hashing among the live controllers of the runner's zone. It
// publishes the changes, and the other controllers apply them.
//
// Readers owns the index of cached prefixes (package prefixindex), the keys of the prompt parts that
// are shared by prompts, and the set of runners that this controller reads. Its mutex is not held
// during a call. For each runner, one goroutine reads its cache events and another one its load
// report; both end with the context passed to Update.
package runnerreader

import (
	"context"
	"slices"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/prefixindex"
	"beechtide.org/beechtide/internal/statesync"
)

const (
	// startDelayUs is how long after its start a controller reads no runners if there are
	// other controllers. By then it has received the state that they have read, and need not
	// fetch lists.
	startDelayUs = 2_000_000
	// unreadAfterUs is after how long without a response a runner counts as unread.
	unreadAfterUs = 5_000_000
)

// API reads runners (runnerapi.Client).
type API interface {
	Report(ctx context.Context, runner messages.RunnerRecord) (api.Report, error)
	CacheEvents(ctx context.Context, runner messages.RunnerRecord, since int64) (api.PrefixEvents, error)
	CacheList(ctx context.Context, runner messages.RunnerRecord) (api.PrefixList, error)
}

// FileStore reads and writes small durable files (consensus.DiskStore).
type FileStore interface {
	ReadFile(name string) ([]byte, bool)
	WriteFile(name string, content []byte) error
}

// Config configures Readers. All fields are required, except the file store.
type Config struct {
	// Addr is the address of this controller.
	Addr  string
	Clock func() int64 // microseconds, monotonic
	Log   logr.Logger
	API   API
	// Controllers returns the controllers of the core that are alive.
	Controllers func() []messages.Peer
	// Members returns the addresses of the members of the configuration register.
	Members func() []string
	// PublishCached sends a change of a runner's cached prefixes to all nodes.
	PublishCached func(change messages.CachedChange)
	// PublishReport sends a runner's load report to all nodes.
	PublishReport func(report messages.RunnerReport)
	// The file store has the keys of shared parts; nil on a machine without a disk.
	Files FileStore
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("runnerreader: incomplete configuration")

func (c *Config) check() error {
	complete := c.Addr != "" && c.Clock != nil && c.API != nil && c.Controllers != nil && c.Members != nil &&
		c.PublishCached != nil && c.PublishReport != nil
	if !complete {
		return ErrConfig
	}
	return nil
}

// Readers reads runners. It is safe for concurrent use.
type Readers struct {
	config  Config
	startUs int64

	mu             sync.Mutex // guards what follows
	cached         *prefixindex.Index
	sharedKeys     prefixindex.SharedKeys
	running        map[string]context.CancelFunc // cancels the reading of a runner, by its ID
	lastResponseUs map[string]int64              // time of the last response of a runner that is read here
}

// New returns Readers without runners to read, with the keys of shared parts that an earlier
// process has saved.
func New(config Config) (*Readers, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	r := &Readers{
		config:         config,
		startUs:        config.Clock(),
		cached:         prefixindex.NewIndex(),
		running:        map[string]context.CancelFunc{},
		lastResponseUs: map[string]int64{},
	}
	r.restoreSharedKeys()
	return r, nil
}

// Update starts reading the runners that are assigned to this controller, and stops reading all
// others. Reading ends with ctx.
func (r *Readers) Update(ctx context.Context, runners []messages.RunnerRecord) {
	controllers := r.config.Controllers()
	if r.config.Clock()-r.startUs < startDelayUs {
		if len(controllers) > 1 {
			return
		}
		controllers = startPeers(controllers, r.config.Members())
	}
	wanted := map[string]messages.RunnerRecord{}
	for _, runner := range runners {
		if ReaderOf(runner, controllers) == r.config.Addr {
			wanted[runner.ID] = runner
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopUnwanted(wanted)
	for id, runner := range wanted {
		if r.running[id] == nil {
			r.start(ctx, runner)
		}
	}
}

// startPeers returns the controllers among which a controller that has no live peers yet divides
// the runners: the members of the configuration register. Otherwise, after a power failure of all
// controllers, each of them would read all runners, with two connections to each.
func startPeers(alive []messages.Peer, members []string) []messages.Peer {
	if len(members) < 2 {
		return alive
	}
	peers := make([]messages.Peer, 0, len(members))
	for _, addr := range members {
		peers = append(peers, messages.Peer{Addr: addr, Status: messages.Alive})
	}
	return peers
}

// stopUnwanted stops reading the runners that are not in wanted. The caller holds the mutex.
func (r *Readers) stopUnwanted(wanted map[string]messages.RunnerRecord) {
	for id, cancel := range r.running {
		if _, ok := wanted[id]; ok {
			continue
		}
		cancel()
		delete(r.running, id)
		delete(r.lastResponseUs, id)
	}
}

// start starts reading a runner or a store. The caller holds the mutex.
func (r *Readers) start(ctx context.Context, runner messages.RunnerRecord) {
	ctx, cancel := context.WithCancel(ctx)
	r.running[runner.ID] = cancel
	r.lastResponseUs[runner.ID] = r.config.Clock()
	go r.readCacheEvents(ctx, runner)
	if runner.Service != "" { // a store has no report
		go r.readReports(ctx, runner)
	}
}

// recordResponse records that a runner has responded.
func (r *Readers) recordResponse(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponseUs[id] = r.config.Clock()
}

// Unread returns the sorted IDs of the runners that are assigned to this controller and have not
// responded for unreadAfterUs.
func (r *Readers) Unread() []string {
	nowUs := r.config.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.running {
		if nowUs-r.lastResponseUs[id] > unreadAfterUs && nowUs-r.startUs > unreadAfterUs {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// AddAnnounced records the parts that were announced as shared by prompts.
func (r *Readers) AddAnnounced(announced []messages.CachedPrefixes) {
	if len(announced) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharedKeys.AddAnnounced(announced)
}

// Applied is the result of applying a change that another controller has read.
type Applied struct {
	Change messages.CachedChange
	Result statesync.Result
	// EpochKnown reports whether the change is a snapshot of the epoch that was already present.
	EpochKnown bool
}

// Apply applies changes that another controller has read, except those of runners that are read
// here.
func (r *Readers) Apply(changes []messages.CachedChange) []Applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Applied
	for _, change := range changes {
		if r.running[change.ID] != nil {
			continue
		}
		again := change.Snapshot && r.cached.CachedPrefixes(change.ID).Epoch == change.Epoch
		out = append(out, Applied{Change: change, Result: r.cached.Apply(change), EpochKnown: again})
	}
	return out
}

// updateCached updates the cached prefixes of a runner that is read here, and publishes the change if
// there is one.
func (r *Readers) updateCached(id string, change func(cached *prefixindex.CachedPrefixes) (messages.CachedChange, bool)) {
	r.mu.Lock()
	delta, changed := change(r.cached.CachedPrefixes(id))
	r.mu.Unlock()
	if changed {
		r.config.PublishCached(delta)
	}
}

// Cursors returns the epoch and version of every runner's cached prefixes.
func (r *Readers) Cursors() []messages.Cursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cached.Cursors()
}

// DeltasSince returns the changes that a receiver with these cursors lacks. A controller is sent only
// those of the runners that are read here.
func (r *Readers) DeltasSince(cursors []messages.Cursor, controller bool) []messages.CachedChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cached.DeltasSince(cursors, func(id string) bool { return !controller || r.running[id] != nil })
}

// Retain deletes the cached prefixes of the runners for which keep returns false.
func (r *Readers) Retain(keep func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached.Retain(keep)
}

// ReaderOf returns the address of the controller that reads a runner. It is chosen by rendezvous
// hashing among the controllers of the runner's zone, or among all if its zone has none.
func ReaderOf(runner messages.RunnerRecord, alive []messages.Peer) string {
	inZone := func(p messages.Peer) bool { return p.Zone == runner.Zone }
	if best := highestHash(runner.ID, alive, inZone); best != "" {
		return best
	}
	return highestHash(runner.ID, alive, func(messages.Peer) bool { return true })
}

func highestHash(id string, alive []messages.Peer, eligible func(messages.Peer) bool) string {
	best, bestHash := "", uint64(0)
	for _, p := range alive {
		if p.Status != messages.Alive || !eligible(p) {
			continue
		}
		if v := statesync.HashText(p.Addr, id); best == "" || v > bestHash {
			best, bestHash = p.Addr, v
		}
	}
	return best
}
