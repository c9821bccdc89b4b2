// Comparisons: beside its place in the tree a router asks controllers that are not its
// parent for their versions, in turn. Updates normally reach it through its parent;
// this covers a parent that is slow, or on the wrong side of a partition without
// knowing it.

package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// defaultConverge stands for convergeMs where the settings name none.
const defaultConverge = 2 * time.Second

// convergeTime is the time within which a change must be in force.
func (r *Router) convergeTime() time.Duration {
	if r.set.Bounds.ConvergeMs <= 0 {
		return defaultConverge
	}
	return time.Duration(r.set.Bounds.ConvergeMs) * time.Millisecond
}

// compareVersions asks the controllers in turn what they hold, and takes what is
// newer. A comparison that takes long does not put off the next.
func (r *Router) compareVersions(ctx context.Context) func() {
	return func() {
		overdue := r.clock()-r.lastUpdateUs.Load() > max(r.convergeTime()/dissemination.OverdueParts, 2*dissemination.UpdateInterval).Microseconds()
		for _, addr := range r.comparisons.Next(r.likelyCore(), *r.parent.Load(), overdue) {
			go func() {
				cctx, cancel := context.WithTimeout(ctx, r.convergeTime()/dissemination.ComparisonWaitParts)
				defer cancel()
				m, ok := r.compareWith(cctx, addr, overdue)
				r.comparisons.Ended(addr, ok, m.RegistrySum == r.registry.Snapshot().Checksum)
			}()
		}
	}
}

// coreMemory remembers the core that was last in view. A router that stood still for
// a while may take all others for dead, which is no reason to ask nobody. The
// zero value is ready for use.
type coreMemory struct {
	mu   sync.Mutex
	last []string
}

// all gives the core in view, suspected members too, or the last one that was.
func (m *coreMemory) all(controllers []messages.Peer) []string {
	var list []string
	for _, p := range membership.CountedControllers(controllers) {
		list = append(list, p.Addr)
	}
	slices.Sort(list)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(list) > 0 {
		m.last = list
	}
	return m.last
}

// likely gives the members of the core that are not suspected, or all where there
// are none.
func (m *coreMemory) likely(controllers []messages.Peer) []string {
	var list []string
	for _, p := range membership.CountedControllers(controllers) {
		if p.Status == messages.Alive {
			list = append(list, p.Addr)
		}
	}
	if len(list) == 0 {
		return m.all(controllers)
	}
	slices.Sort(list)
	return list
}

// wholeCore is everybody who may know a newer configuration.
func (r *Router) wholeCore() []string { return r.core.all(r.monitor.Alive(messages.Controller)) }

// likelyCore is whom to ask where an answer is wanted soon.
func (r *Router) likelyCore() []string { return r.core.likely(r.monitor.Alive(messages.Controller)) }

// compareWith asks one controller for its versions. Where it has had something newer for
// longer than the tree is given to bring it, or runners differ again and again, the
// changes since this node's are fetched from it. ok says that it has answered.
func (r *Router) compareWith(ctx context.Context, addr string, overdue bool) (m messages.Versions, ok bool) {
	m, err := r.askVersions(ctx, addr)
	if err != nil {
		r.log.V(1).Info("comparison failed", "controller", addr, "overdue", overdue, "err", err.Error())
		return m, false
	}
	grace := r.convergeTime() / dissemination.ComparisonParts
	if overdue {
		grace = 0
	}
	held := r.heldVersions()
	runners := r.comparisons.WantRunners()
	due := r.comparisons.FetchDue(held, m.Parts, grace, r.clock())
	if dissemination.Behind(held, m.Parts) {
		r.log.Info("a controller has newer versions", "controller", addr, "theirs", m.Parts, "held", held, "overdue", overdue, "fetch", due)
	}
	if !due && !runners {
		return m, true
	}
	return m, r.fetchMissing(ctx, addr, runners)
}

// askVersions asks one controller which versions it has.
func (r *Router) askVersions(ctx context.Context, addr string) (m messages.Versions, err error) {
	r.counters.comparisons.begin()
	sentUs := r.clock()
	b, err := r.transport.Call(ctx, addr, transport.KindVersions, &messages.Versions{Parts: []int64{}})
	r.counters.comparisons.ended(err)
	if err != nil {
		return m, err
	}
	if _, err := m.UnmarshalMsg(b); err != nil {
		return m, err
	}
	r.timeOfDay.AddSample(addr, m, sentUs, r.clock())
	r.takeVersions(m)
	return m, nil
}

// fetchMissing fetches from one controller the changes since this node's versions, and
// all runners where they are wanted. One fetch goes on at a time. It tells whether what
// came was applied; also true where another fetch is under way.
func (r *Router) fetchMissing(ctx context.Context, addr string, runners bool) bool {
	if !r.comparisons.StartFetch() {
		r.log.V(1).Info("another fetch is under way", "controller", addr)
		return true
	}
	defer r.comparisons.EndFetch()
	h := r.syncState()
	h.ConfigOnly, h.Cached = true, nil
	if !runners {
		h.Registry.Epoch = -1
	}
	r.counters.fetches.begin()
	b, err := r.transport.Call(ctx, addr, transport.KindSince, &h)
	r.counters.fetches.ended(err)
	var f messages.Feed
	if err == nil {
		_, err = f.UnmarshalMsg(b)
	}
	if err != nil {
		r.log.Info("fetch failed", "controller", addr, "held", h.Configuration.Version, "err", err.Error())
		return false
	}
	fits := r.applyFeed("", f)
	r.log.Info("fetched", "controller", addr, "versions", f.Versions, "held", h.Configuration.Version, "changes", len(f.Configuration), "bytes", len(b), "fits", fits)
	return fits
}
