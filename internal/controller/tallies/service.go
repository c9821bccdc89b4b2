// Package tallies runs this machine's replica of the tallies: package tally decides, and a Service
// gives it the time, the disk and the other replicas.
//
// One goroutine writes to the disk; one for each other replica sends it this replica's log, and
// one asks routers about it while it does not answer (witness.go). The HTTP calls (calls.go) are
// answered on either side of a partition.
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
	// peerInterval is how often the set of replicas is brought up to date.
	peerInterval = 200 * time.Millisecond
	// callTimeout bounds a call to another replica. Two that end without an answer are
	// enough to show that it is out of reach.
	callTimeout = 300 * time.Millisecond
	// probeTimeout is the same for a call to one that is out of reach, which it answers
	// without its disk.
	probeTimeout = 150 * time.Millisecond
	// pauseMargin is by how much more than its bound a failed call may have lasted to show
	// anything: longer, and this process stood still.
	pauseMargin = 150 * time.Millisecond
	// retryPause is the time between calls to a replica that fail.
	retryPause = 50 * time.Millisecond
	// unreachablePause is the same for one that is out of reach.
	unreachablePause = 400 * time.Millisecond
	// diskRetryPause is the time between writes to a disk that fail.
	diskRetryPause = 200 * time.Millisecond
	// appendTimeout bounds how long the answer to another replica waits for the disk.
	appendTimeout = 250 * time.Millisecond
	// batchSize is how many adds are written, or sent, at a time.
	batchSize = 2000
	// startTimeout is how long after its start a replica that has found nobody waits
	// before it answers.
	startTimeout = 1500 * time.Millisecond
)

// Caller sends a request to another node and returns the body of its response.
type Caller interface {
	Call(ctx context.Context, addr string, kind int, body msgp.Marshaler) ([]byte, error)
}

// Config is what a Service is given. All fields but DataDir and MaxAdds are required.
type Config struct {
	// Zone is the zone of this machine.
	Zone string
	// DataDir is the directory of the machine's data; empty on machines without a disk.
	DataDir string
	// MaxAdds bounds the adds that this machine can hold; 0: no bound.
	MaxAdds int
	// Quorum is on how many disks an add has to be.
	Quorum tally.Quorum
	// CompareTimeout bounds a comparison of versions, whose failures NotCompared is told of.
	CompareTimeout time.Duration
	Clock          func() int64 // microseconds, monotonic
	Log            logr.Logger
	Peers          Caller
	// Replicas returns the addresses of the other controllers, also of those that are not
	// alive.
	Replicas func() []string
	// Routers returns the routers that are alive.
	Routers func() []messages.Peer
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("tallies: incomplete configuration")

func (c *Config) check() error {
	if c.CompareTimeout <= 0 || c.Clock == nil || c.Peers == nil || c.Replicas == nil || c.Routers == nil {
		return ErrConfig
	}
	return nil
}

// Service is safe for concurrent use.
type Service struct {
	config  Config
	startUs int64
	log     *tally.Log    // nil on machines without a disk; used by write alone
	closed  chan struct{} // closed once nothing is written any more

	mu        sync.Mutex // guards what follows
	replica   *tally.Replica
	changed   chan struct{}                 // closed, and made anew, with every change of the replica
	senders   map[string]context.CancelFunc // by address of the replica that is sent to
	asked     map[string]bool               // replicas that have been asked for what this one lacked at its start
	differing map[string]bool               // replicas whose digest differed at the last comparison
	ready     bool
	diskErr   error
	diskBytes int64
	pulled    int64 // adds that came by a pull
	late      int64 // adds whose callers were not answered in time
}

func newOrigin() tally.Origin { return tally.Origin(fmt.Sprintf("%016x", rand.Uint64())) }

// Open reads what the disk holds.
func Open(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &Service{
		config:    config,
		startUs:   config.Clock(),
		changed:   make(chan struct{}),
		closed:    make(chan struct{}),
		senders:   map[string]context.CancelFunc{},
		asked:     map[string]bool{},
		differing: map[string]bool{},
	}
	replica := tally.Config{Zone: config.Zone, Durable: config.DataDir != "", MaxAdds: config.MaxAdds, Quorum: config.Quorum}
	if !replica.Durable {
		replica.Origin = newOrigin()
		s.replica = tally.NewReplica(replica, tally.NewSet())
		return s, nil
	}
	return s, s.openLog(replica)
}

// openLog opens the log on disk and makes the replica of what it holds. A log that cannot be
// written now is written once it can.
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
		s.config.Log.Info("segments of tallies are damaged; what they held is fetched from other replicas", "segments", opened.DamagedSegments)
	}
	s.log, s.diskBytes = opened.Log, opened.Log.Size()
	replica.Origin = opened.Origin
	s.replica = tally.NewReplica(replica, opened.Set)
	if err != nil {
		s.config.Log.Error(err, "tallies cannot be written yet")
		s.replica.MarkAllUnwritten()
	}
	s.config.Log.Info("tallies read", "origin", opened.Origin, "adds", opened.Set.Len(), "bytes", s.diskBytes)
	return nil
}

// SetMaxAdds changes the bound of the adds that this machine can hold; 0: no bound.
func (s *Service) SetMaxAdds(bound int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetMaxAdds(bound)
}

// Closed is closed once nothing is written any more.
func (s *Service) Closed() <-chan struct{} { return s.closed }

// Run works until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s.log != nil {
		go s.write(ctx)
	} else {
		close(s.closed)
	}
	loop.Every(ctx, peerInterval, func() { s.updatePeers(ctx) })
}

// signal wakes everybody who waits for a change. The caller holds the mutex.
func (s *Service) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// updatePeers brings the set of other replicas up to date.
func (s *Service) updatePeers(ctx context.Context) {
	addrs := s.config.Replicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.SetPeers(addrs)
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
			sending, stop := context.WithCancel(ctx)
			s.senders[addr] = stop
			changed = true
			go s.sendTo(sending, addr)
			go s.watch(sending, addr)
		}
	}
	if changed {
		s.signal()
	}
}

// checkReady ends the time after the start in which reads would lack what the others have:
// every replica has been asked or is out of reach. The caller holds the mutex.
func (s *Service) checkReady(addrs []string) {
	if s.ready {
		return
	}
	early := s.config.Clock()-s.startUs < startTimeout.Microseconds()
	found := false
	for _, addr := range addrs {
		if !s.asked[addr] && !s.replica.Unreachable(addr) {
			return
		}
		found = found || s.asked[addr]
	}
	if !found && early {
		return
	}
	s.ready = true
	s.config.Log.Info("tallies ready", "adds", s.replica.Set().Len(), "replicas", len(addrs), "asked", len(s.asked))
}

// write brings the adds to the disk, many with one sync.
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
		s.config.Log.Error(err, "tallies cannot be written")
	}
	s.diskErr, s.diskBytes = err, s.log.Size()
	s.replica.EndWrite(err == nil)
	s.signal()
}

// await waits until a condition on the replica holds, and reports whether it does. The
// condition is called with the mutex held.
func (s *Service) await(ctx context.Context, holds func() bool) bool {
	for {
		s.mu.Lock()
		ok, changed := holds(), s.changed
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

// Condition is for the doctor.
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
