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
	return r == statesync.Applied || r == statesync.Known
}

// syncState names what this node holds of every stream.
func (c *Router) syncState() messages.SyncState {
	var h messages.SyncState
	c.stateMu.Lock()
	for p, n := range c.parts {
		for len(h.Parts) <= p {
			h.Parts = append(h.Parts, 0)
		}
		h.Parts[p] = n.Version
	}
	h.Configuration = c.configuration.Cursor()
	h.Registry.Epoch, h.Registry.Version = c.runners.Cursor()
	c.stateMu.Unlock()
	h.Loads = c.loads.cursor()
	c.admissionMu.Lock()
	h.Cached = c.admission.Index.Cursors()
	h.TargetAges = c.admission.TargetAges(c.clock())
	c.admissionMu.Unlock()
	return h
}

// deltaSince gives what a node below lacks.
func (c *Router) deltaSince(h messages.SyncState) messages.Feed {
	f := messages.Feed{FromRelay: true}
	c.admissionMu.Lock()
	c.admission.ObserveTargets(h.TargetAges, c.clock())
	f.TargetAges = c.admission.TargetAges(c.clock())
	c.admissionMu.Unlock()
	c.stateMu.Lock()
	f.Versions = c.versions()
	for p, n := range c.parts {
		if p > 0 && (p >= len(h.Parts) || h.Parts[p] < n.Version) {
			f.Parts = append(f.Parts, n)
		}
	}
	if ch, lacks := c.configuration.DeltaSince(h.Configuration); lacks {
		f.Configuration = append(f.Configuration, ch)
	}
	if ch, lacks := c.runners.DeltaSince(h.Registry.Epoch, h.Registry.Version); lacks {
		f.Registry = append(f.Registry, statesync.EncodeEntries(ch))
	}
	c.stateMu.Unlock()
	if h.ConfigOnly {
		return f
	}
	if ch, lacks := c.loads.deltaSince(h.Loads); lacks {
		f.Loads = append(f.Loads, ch)
	}
	c.admissionMu.Lock()
	f.Cached = c.admission.Index.DeltasSince(h.Cached, func(string) bool { return true })
	c.admissionMu.Unlock()
	return f
}

// versions is heldVersions for a caller that has the mutex.
func (c *Router) versions() []int64 {
	out := []int64{c.configuration.Version()}
	for p, n := range c.parts {
		for len(out) <= p {
			out = append(out, 0)
		}
		out[p] = n.Version
	}
	return out
}

// behind tells whether a node with these versions has something newer.
func (c *Router) behind(versions []int64) bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	held := c.versions()
	c.lag.heardOf(held, versions, c.clock())
	return dissemination.Behind(held, versions)
}

// heldVersions are those of the parts that are held.
func (c *Router) heldVersions() []int64 {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.versions()
}

// receiveFeed takes what the parent sent and passes it on.
func (c *Router) receiveFeed(parent string, f messages.Feed, raw []byte) *messages.SyncState {
	c.parent.Store(&parent)
	if !f.CutOff {
		c.lastUpdateUs.Store(c.clock())
	}
	c.publisher.Forward(dissemination.ToRouters, raw)
	if !c.applyFeed(parent, f) || c.behind(f.Versions) {
		h := c.syncState()
		return &h
	}
	return nil
}

// applyFeed takes a feed in; parent is empty where it came from another node than
// the parent. It tells whether all of it fitted.
func (c *Router) applyFeed(parent string, f messages.Feed) (fits bool) {
	now := c.clock()
	c.takeTargetAges(f, now)
	c.stateMu.Lock()
	fits, changed := c.applyConfigs(f.Configuration)
	for _, p := range f.Parts {
		c.applyPart(p, now)
	}
	for _, ch := range f.Registry {
		in := statesync.DecodeEntries(ch)
		listFits, listChanged := c.applyList(parent, in, now)
		fits, changed = fits && listFits, changed || listChanged
	}
	c.stateMu.Unlock()
	if changed {
		c.syncAdmission()
	}
	for _, ch := range f.Loads {
		again := ch.Snapshot && c.loads.cursor().Epoch == ch.Epoch
		fits = c.feedStats.fits(c.loads.apply(ch), again) && fits
	}
	fits = c.applyCached(parent, f, now) && fits
	if changed || len(f.Reports)+len(f.Loads) > 0 {
		c.wakeQueue()
	}
	return fits
}

