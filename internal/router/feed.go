// The feed: the updates that a router receives from its parent in the tree, applied as deltas. A
// delta that does not follow the local state is rejected and requested again by sending the local
// versions (SyncState); no version ever goes back.

package router

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// stats are totals for the diagnostic report: deltas applied, snapshots of a stream that was
// already known, and malformed updates.
type stats struct {
	changes, wholes, malformed atomic.Int64
}

func (s *stats) count(r statesync.Result, again bool) {
	switch {
	case r == statesync.Applied && again:
		s.wholes.Add(1)
	case r == statesync.Applied:
		s.changes.Add(1)
	}
}

// fits counts a result and reports whether the change followed the local state or was already
// known.
func (s *stats) fits(r statesync.Result, again bool) bool {
	s.count(r, again)
	return r == statesync.Applied || r == statesync.Known
}

// syncState returns the versions of this node's replica of every stream.
func (r *Router) syncState() messages.SyncState {
	var h messages.SyncState
	r.stateMu.Lock()
	for p, n := range r.parts {
		for len(h.Parts) <= p {
			h.Parts = append(h.Parts, 0)
		}
		h.Parts[p] = n.Version
	}
	h.Configuration = r.configuration.Cursor()
	h.Registry.Epoch, h.Registry.Version = r.runners.Cursor()
	r.stateMu.Unlock()
	h.Loads = r.loads.cursor()
	r.admissionMu.Lock()
	h.Cached = r.admission.Index.Cursors()
	h.TargetAges = r.admission.TargetAges(r.clock())
	r.admissionMu.Unlock()
	return h
}

// deltaSince returns the changes that a subscriber with the given state lacks.
func (r *Router) deltaSince(h messages.SyncState) messages.Feed {
	f := messages.Feed{FromRelay: true}
	r.admissionMu.Lock()
	r.admission.ObserveTargets(h.TargetAges, r.clock())
	f.TargetAges = r.admission.TargetAges(r.clock())
	r.admissionMu.Unlock()
	r.stateMu.Lock()
	f.Versions = r.versions()
	for p, n := range r.parts {
		if p > 0 && (p >= len(h.Parts) || h.Parts[p] < n.Version) {
			f.Parts = append(f.Parts, n)
		}
	}
	if ch, lacks := r.configuration.DeltaSince(h.Configuration); lacks {
		f.Configuration = append(f.Configuration, ch)
	}
	if ch, lacks := r.runners.DeltaSince(h.Registry.Epoch, h.Registry.Version); lacks {
		f.Registry = append(f.Registry, statesync.EncodeEntries(ch))
	}
	r.stateMu.Unlock()
	if h.ConfigOnly {
		return f
	}
	if ch, lacks := r.loads.deltaSince(h.Loads); lacks {
		f.Loads = append(f.Loads, ch)
	}
	r.admissionMu.Lock()
	f.Cached = r.admission.Index.DeltasSince(h.Cached, func(string) bool { return true })
	r.admissionMu.Unlock()
	return f
}

// versions is heldVersions for a caller that holds stateMu.
func (r *Router) versions() []int64 {
	out := []int64{r.configuration.Version()}
	for p, n := range r.parts {
		for len(out) <= p {
			out = append(out, 0)
		}
		out[p] = n.Version
	}
	return out
}

// behind reports whether a node with these versions has a newer one than this node.
func (r *Router) behind(versions []int64) bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	held := r.versions()
	r.lag.heardOf(held, versions, r.clock())
	return dissemination.Behind(held, versions)
}

// heldVersions returns the versions of this node's replicas, by register.
func (r *Router) heldVersions() []int64 {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.versions()
}

// receiveFeed applies a feed of the parent and forwards it to the routers below. It returns the
// local state if something is missing, so that the parent sends it.
func (r *Router) receiveFeed(parent string, f messages.Feed, raw []byte) *messages.SyncState {
	r.parent.Store(&parent)
	if !f.CutOff {
		r.lastUpdateUs.Store(r.clock())
	}
	r.publisher.Forward(dissemination.ToRouters, raw)
	if !r.applyFeed(parent, f) || r.behind(f.Versions) {
		h := r.syncState()
		return &h
	}
	return nil
}

// applyFeed applies a feed; parent is empty if it was sent by a node other than the parent. It
// reports whether all of its changes followed the local state.
func (r *Router) applyFeed(parent string, f messages.Feed) (fits bool) {
	now := r.clock()
	r.takeTargetAges(f, now)
	r.stateMu.Lock()
	fits, changed := r.applyConfigs(f.Configuration)
	for _, p := range f.Parts {
		r.applyPart(p, now)
	}
	for _, ch := range f.Registry {
		in := statesync.DecodeEntries(ch)
		listFits, listChanged := r.applyList(parent, in, now)
		fits, changed = fits && listFits, changed || listChanged
	}
	r.stateMu.Unlock()
	if changed {
		r.syncAdmission()
	}
	for _, ch := range f.Loads {
		again := ch.Snapshot && r.loads.cursor().Epoch == ch.Epoch
		fits = r.feedStats.fits(r.loads.apply(ch), again) && fits
	}
	fits = r.applyCached(parent, f, now) && fits
	if changed || len(f.Reports)+len(f.Loads) > 0 {
		r.wakeQueue()
	}
	return fits
}

