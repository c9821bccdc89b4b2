// Package tallies runs this machine's replica of the tallies: package tally implements the
// replication, and a Service connects it to the clock, the disk and the other replicas.
//
// One goroutine writes to the disk. For each other replica, one goroutine sends it this replica's
// log. One goroutine examines those that do not respond, with routers as witnesses (examination.go). The
// HTTP calls (calls.go) are served on both sides of a partition.
package tallies

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/filesystem"
	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
)

const (
	// peerInterval is the interval at which the set of replicas is updated.
	peerInterval = 200 * time.Millisecond
	// callTimeout bounds a call to another replica. Two calls in a row that time out are
	// enough to regard it as unreachable.
	callTimeout = 300 * time.Millisecond
	// pauseMargin is by how much a failed call may exceed its timeout and still count as a
	// failure of the replica; after a longer time this process was paused.
	pauseMargin = 150 * time.Millisecond
	// retryPause is the pause after a failed call to a replica.
	retryPause = 50 * time.Millisecond
	// unreachablePause is the maximum time between calls to an unreachable replica.
	unreachablePause = 400 * time.Millisecond
	// diskRetryPause is the pause after a failed write to disk.
	diskRetryPause = 200 * time.Millisecond
	// appendTimeout bounds how long the response to another replica waits for the disk.
	appendTimeout = 250 * time.Millisecond
	// batchSize is the maximum number of adds that are written or sent at a time.
	batchSize = 2000
	// startTimeout is how long after its start a replica that has reached no other one
	// waits before it serves reads.
	startTimeout = 1500 * time.Millisecond
)

