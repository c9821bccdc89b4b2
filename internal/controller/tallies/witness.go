package tallies

import (
	"context"
	"math/rand/v2"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

// A replica that does not answer is down, or the way to it is cut. Only the second is a reason to
// acknowledge adds on fewer disks, so routers near it are asked.
const (
	// witnessTimeout bounds a question to a router, its own call included.
	witnessTimeout = 250 * time.Millisecond
	// witnessCount is how many routers are asked: one may be down itself.
	witnessCount = 3
	// witnessPause is the time between questions about a replica that goes on not to answer.
	witnessPause = 400 * time.Millisecond
)

// watch asks about a replica for as long as it does not answer.
func (s *Service) watch(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		s.mu.Lock()
		failing, zone, changed := s.replica.Failing(addr), s.replica.ZoneOf(addr), s.changed
		s.mu.Unlock()
		if !failing {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		askedUs := s.config.Clock()
		judged := s.judge(ctx, addr, zone)
		s.mu.Lock()
		s.replica.RecordWitness(addr, judged, askedUs)
		s.signal()
		s.mu.Unlock()
		s.pauseUnless(ctx, witnessPause, func() bool { return s.replica.NeedsWitness(addr) })
	}
}

// pauseUnless pauses, or until a condition on the replica holds, and reports whether it does. The
// condition is called with the mutex held.
func (s *Service) pauseUnless(ctx context.Context, pause time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	return s.await(ctx, holds)
}

// judge asks routers of a replica's zone, or outside of this one's zone where that is not
// known. Where none answers, or one reaches the replica, the way is cut.
func (s *Service) judge(ctx context.Context, addr, zone string) tally.Witness {
	witnesses := s.witnesses(zone)
	answers := make(chan witnessAnswer, len(witnesses))
	for _, router := range witnesses {
		go func() { answers <- s.askWitness(ctx, router, addr) }()
	}
	answered := false
	for range witnesses {
		switch <-answers {
		case witnessReaches:
			return tally.WitnessCut
		case witnessMisses:
			answered = true
		}
	}
	if answered {
		return tally.WitnessDown
	}
	return tally.WitnessCut
}

// witnesses chooses the routers to ask.
func (s *Service) witnesses(zone string) []string {
	var addrs []string
	for _, p := range s.config.Routers() {
		if p.Zone == zone || zone == "" && p.Zone != s.config.Zone {
			addrs = append(addrs, p.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(witnessCount, len(addrs))]
}

// witnessAnswer is what a router says of a replica.
type witnessAnswer int

const (
	witnessSilent witnessAnswer = iota
	witnessReaches
	witnessMisses
)

func (s *Service) askWitness(ctx context.Context, router, addr string) witnessAnswer {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	b, err := s.config.Peers.Call(ctx, router, transport.KindReach, &messages.ReachQuery{Addr: addr})
	var answer messages.ReachAnswer
	if err == nil {
		_, err = answer.UnmarshalMsg(b)
	}
	switch {
	case err != nil:
		return witnessSilent
	case answer.Reached:
		return witnessReaches
	}
	return witnessMisses
}