// applyConfigs applies changes of the configuration. It reports whether all of them followed the
// local state, and whether one of them took effect. The caller holds stateMu.
func (r *Router) applyConfigs(changes []messages.EntryChange) (fits, changed bool) {
	fits = true
	for _, ch := range changes {
		again := ch.Snapshot && r.configuration.Cursor().Epoch == ch.Epoch
		result, renewed := r.applyConfig(ch)
		fits = r.feedStats.fits(result, again) && fits
		changed = changed || renewed
	}
	return fits, changed
}

// applyList applies a change of the list of runners of the parent, or of another node if parent is
// empty. It reports whether the change followed the local state, and whether a runner has changed.
// The caller holds stateMu.
func (r *Router) applyList(parent string, in statesync.Change[string, string], nowUs int64) (fits, changed bool) {
	believed := parent // the parent whose records are mirrored as they are; if empty, they are merged
	fits = true
	if parent != "" {
		again := in.Snapshot && r.runners.Epoch == in.Epoch
		result := r.runners.Apply(in)
		fits = r.feedStats.fits(result, again)
		if result == statesync.Mismatch || result == statesync.Known {
			return fits, false // a change that is already known may be older than the local records
		}
		if result == statesync.Gap {
			believed = "" // sent by a former parent, or will be sent again in order
		}
	}
	for _, p := range in.Puts {
		changed = r.applyRecord(believed, p, nowUs) || changed
	}
	if len(in.Puts) > 0 && !r.informed.Swap(true) {
		r.log.Info("first runner records received", "count", len(in.Puts))
	}
	return fits, changed
}

// applyRecord decodes and applies the record of a runner.
func (r *Router) applyRecord(believed string, p statesync.Put[string, string], nowUs int64) (changed bool) {
	if p.Deleted {
		return false
	}
	var n messages.RunnerRecord
	if _, err := n.UnmarshalMsg([]byte(p.Value)); err != nil {
		r.feedStats.malformed.Add(1)
		return false
	}
	return r.applyRunner(believed, n, nowUs)
}

// applyCached applies the cached prefixes and runner reports of a feed and updates admission with
// the loads. It reports whether all changes followed the local state.
func (r *Router) applyCached(parent string, f messages.Feed, nowUs int64) (fits bool) {
	fits = true
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, k := range f.Cached {
		again := k.Snapshot && r.admission.Index.CachedPrefixes(k.ID).Epoch == k.Epoch
		fits = r.feedStats.fits(r.admission.Index.Apply(k), again) && fits
	}
	r.admission.ExpectBlocks(f.PendingBlocks)
	for _, result := range f.Reports {
		r.admission.Report(result, nowUs)
	}
	if parent != "" {
		r.loads.updateAdmission(r.admission, nowUs)
	}
	return fits
}

// applyRunner applies the record of a runner: one of the parent replaces the local record, one of
// another node is merged into it (registry.Mirror, registry.Merge).
func (r *Router) applyRunner(parent string, n messages.RunnerRecord, nowUs int64) (changed bool) {
	if parent == "" {
		return r.registry.Merge(n, nowUs)
	}
	return r.registry.Mirror(n, nowUs)
}

// forgetUnlisted removes runners that the parent has not listed for some time.
func (r *Router) forgetUnlisted() {
	r.stateMu.Lock()
	listed := func(id string) bool {
		_, ok := r.runners.Get(id)
		return ok
	}
	went := r.registry.Retain(listed, r.clock())
	r.stateMu.Unlock()
	if went {
		r.syncAdmission()
	}
}

// applyConfig applies a change of the configuration and, if it results in a new table, puts that
// in force.
func (r *Router) applyConfig(ch messages.EntryChange) (result statesync.Result, renewed bool) {
	result, renewed, err := r.configuration.Apply(ch)
	if err != nil {
		r.log.Error(err, "ignored a malformed configuration change")
		r.feedStats.malformed.Add(1)
	}
	if renewed {
		t := r.configuration.Table()
		routeconfig.PutInForce(&r.table, t)
		r.lag.inForce(r.configuration.Version(), r.clock())
		r.log.Info("configuration in force", "version", t.Version, "entries", len(ch.Entries), "whole", ch.Snapshot)
	}
	return result, renewed
}

// applyPart applies an update of a register unless the local version is as new. The caller holds
// stateMu.
func (r *Router) applyPart(p messages.RegisterUpdate, nowUs int64) {
	if old, ok := r.parts[p.Part]; p.Part == 0 || ok && old.Version >= p.Version {
		return
	}
	var body messages.LeaseBody
	if _, err := body.UnmarshalMsg(p.Body); err != nil {
		r.feedStats.malformed.Add(1)
		return
	}
	r.assumeTargets(body.Targets, nowUs)
	if r.usage != nil {
		r.usage.DiscardClosed(body.Usage.Next)
	}
	r.parts[p.Part] = p
	r.recordEvacuations(p.Part, body.Evacuations, nowUs)
	r.recordRollouts(body.Rollouts)
}