// Caller sends requests to other nodes.
type Caller interface {
	// Call sends a request and returns the body of its response.
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
	// CallUnshared is a Call over a new connection.
	CallUnshared(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config configures a Service. All fields but DataDir and MaxAdds are required.
type Config struct {
	// Zone is the zone of this machine.
	Zone string
	// DataDir is the directory of the machine's data; empty on machines without a disk.
	DataDir string
	// MaxAdds is the maximum number of adds that this machine stores; 0: no limit.
	MaxAdds int
	// Quorum determines on how many disks an add must be before it is acknowledged.
	Quorum tally.Quorum
	// CompareTimeout bounds a comparison of versions, whose failure is reported to NotCompared.
	CompareTimeout time.Duration
	Clock          func() int64 // microseconds, monotonic
	Log            logr.Logger
	Peers          Caller
	// Replicas returns the addresses of the other controllers, including those that are not
	// alive.
	Replicas func() []string
	// Core returns the addresses of the other members of the configuration's group, and false if
	// none is known yet.
	Core func() (members []string, known bool)
	// Routers returns the routers that are alive.
	Routers func() []messages.Peer
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("tallies: incomplete configuration")

func (c *Config) check() error {
	if c.CompareTimeout <= 0 || c.Clock == nil || c.Peers == nil || c.Replicas == nil || c.Core == nil || c.Routers == nil {
		return ErrConfig
	}
	return nil
}

// Service runs a replica. It is safe for concurrent use.
type Service struct {
	config  Config
	startUs int64
	log     *tally.Log    // nil on machines without a disk; used only by write
	closed  chan struct{} // closed once the last write has ended

	mu            sync.Mutex // guards what follows
	replica       *tally.Replica
	changed       chan struct{}                 // closed and replaced at every change of the replica
	senders       map[string]context.CancelFunc // cancels the goroutines of a replica, by its address
	initialPulled map[string]bool               // replicas from which the initial pull has succeeded
	differing     map[string]bool               // replicas whose digest differed at the last comparison
	ready         bool
	diskErr       error
	diskBytes     int64
	pulledAdds    int64 // adds received in response to a pull
	lateAdds      int64 // adds whose calls timed out
}

func newOrigin() tally.Origin { return tally.Origin(fmt.Sprintf("%016x", rand.Uint64())) }

// Open returns a service with the adds that are stored on disk.
func Open(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &Service{
		config:        config,
		startUs:       config.Clock(),
		changed:       make(chan struct{}),
		closed:        make(chan struct{}),
		senders:       map[string]context.CancelFunc{},
		initialPulled: map[string]bool{},
		differing:     map[string]bool{},
	}
	replica := tally.Config{Zone: config.Zone, Durable: config.DataDir != "", MaxAdds: config.MaxAdds, Quorum: config.Quorum}
	if !replica.Durable {
		replica.Origin = newOrigin()
		s.replica = tally.NewReplica(replica, tally.NewSet())
		return s, nil
	}
	return s, s.openLog(replica)
}

// openLog opens the log on disk and creates the replica from it. If the log can be read but not
// written, the writes are retried later.
func (s *Service) openLog(replica tally.Config) error {
	files, err := filesystem.Open(filepath.Join(s.config.DataDir, "tallies"))
	if err != nil {
		return errors.Wrap(err, "tallies: open the directory")
	}
	opened, err := tally.OpenLog(files, newOrigin)
	if err != nil && opened.Log == nil {
		return err
	}
	if len(opened.DamagedSegments) > 0 {
		s.config.Log.Info("damaged segments of tallies; their adds are fetched from other replicas", "segments", opened.DamagedSegments)
	}
	s.log, s.diskBytes = opened.Log, opened.Log.Size()
	replica.Origin = opened.Origin
	s.replica = tally.NewReplica(replica, opened.Set)
	if err != nil {
		s.config.Log.Error(err, "tallies are not writable yet")
		s.replica.MarkAllUnwritten()
	}
	s.config.Log.Info("tallies read", "origin", opened.Origin, "adds", opened.Set.Len(), "bytes", s.diskBytes)
	return nil
}

// SetMaxAdds changes the maximum number of adds that this machine stores; 0: no limit.
func (s *Service) SetMaxAdds(maxAdds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetMaxAdds(maxAdds)
}

// Closed returns a channel that is closed once the last write has ended.
func (s *Service) Closed() <-chan struct{} { return s.closed }

// Run starts the writer, the examinations, and the senders as replicas come and go, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s.log != nil {
		go s.write(ctx)
	} else {
		close(s.closed)
	}
	go s.examineFailing(ctx)
	loop.Every(ctx, peerInterval, func() { s.updatePeers(ctx) })
}

// notifyChanged wakes all goroutines that wait for a change of the replica. The caller holds the mutex.
func (s *Service) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// updatePeers updates the set of other replicas and starts or stops their goroutines.
func (s *Service) updatePeers(ctx context.Context) {
	addrs := s.config.Replicas()
	core, coreKnown := s.config.Core()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetPeers(addrs)
	if coreKnown {
		s.replica.SetCore(core)
	}
	s.checkReady(addrs)
	changed := false
	for addr, stop := range s.senders {
		if !slices.Contains(addrs, addr) {
			stop()
			delete(s.senders, addr)
			changed = true
		}
	}
	for _, addr := range addrs {
		if s.senders[addr] == nil {
			senderCtx, stop := context.WithCancel(ctx)
			s.senders[addr] = stop
			changed = true
			go s.replicateTo(senderCtx, addr)
		}
	}
	if changed {
		s.notifyChanged()
	}
}

// checkReady marks this replica as ready to serve, as reads no longer lack the adds of the others:
// every other replica was pulled from or is unreachable. The caller holds the mutex.
func (s *Service) checkReady(addrs []string) {
	if s.ready {
		return
	}
	early := s.config.Clock()-s.startUs < startTimeout.Microseconds()
	found := false
	for _, addr := range addrs {
		if !s.initialPulled[addr] && !s.replica.Unreachable(addr) {
			return
		}
		found = found || s.initialPulled[addr]
	}
	if !found && early {
		return
	}
	s.ready = true
	s.config.Log.Info("tallies ready", "adds", s.replica.Set().Len(), "replicas", len(addrs), "asked", len(s.initialPulled))
}

// write writes the adds to disk in batches, with one sync each, until ctx ends.
func (s *Service) write(ctx context.Context) {
	defer close(s.closed)
	defer s.log.Close()
	for ctx.Err() == nil {
		s.mu.Lock()
		runs, changed := s.replica.BeginWrite(batchSize), s.changed
		s.mu.Unlock()
		if len(runs) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := s.log.Resume()
		if err == nil {
			err = s.log.Write(runs)
		}
		s.writeEnded(err)
		if err != nil {
			loop.Pause(ctx, diskRetryPause)
		}
	}
}

func (s *Service) writeEnded(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.diskErr == nil {
		s.config.Log.Error(err, "write of tallies failed")
	}
	s.diskErr, s.diskBytes = err, s.log.Size()
	s.replica.EndWrite(err == nil)
	s.notifyChanged()
}

// await waits until a condition on the replica holds or ctx ends, and reports whether it holds. The
// condition is called with the mutex held.
func (s *Service) await(ctx context.Context, condition func() bool) bool {
	for {
		s.mu.Lock()
		ok, changed := condition(), s.changed
		s.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Condition returns the state of this replica for the doctor.
func (s *Service) Condition() messages.TallyCondition {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.replica.Set()
	c := messages.TallyCondition{
		Origin: string(s.replica.Origin()), Adds: int64(set.Len()), Tallies: set.Tallies(), Digest: set.Digest(),
		Unconfirmed: set.LogLength(s.replica.Origin()) - s.replica.Confirmed(), DiskBytes: s.diskBytes,
		Full: s.replica.Full() || s.diskErr != nil, Starting: !s.ready,
	}
	for addr := range s.senders {
		if s.replica.Unreachable(addr) {
			c.Unreachable = append(c.Unreachable, addr)
		}
	}
	slices.Sort(c.Unreachable)
	return c
}
