package tallies

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"beechtide.org/beechtide/internal/loop"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

// A replica that does not respond is down, or the path to it is cut. Only in the second case may adds be
// acknowledged on fewer disks, and silence is the same in both. What tells them apart is another node
// that reaches the replica: routers are queried as witnesses before and during a probe of it. Without
// the first query, a replica that has just started would seem to be behind a partition; without the
// second, one that has just ended would.
const (
	// witnessTimeout bounds the first query to a router, including the router's own call to the
	// replica.
	witnessTimeout = 250 * time.Millisecond
	// probeTimeout bounds a probe of a replica, to which it responds without its disk, and the
	// query to the witness during it.
	probeTimeout = 150 * time.Millisecond
	// nearWitnesses and otherWitnesses are how many routers are queried in the replica's zone and
	// in other zones. A router may be down, or cut off from the replica or this machine itself.
	nearWitnesses  = 3
	otherWitnesses = 2
	// examinationPause is the maximum time between examinations while calls to a replica fail.
	examinationPause = 400 * time.Millisecond
)

// examineFailing examines the replicas to which calls fail until ctx ends: now and then, and one time
// after the other while a caller waits. All are examined at the same time, so that the evidence of all
// is young at one moment.
func (s *Service) examineFailing(ctx context.Context) {
	for {
		var failing []tally.PeerID
		isFailing := func() bool {
			failing = s.replica.Failing()
			return len(failing) > 0
		}
		if !s.await(ctx, isFailing) {
			return
		}
		s.examine(ctx, failing)
		loop.Pause(ctx, retryPause)
		s.pauseUntil(ctx, examinationPause, s.replica.NeedsExamination)
	}
}

// pauseUntil pauses for a time, or until a condition on the replica holds. The condition is called with
// the mutex held.
func (s *Service) pauseUntil(ctx context.Context, pause time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	s.await(ctx, condition)
}

// examine examines peers and records the results.
func (s *Service) examine(ctx context.Context, peers []tally.PeerID) {
	e := examiner{peers: s.config.Peers, routers: s.config.Routers, clock: s.config.Clock}
	findings := e.examine(ctx, peers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, peer := range peers {
		if findings[i].answered {
			s.replica.RecordAnswer(peer.Addr)
		} else {
			s.replica.RecordExamination(peer.Addr, findings[i].examination)
		}
	}
	s.notifyChanged()
}

// examiner examines peers that do not respond, with routers as witnesses.
type examiner struct {
	peers   Caller
	routers func() []messages.Peer
	clock   func() int64 // microseconds, monotonic
}

// finding is the result of examining a peer.
type finding struct {
	answered    bool // the peer has answered the probe
	examination tally.Examination
}

// examine examines peers. It returns a finding for each.
func (e examiner) examine(ctx context.Context, peers []tally.PeerID) []finding {
	witnesses, findings := make([]string, len(peers)), make([]finding, len(peers))
	forEach(peers, func(i int, peer tally.PeerID) { witnesses[i] = e.findWitness(ctx, peer) })
	probedUs := e.clock()
	forEach(peers, func(i int, peer tally.PeerID) {
		findings[i].examination.ProbedUs = probedUs
		if witnesses[i] != "" {
			findings[i].answered, findings[i].examination.PathCut = e.probe(ctx, peer.Addr, witnesses[i])
		}
	})
	return findings
}

// forEach calls a function for all peers at the same time and waits for its end.
func forEach(peers []tally.PeerID, run func(i int, peer tally.PeerID)) {
	var running sync.WaitGroup
	for i, peer := range peers {
		running.Go(func() { run(i, peer) })
	}
	running.Wait()
}

// probe probes a peer that a witness has reached, and reports whether it answered or, if not, whether the
// path to it is cut.
func (e examiner) probe(ctx context.Context, addr, witness string) (answered, pathCut bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make(chan bool, 1)
	go func() { reached <- e.queryWitness(ctx, witness, addr) }()
	if e.answersProbe(ctx, addr) {
		return true, false
	}
	return false, <-reached
}

// answersProbe reports whether a peer answers an empty append, sent over the shared connection or a new
// one: a packet may be lost, and the shared one may be about to time out.
func (e examiner) answersProbe(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := []func(context.Context, string, int, msgp.Marshaler) ([]byte, error){e.peers.Call, e.peers.CallUnshared}
	errs := make(chan error, len(calls))
	for _, call := range calls {
		go func() {
			_, err := call(ctx, addr, transport.KindTallyAppend, &messages.TallyAppend{})
			errs <- err
		}()
	}
	for range calls {
		if <-errs == nil {
			return true
		}
	}
	return false
}

// findWitness returns the address of a router that reaches a peer, or "" if none of those queried does.
func (e examiner) findWitness(ctx context.Context, peer tally.PeerID) string {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	witnesses := e.witnesses(peer.Zone)
	reaching := make(chan string, len(witnesses))
	for _, router := range witnesses {
		go func() {
			if !e.queryWitness(ctx, router, peer.Addr) {
				router = ""
			}
			reaching <- router
		}()
	}
	for range witnesses {
		if router := <-reaching; router != "" {
			return router
		}
	}
	return ""
}

// witnesses returns the addresses of randomly chosen routers to query about a replica in a zone.
func (e examiner) witnesses(zone string) []string {
	var near, other []string
	for _, p := range e.routers() {
		if p.Zone == zone {
			near = append(near, p.Addr)
		} else {
			other = append(other, p.Addr)
		}
	}
	return append(sample(near, nearWitnesses), sample(other, otherWitnesses)...)
}

// sample returns up to count randomly chosen addresses.
func sample(addrs []string, count int) []string {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(count, len(addrs))]
}

// queryWitness asks a router whether it reaches a peer.
func (e examiner) queryWitness(ctx context.Context, router, addr string) (reached bool) {
	b, err := e.peers.Call(ctx, router, transport.KindReach, &messages.ReachQuery{Addr: addr})
	if err != nil {
		return false
	}
	var answer messages.ReachAnswer
	_, err = answer.UnmarshalMsg(b)
	return err == nil && answer.Reached
}
