// Comparisons: outside the tree, a router periodically requests the versions of controllers that
// are not its parent, in turn. Updates normally reach it through its parent; this covers a parent
// that is slow, or that is cut off from the core by a partition it has not detected.

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

// defaultConverge is used if the settings do not set convergeMs.
const defaultConverge = 2 * time.Second

// convergeTime returns the time within which a change must be in force on all nodes.
func (r *Router) convergeTime() time.Duration {
	if r.set.Bounds.ConvergeMs <= 0 {
		return defaultConverge
	}
	return time.Duration(r.set.Bounds.ConvergeMs) * time.Millisecond
}

// compareVersions returns a function that compares versions with the next controllers in turn and
// fetches what is newer. A slow comparison does not delay the next one.
func (r *Router) compareVersions(ctx context.Context) func() {
	return func() {
		overdue := r.clock()-r.lastUpdateUs.Load() > max(r.convergeTime()/dissemination.OverdueParts, 2*dissemination.UpdateInterval).Microseconds()
		for _, addr := range r.comparisons.Next(r.likelyCore(), *r.parent.Load(), overdue) {
			go func() {
				cctx, cancel := context.WithTimeout(ctx, r.convergeTime()/dissemination.ComparisonWaitParts)
				defer cancel()
				m, ok := r.compareWith(cctx, addr, overdue)
				r.comparisons.Ended(addr, ok, m.RegistrySum == r.registry.Snapshot().Sum)
			}()
		}
	}
}

// coreMemory stores the core as last seen in the membership. A router whose process was paused may
// consider all other nodes dead; it must still query the core then. The zero value is ready for use.
type coreMemory struct {
	mu   sync.Mutex
	last []string
}

// all returns the addresses of the core in the membership, including suspected members, or of the
// last one seen if there is none.
func (m *coreMemory) all(controllers []messages.Peer) []string {
	var list []string
	for _, p := range membership.Core(controllers) {
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

// likely returns the addresses of the core members that are not suspected, or all if there are none.
func (m *coreMemory) likely(controllers []messages.Peer) []string {
	var list []string
	for _, p := range membership.Core(controllers) {
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

// wholeCore returns the addresses of all controllers that may have a newer configuration.
func (r *Router) wholeCore() []string { return r.core.all(r.monitor.Alive(messages.Controller)) }

// likelyCore returns the addresses of the controllers that are likely to answer soon.
func (r *Router) likelyCore() []string { return r.core.likely(r.monitor.Alive(messages.Controller)) }

// compareWith requests the versions of one controller. If a newer version has not arrived through
// the tree within a grace period, or the lists of runners have differed repeatedly, it fetches the
// changes since this node's versions from that controller. ok reports whether the controller has
// answered and a fetch, if one was needed, has succeeded.
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
		r.log.Info("controller has newer versions", "controller", addr, "theirs", m.Parts, "held", held, "overdue", overdue, "fetch", due)
	}
	if !due && !runners {
		return m, true
	}
	return m, r.fetchMissing(ctx, addr, runners)
}

// askVersions requests the versions of one controller.
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
	r.timeOfDay.Compare(addr, m, sentUs, r.clock())
	r.takeVersions(m)
	return m, nil
}

// fetchMissing fetches from one controller the changes since this node's versions, including
// runners if requested. Only one fetch runs at a time. It reports whether the changes were applied;
// also true if another fetch is in progress.
func (r *Router) fetchMissing(ctx context.Context, addr string, runners bool) bool {
	if !r.comparisons.StartFetch() {
		r.log.V(1).Info("fetch skipped: another one is in progress", "controller", addr)
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
	r.log.Info("fetched missing changes", "controller", addr, "versions", f.Versions, "held", h.Configuration.Version, "changes", len(f.Configuration), "bytes", len(b), "fits", fits)
	return fits
}
