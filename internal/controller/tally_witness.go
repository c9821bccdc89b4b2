// Witnesses: a replica of the tallies that does not answer is down, or the way to it is cut.
// Only the second is a reason to acknowledge adds on fewer disks, so routers near it are asked.

package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/tally"
	"beechtide.org/beechtide/internal/transport"
)

const (
	// witnessWait bounds a question to a router, its own call included.
	witnessWait = 250 * time.Millisecond
	// witnessCount is how many routers are asked: one may be down itself.
	witnessCount = 3
	// witnessPause is the time between questions about a replica that goes on not to answer.
	witnessPause = 400 * time.Millisecond
)

// watch asks about a replica for as long as it does not answer.
func (t *tallies) watch(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		t.mu.Lock()
		failing, zone, changed := t.replica.Failing(addr), t.replica.ZoneOf(addr), t.changed
		t.mu.Unlock()
		if !failing {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		askedUs := t.controller.clock()
		judged := t.judge(ctx, addr, zone)
		t.mu.Lock()
		t.replica.Witnessed(addr, judged, askedUs)
		t.signal()
		t.mu.Unlock()
		t.pauseUnless(ctx, witnessPause, func() bool { return t.replica.WantsWitness(addr) })
	}
}

// pauseUnless pauses, or until a condition on the replica holds, and reports whether it does. The
// condition is called with the mutex held.
func (t *tallies) pauseUnless(ctx context.Context, pause time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	return t.await(ctx, holds)
}

// judge asks routers of a replica's zone, or outside of this one's zone where that is not
// known. Where none answers, or one reaches the replica, the way is cut.
func (t *tallies) judge(ctx context.Context, addr, zone string) tally.Witness {
	witnesses := t.witnesses(zone)
	answers := make(chan witnessAnswer, len(witnesses))
	for _, router := range witnesses {
		go func() { answers <- t.askWitness(ctx, router, addr) }()
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
func (t *tallies) witnesses(zone string) []string {
	var addrs []string
	for _, p := range t.controller.monitor.Alive(messages.Router) {
		if p.Zone == zone || zone == "" && p.Zone != t.controller.set.Zone {
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

func (t *tallies) askWitness(ctx context.Context, router, addr string) witnessAnswer {
	ctx, cancel := context.WithTimeout(ctx, witnessWait)
	defer cancel()
	b, err := t.controller.transport.Call(ctx, router, transport.KindReach, &messages.ReachQuery{Addr: addr})
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
