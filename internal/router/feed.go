// The feed: what a router receives down the tree, applied as deltas. Whatever does not
// fit the state that is held is requested again, by naming that state; nothing is ever
// guessed, and no version goes back.

package router

import (
	"sync/atomic"

	"beechtide.org/beechtide/internal/dissemination"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// stats are for the doctor: how many changes were taken, how many wholes of a
// stream that was held already, and how many could not be read.
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

// fits counts a result, and tells whether the change fitted what was held.
func (s *stats) fits(r statesync.Result, again bool) bool {
	s.count(r, again)
	return r == statesync.Applied || r == statesync.AlreadyApplied
}

// syncState names what this node holds of every stream.
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

// deltaSince gives what a node below lacks.
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

// versions is heldVersions for a caller that has the mutex.
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

// behind tells whether a node with these versions has something newer.
func (r *Router) behind(versions []int64) bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	held := r.versions()
	r.lag.heardOf(held, versions, r.clock())
	return dissemination.Behind(held, versions)
}

// heldVersions are those of the parts that are held.
func (r *Router) heldVersions() []int64 {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.versions()
}

// receiveFeed takes what the parent sent and passes it on.
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

// applyFeed takes a feed in; parent is empty where it came from another node than
// the parent. It tells whether all of it fitted.
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

// applyConfigs takes changes of the configuration. It tells whether all of them fitted, and
// whether one was put in force. The caller has the mutex.
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

// applyList takes a change of the list of runners: of the parent's, or of another node's
// where parent is empty. It tells whether it fitted, and whether a runner has changed. The
// caller has the mutex.
func (r *Router) applyList(parent string, in statesync.Change[string, string], nowUs int64) (fits, changed bool) {
	believed := parent // whose beliefs are taken along with the facts
	fits = true
	if parent != "" {
		again := in.Snapshot && r.runners.Epoch == in.Epoch
		result := r.runners.Apply(in)
		fits = r.feedStats.fits(result, again)
		if result == statesync.DigestMismatch || result == statesync.AlreadyApplied {
			return fits, false // what is known already may be older than what is held
		}
		if result == statesync.VersionGap {
			believed = "" // of a parent that was left, or to come again in order
		}
	}
	for _, p := range in.Puts {
		changed = r.applyRecord(believed, p, nowUs) || changed
	}
	if len(in.Puts) > 0 && !r.informed.Swap(true) {
		r.log.Info("runners known", "count", len(in.Puts))
	}
	return fits, changed
}

// applyRecord takes the encoded record of a runner.
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

// applyCached takes what a feed says of cached prefixes and reports of runners, and brings
// admission up to date with the loads. It tells whether all of it fitted.
func (r *Router) applyCached(parent string, f messages.Feed, nowUs int64) (fits bool) {
	fits = true
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	for _, k := range f.Cached {
		again := k.Snapshot && r.admission.Index.CachedPrefixes(k.ID).Epoch == k.Epoch
		fits = r.feedStats.fits(r.admission.Index.Apply(k), again) && fits
	}
	r.admission.ExpectPrefixes(f.PendingBlocks)
	for _, result := range f.Reports {
		r.admission.RecordRunnerReport(result, nowUs)
	}
	if parent != "" {
		r.loads.updateAdmission(r.admission, nowUs)
	}
	return fits
}

// applyRunner takes the record of a runner: the parent's as it stands, of another
// node only the facts.
func (r *Router) applyRunner(parent string, n messages.RunnerRecord, nowUs int64) (changed bool) {
	if parent == "" {
		return r.registry.Merge(n, nowUs)
	}
	return r.registry.Mirror(n, nowUs)
}

// forgetUnlisted drops runners that the parent has not listed for long.
func (r *Router) forgetUnlisted() {
	r.stateMu.Lock()
	listed := func(id string) bool {
		_, ok := r.runners.Get(id)
		return ok
	}
	went := r.registry.DeleteUnlisted(listed, r.clock())
	r.stateMu.Unlock()
	if went {
		r.syncAdmission()
	}
}

// applyConfig takes a change of the configuration; a new table is swapped in.
func (r *Router) applyConfig(ch messages.EntryChange) (result statesync.Result, renewed bool) {
	result, renewed, err := r.configuration.Apply(ch)
	if err != nil {
		r.log.Error(err, "a change of the configuration is left aside")
		r.feedStats.malformed.Add(1)
	}
	if renewed {
		t := r.configuration.Table()
		routeconfig.SetActive(&r.table, t)
		r.lag.inForce(r.configuration.Version(), r.clock())
		r.log.Info("configuration in place", "version", t.Version, "entries", len(ch.Entries), "whole", ch.Snapshot)
	}
	return result, renewed
}

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
		r.usage.Closed(body.Usage.Next)
	}
	r.parts[p.Part] = p
	r.recordEvacuations(p.Part, body.Evacuations, nowUs)
	r.recordRollouts(body.Rollouts)
}