// applyConfigs takes changes of the configuration. It tells whether all of them fitted, and
// whether one was put in force. The caller has the mutex.
func (c *Router) applyConfigs(changes []messages.EntryChange) (fits, changed bool) {
	fits = true
	for _, ch := range changes {
		again := ch.Snapshot && c.configuration.Cursor().Epoch == ch.Epoch
		r, renewed := c.applyConfig(ch)
		fits = c.feedStats.fits(r, again) && fits
		changed = changed || renewed
	}
	return fits, changed
}

// applyList takes a change of the list of runners: of the parent's, or of another node's
// where parent is empty. It tells whether it fitted, and whether a runner has changed. The
// caller has the mutex.
func (c *Router) applyList(parent string, in statesync.Change[string, string], nowUs int64) (fits, changed bool) {
	believed := parent // whose beliefs are taken along with the facts
	fits = true
	if parent != "" {
		again := in.Snapshot && c.runners.Epoch == in.Epoch
		r := c.runners.Apply(in)
		fits = c.feedStats.fits(r, again)
		if r == statesync.Mismatch || r == statesync.Known {
			return fits, false // what is known already may be older than what is held
		}
		if r == statesync.Gap {
			believed = "" // of a parent that was left, or to come again in order
		}
	}
	for _, p := range in.Puts {
		changed = c.applyRecord(believed, p, nowUs) || changed
	}
	if len(in.Puts) > 0 && !c.informed.Swap(true) {
		c.log.Info("runners known", "count", len(in.Puts))
	}
	return fits, changed
}

// applyRecord takes the encoded record of a runner.
func (c *Router) applyRecord(believed string, p statesync.Put[string, string], nowUs int64) (changed bool) {
	if p.Deleted {
		return false
	}
	var n messages.RunnerRecord
	if _, err := n.UnmarshalMsg([]byte(p.Value)); err != nil {
		c.feedStats.malformed.Add(1)
		return false
	}
	return c.applyRunner(believed, n, nowUs)
}

// applyCached takes what a feed says of cached prefixes and reports of runners, and brings
// admission up to date with the loads. It tells whether all of it fitted.
func (c *Router) applyCached(parent string, f messages.Feed, nowUs int64) (fits bool) {
	fits = true
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	for _, k := range f.Cached {
		again := k.Snapshot && c.admission.Index.CachedPrefixes(k.ID).Epoch == k.Epoch
		fits = c.feedStats.fits(c.admission.Index.Apply(k), again) && fits
	}
	c.admission.ExpectBlocks(f.PendingBlocks)
	for _, r := range f.Reports {
		c.admission.Report(r, nowUs)
	}
	if parent != "" {
		c.loads.updateAdmission(c.admission, nowUs)
	}
	return fits
}

// applyRunner takes the record of a runner: the parent's as it stands, of another
// node only the facts.
func (c *Router) applyRunner(parent string, n messages.RunnerRecord, nowUs int64) (changed bool) {
	if parent == "" {
		return c.registry.Merge(n, nowUs)
	}
	return c.registry.Mirror(n, nowUs)
}

// forgetUnlisted drops runners that the parent has not listed for long.
func (c *Router) forgetUnlisted() {
	c.stateMu.Lock()
	listed := func(id string) bool {
		_, ok := c.runners.Get(id)
		return ok
	}
	went := c.registry.Retain(listed, c.clock())
	c.stateMu.Unlock()
	if went {
		c.syncAdmission()
	}
}

// applyConfig takes a change of the configuration; a new table is swapped in.
func (c *Router) applyConfig(ch messages.EntryChange) (r statesync.Result, renewed bool) {
	r, renewed, err := c.configuration.Apply(ch)
	if err != nil {
		c.log.Error(err, "a change of the configuration is left aside")
		c.feedStats.malformed.Add(1)
	}
	if renewed {
		t := c.configuration.Table()
		routeconfig.PutInForce(&c.table, t)
		c.lag.inForce(c.configuration.Version(), c.clock())
		c.log.Info("configuration in place", "version", t.Version, "entries", len(ch.Entries), "whole", ch.Snapshot)
	}
	return r, renewed
}

func (c *Router) applyPart(p messages.RegisterUpdate, nowUs int64) {
	if old, ok := c.parts[p.Part]; p.Part == 0 || ok && old.Version >= p.Version {
		return
	}
	var body messages.LeaseBody
	if _, err := body.UnmarshalMsg(p.Body); err != nil {
		c.feedStats.malformed.Add(1)
		return
	}
	c.assumeTargets(body.Targets, nowUs)
	if c.usage != nil {
		c.usage.Closed(body.Usage.Next)
	}
	c.parts[p.Part] = p
	c.recordEvacuations(p.Part, body.Evacuations, nowUs)
	c.recordRollouts(body.Rollouts)
}
