package tallies

import (
	"context"
	"math/rand/v2"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

// A replica that does not respond is down, or the network path to it is cut. Only in the second case
// may adds be acknowledged on fewer disks, so routers near the replica are queried as witnesses.
const (
	// witnessTimeout bounds a query to a router, including the router's own call to the replica.
	witnessTimeout = 250 * time.Millisecond
	// witnessCount is how many routers are queried at a time, as a router may be down itself.
	witnessCount = 3
	// witnessPause is the maximum time between queries about a replica that still does not respond.
	witnessPause = 400 * time.Millisecond
)

// watchReachability queries witnesses about a replica whenever calls to it fail, until ctx ends.
func (s *Service) watchReachability(ctx context.Context, addr string) {
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
		verdict := s.queryWitnesses(ctx, addr, zone)
		s.mu.Lock()
		s.replica.RecordWitness(addr, verdict, askedUs)
		s.notifyChanged()
		s.mu.Unlock()
		s.pauseUntil(ctx, witnessPause, func() bool { return s.replica.NeedsWitness(addr) })
	}
}

// pauseUntil pauses for a time, or until a condition on the replica holds, and reports whether it
// holds. The condition is called with the mutex held.
func (s *Service) pauseUntil(ctx context.Context, pause time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	return s.await(ctx, condition)
}

// queryWitnesses queries routers in the replica's zone, or outside this replica's zone if that one is not
// known. If no router responds, or one reaches the replica, it concludes that the path is cut;
// otherwise that the replica is down.
func (s *Service) queryWitnesses(ctx context.Context, addr, zone string) tally.Witness {
	witnesses := s.witnesses(zone)
	answers := make(chan witnessAnswer, len(witnesses))
	for _, router := range witnesses {
		go func() { answers <- s.queryWitness(ctx, router, addr) }()
	}
	answered := false
	for range witnesses {
		switch <-answers {
		case witnessReachable:
			return tally.WitnessCut
		case witnessUnreachable:
			answered = true
		}
	}
	if answered {
		return tally.WitnessDown
	}
	return tally.WitnessCut
}

// witnesses returns the addresses of randomly chosen routers to query.
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

// witnessAnswer is the result of querying a router about a replica.
type witnessAnswer int

const (
	witnessNoResponse witnessAnswer = iota
	witnessReachable
	witnessUnreachable
)

func (s *Service) queryWitness(ctx context.Context, router, addr string) witnessAnswer {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	b, err := s.config.Peers.Call(ctx, router, transport.KindReach, &messages.ReachQuery{Addr: addr})
	var answer messages.ReachAnswer
	if err == nil {
		_, err = answer.UnmarshalMsg(b)
	}
	switch {
	case err != nil:
		return witnessNoResponse
	case answer.Reached:
		return witnessReachable
	}
	return witnessUnreachable
}
