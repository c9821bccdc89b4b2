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
		overdue := r.clock()-r.lastUpdateUs.Load() > max(r.convergeTime()/dissemination.OverdueDivisor, 2*dissemination.UpdateInterval).Microseconds()
		for _, addr := range r.comparisons.Next(r.unsuspectedCoreAddrs(), *r.parent.Load(), overdue) {
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, r.convergeTime()/dissemination.ComparisonTimeoutDivisor)
				defer cancel()
				remote, ok := r.compareWith(callCtx, addr, overdue)
				r.comparisons.RecordResult(addr, ok, remote.RegistrySum == r.registry.Snapshot().Checksum)
			}()
		}
	}
}

// coreHistory stores the core as last seen in the membership. A router whose process was paused may
// consider all other nodes dead; it must still query the core then. The zero value is ready for use.
type coreHistory struct {
	mu        sync.Mutex
	lastAddrs []string
}

// allAddrs returns the addresses of the core members in the membership, suspected ones included. If
// there are none, it returns the last ones seen.
func (h *coreHistory) allAddrs(controllers []messages.Peer) []string {
	var addrs []string
	for _, p := range membership.CountedControllers(controllers) {
		addrs = append(addrs, p.Addr)
	}
	slices.Sort(addrs)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(addrs) > 0 {
		h.lastAddrs = addrs
	}
	return h.lastAddrs
}

// unsuspectedAddrs returns the addresses of the core members that are not suspected. If there are
// none, it returns all.
func (h *coreHistory) unsuspectedAddrs(controllers []messages.Peer) []string {
	var addrs []string
	for _, p := range membership.CountedControllers(controllers) {
		if p.Status == messages.Alive {
			addrs = append(addrs, p.Addr)
		}
	}
	if len(addrs) == 0 {
		return h.allAddrs(controllers)
	}
	slices.Sort(addrs)
	return addrs
}

// allCoreAddrs returns the addresses of all controllers that may have a newer configuration.
func (r *Router) allCoreAddrs() []string {
	return r.core.allAddrs(r.monitor.Alive(messages.Controller))
}

// unsuspectedCoreAddrs returns the addresses of the controllers that are likely to answer soon.
func (r *Router) unsuspectedCoreAddrs() []string {
	return r.core.unsuspectedAddrs(r.monitor.Alive(messages.Controller))
}

// compareWith requests the versions of one controller. If a newer version has not arrived through
// the tree within a grace period, or the lists of runners have differed repeatedly, it fetches the
// changes since this node's versions from that controller. ok reports whether the controller has
// answered and a fetch, if one was needed, has succeeded.
func (r *Router) compareWith(ctx context.Context, addr string, overdue bool) (remote messages.Versions, ok bool) {
	remote, err := r.requestVersions(ctx, addr)
	if err != nil {
		r.log.V(1).Info("comparison failed", "controller", addr, "overdue", overdue, "err", err.Error())
		return remote, false
	}
	grace := r.convergeTime() / dissemination.ComparisonIntervalDivisor
	if overdue {
		grace = 0
	}
	local := r.localVersions()
	wantRunners := r.comparisons.RunnersFetchDue()
	due := r.comparisons.FetchDue(local, remote.Parts, grace, r.clock())
	if dissemination.Behind(local, remote.Parts) {
		r.log.Info("controller has newer versions", "controller", addr, "theirs", remote.Parts, "held", local, "overdue", overdue, "fetch", due)
	}
	if !due && !wantRunners {
		return remote, true
	}
	return remote, r.fetchMissing(ctx, addr, wantRunners)
}

// requestVersions requests the versions of one controller.
func (r *Router) requestVersions(ctx context.Context, addr string) (versions messages.Versions, err error) {
	r.counters.comparisons.begin()
	sentUs := r.clock()
	body, err := r.transport.Call(ctx, addr, transport.KindVersions, &messages.Versions{Parts: []int64{}})
	r.counters.comparisons.end(err)
	if err != nil {
		return versions, err
	}
	if _, err := versions.UnmarshalMsg(body); err != nil {
		return versions, err
	}
	r.timeOfDay.AddSample(addr, versions, sentUs, r.clock())
	r.applyVersions(versions)
	return versions, nil
}

// fetchMissing fetches from one controller the changes since this node's versions, including
// runners if requested. Only one fetch runs at a time. It reports whether the changes were applied;
// also true if another fetch is in progress.
func (r *Router) fetchMissing(ctx context.Context, addr string, wantRunners bool) bool {
	if !r.comparisons.StartFetch() {
		r.log.V(1).Info("fetch skipped: another one is in progress", "controller", addr)
		return true
	}
	defer r.comparisons.EndFetch()
	state := r.syncState()
	state.ConfigOnly, state.Cached = true, nil
	if !wantRunners {
		state.Registry.Epoch = -1
	}
	r.counters.fetches.begin()
	b, err := r.transport.Call(ctx, addr, transport.KindSince, &state)
	r.counters.fetches.end(err)
	var feed messages.Feed
	if err == nil {
		_, err = feed.UnmarshalMsg(b)
	}
	if err != nil {
		r.log.Info("fetch failed", "controller", addr, "held", state.Configuration.Version, "err", err.Error())
		return false
	}
	applied := r.applyFeed("", feed)
	r.log.Info("fetched", "controller", addr, "versions", feed.Versions, "held", state.Configuration.Version, "changes", len(feed.Configuration), "bytes", len(b), "fits", applied)
	return applied
}
