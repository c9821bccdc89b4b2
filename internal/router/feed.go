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

// feedCounters are totals for the diagnostic report: deltas applied, snapshots of a stream that was
// already known, and malformed updates.
type feedCounters struct {
	changes, snapshots, malformed atomic.Int64
}

func (s *feedCounters) count(r statesync.Result, repeated bool) {
	switch {
	case r == statesync.Applied && repeated:
		s.snapshots.Add(1)
	case r == statesync.Applied:
		s.changes.Add(1)
	}
}

// recordResult counts the result of a change and reports whether the change followed the local state
// or was already known.
func (s *feedCounters) recordResult(r statesync.Result, repeated bool) bool {
	s.count(r, repeated)
	return r == statesync.Applied || r == statesync.AlreadyApplied
}

// syncState returns the versions of this node's replica of every stream.
func (r *Router) syncState() messages.SyncState {
	var state messages.SyncState
	r.stateMu.Lock()
	for p, n := range r.registers {
		for len(state.Parts) <= p {
			state.Parts = append(state.Parts, 0)
		}
		state.Parts[p] = n.Version
	}
	state.Configuration = r.configuration.Cursor()
	state.Registry.Epoch, state.Registry.Version = r.runners.Cursor()
	r.stateMu.Unlock()
	state.Loads = r.loads.cursor()
	r.admissionMu.Lock()
	state.Cached = r.admission.Index.Cursors()
	state.TargetAges = r.admission.TargetAges(r.clock())
	r.admissionMu.Unlock()
	return state
}

// deltaSince returns the changes that a subscriber with the given state lacks.
func (r *Router) deltaSince(state messages.SyncState) messages.Feed {
	feed := messages.Feed{FromRelay: true}
	r.admissionMu.Lock()
	r.admission.ObserveTargets(state.TargetAges, r.clock())
	feed.TargetAges = r.admission.TargetAges(r.clock())
	r.admissionMu.Unlock()
	r.stateMu.Lock()
	feed.Versions = r.versionsLocked()
	for p, n := range r.registers {
		if p > 0 && (p >= len(state.Parts) || state.Parts[p] < n.Version) {
			feed.Parts = append(feed.Parts, n)
		}
	}
	if change, lacks := r.configuration.DeltaSince(state.Configuration); lacks {
		feed.Configuration = append(feed.Configuration, change)
	}
	if change, lacks := r.runners.DeltaSince(state.Registry.Epoch, state.Registry.Version); lacks {
		feed.Registry = append(feed.Registry, statesync.EncodeEntries(change))
	}
	r.stateMu.Unlock()
	if state.ConfigOnly {
		return feed
	}
	if change, lacks := r.loads.deltaSince(state.Loads); lacks {
		feed.Loads = append(feed.Loads, change)
	}
	r.admissionMu.Lock()
	feed.Cached = r.admission.Index.DeltasSince(state.Cached, func(string) bool { return true })
	r.admissionMu.Unlock()
	return feed
}

// versionsLocked is localVersions for a caller that holds stateMu.
func (r *Router) versionsLocked() []int64 {
	out := []int64{r.configuration.Version()}
	for p, n := range r.registers {
		for len(out) <= p {
			out = append(out, 0)
		}
		out[p] = n.Version
	}
	return out
}

// hasNewer reports whether a node with these versions has a newer one than this node.
func (r *Router) hasNewer(remote []int64) bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	local := r.versionsLocked()
	r.lag.observeRemote(local, remote, r.clock())
	return dissemination.Behind(local, remote)
}

// localVersions returns the versions of this node's replicas, by register.
func (r *Router) localVersions() []int64 {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.versionsLocked()
}

// receiveFeed applies a feed of the parent and forwards it to the routers below. It returns the
// local state if something is missing, so that the parent sends it.
func (r *Router) receiveFeed(parent string, feed messages.Feed, raw []byte) *messages.SyncState {
	r.parent.Store(&parent)
	if !feed.CutOff {
		r.lastUpdateUs.Store(r.clock())
	}
	r.publisher.Forward(dissemination.ToRouters, raw)
	if !r.applyFeed(parent, feed) || r.hasNewer(feed.Versions) {
		state := r.syncState()
		return &state
	}
	return nil
}

// applyFeed applies a feed; parent is empty if it was sent by a node other than the parent. It
// reports whether all of its changes followed the local state.
func (r *Router) applyFeed(parent string, feed messages.Feed) (fits bool) {
	nowUs := r.clock()
	r.applyTargetAges(feed, nowUs)
	r.stateMu.Lock()
	fits, changed := r.applyConfigs(feed.Configuration)
	for _, update := range feed.Parts {
		r.applyRegister(update, nowUs)
	}
	for _, change := range feed.Registry {
		listChange := statesync.DecodeEntries(change)
		listFits, listChanged := r.applyRunnerChange(parent, listChange, nowUs)
		fits, changed = fits && listFits, changed || listChanged
	}
	r.stateMu.Unlock()
	if changed {
		r.syncAdmission()
	}
	for _, change := range feed.Loads {
		repeated := change.Snapshot && r.loads.cursor().Epoch == change.Epoch
		fits = r.feedCounters.recordResult(r.loads.apply(change), repeated) && fits
	}
	fits = r.applyCached(parent, feed, nowUs) && fits
	if changed || len(feed.Reports)+len(feed.Loads) > 0 {
		r.wakeQueue()
	}
	return fits
}

// applyConfigs applies changes of the configuration. It reports whether all of them followed the
// local state, and whether one of them took effect. The caller holds stateMu.
func (r *Router) applyConfigs(changes []messages.EntryChange) (fits, changed bool) {
	fits = true
	for _, change := range changes {
		repeated := change.Snapshot && r.configuration.Cursor().Epoch == change.Epoch
		result, tableChanged := r.applyConfig(change)
		fits = r.feedCounters.recordResult(result, repeated) && fits
		changed = changed || tableChanged
	}
	return fits, changed
}

// applyRunnerChange applies a change of the parent's list of runners, or of another node's list if
// parent is empty. It reports whether the change followed the local state, and whether a runner has
// changed. The caller holds stateMu.
func (r *Router) applyRunnerChange(parent string, change statesync.Change[string, string], nowUs int64) (fits, changed bool) {
	mirrored := parent // the parent whose records are mirrored as they are; if empty, they are merged
	fits = true
	if parent != "" {
		repeated := change.Snapshot && r.runners.Epoch == change.Epoch
		result := r.runners.Apply(change)
		fits = r.feedCounters.recordResult(result, repeated)
		if result == statesync.DigestMismatch || result == statesync.AlreadyApplied {
			return fits, false // a change that is already known may be older than the local records
		}
		if result == statesync.VersionGap {
			mirrored = "" // sent by a former parent, or will be sent again in order
		}
	}
	for _, put := range change.Puts {
		changed = r.applyRecord(mirrored, put, nowUs) || changed
	}
	if len(change.Puts) > 0 && !r.runnersReceived.Swap(true) {
		r.log.Info("first runner records received", "count", len(change.Puts))
	}
	return fits, changed
}

// applyRecord decodes and applies the record of a runner.
func (r *Router) applyRecord(parent string, put statesync.Put[string, string], nowUs int64) (changed bool) {
	if put.Deleted {
		return false
	}
	var record messages.RunnerRecord
	if _, err := record.UnmarshalMsg([]byte(put.Value)); err != nil {
		r.feedCounters.malformed.Add(1)
		return false
	}
	return r.applyRunner(parent, record, nowUs)
}

// applyCached applies the cached prefixes and runner reports of a feed and updates admission with
// the loads. It reports whether all changes followed the local state.
func (r *Router) applyCached(parent string, feed messages.Feed, nowUs int64) (fits bool) {
	fits = true
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, prefixes := range feed.Cached {
		repeated := prefixes.Snapshot && r.admission.Index.CachedPrefixes(prefixes.ID).Epoch == prefixes.Epoch
		fits = r.feedCounters.recordResult(r.admission.Index.Apply(prefixes), repeated) && fits
	}
	r.admission.ExpectPrefixes(feed.PendingBlocks)
	for _, report := range feed.Reports {
		r.admission.RecordRunnerReport(report, nowUs)
	}
	if parent != "" {
		r.loads.updateAdmission(r.admission, nowUs)
	}
	return fits
}

// applyRunner applies the record of a runner: one of the parent replaces the local record, one of
// another node is merged into it (registry.Mirror, registry.Merge).
func (r *Router) applyRunner(parent string, record messages.RunnerRecord, nowUs int64) (changed bool) {
	if parent == "" {
		return r.registry.Merge(record, nowUs)
	}
	return r.registry.Mirror(record, nowUs)
}

// removeUnlisted removes runners that the parent has not listed for some time.
func (r *Router) removeUnlisted() {
	r.stateMu.Lock()
	listed := func(id string) bool {
		_, ok := r.runners.Get(id)
		return ok
	}
	removed := r.registry.DeleteUnlisted(listed, r.clock())
	r.stateMu.Unlock()
	if removed {
		r.syncAdmission()
	}
}

// applyConfig applies a change of the configuration and, if it results in a new table, puts that
// in force.
func (r *Router) applyConfig(change messages.EntryChange) (result statesync.Result, tableChanged bool) {
	result, tableChanged, err := r.configuration.Apply(change)
	if err != nil {
		r.log.Error(err, "ignored a malformed configuration change")
		r.feedCounters.malformed.Add(1)
	}
	if tableChanged {
		t := r.configuration.Table()
		routeconfig.SetActive(&r.table, t)
		r.lag.inForce(r.configuration.Version(), r.clock())
		r.log.Info("configuration in force", "version", t.Version, "entries", len(change.Entries), "whole", change.Snapshot)
	}
	return result, tableChanged
}

// applyRegister applies an update of a register unless the local version is as new. The caller holds
// stateMu.
func (r *Router) applyRegister(update messages.RegisterUpdate, nowUs int64) {
	if old, ok := r.registers[update.Part]; update.Part == 0 || ok && old.Version >= update.Version {
		return
	}
	var body messages.LeaseBody
	if _, err := body.UnmarshalMsg(update.Body); err != nil {
		r.feedCounters.malformed.Add(1)
		return
	}
	r.assumeTargets(body.Targets, nowUs)
	if r.usage != nil {
		r.usage.DiscardClosed(body.Usage.Next)
	}
	r.registers[update.Part] = update
	r.recordEvacuations(update.Part, body.Evacuations, nowUs)
	r.recordRollouts(body.Rollouts, body.Reverted)
}
