// Package registry keeps the list of runners. It merges their records, by id and
// rising sequence, in whatever order they arrive: nothing here needs consensus, and
// what is lost is sent again with the next heartbeat.
//
// # Facts and beliefs
//
// Facts hold wherever they are received: what a runner reports of itself, its leaving,
// its weights, its cordon by version. Beliefs (stale, lost) are conclusions of one
// observer from silence. Sweep alone draws them; Merge ignores those of other
// controllers, and the next heartbeat ends them. Before a silent runner becomes stale
// the other controllers are asked for later heartbeats (SilentRunners,
// LaterHeartbeats, ApplyLaterHeartbeats). Mirror applies a record of the node that is followed, facts
// and beliefs.
//
// # What it guarantees
//
// Where all heartbeats and records get through in the end, in any order and any number
// of times, all registries hold the same facts. A runner that left does not come back
// under its id for as long as it is remembered. Silence counts only while the caller is in contact with the core, and
// a step of the clock counts for a second at most.
//
// # Who owns which state
//
// A mutex guards the entries. Readers take an immutable Snapshot by an atomic pointer;
// the first one after a change makes it. Times are microseconds of the caller's monotonic clock. The
// package starts no goroutine.
package registry

import (
	"sync"
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
)

// keepGoneUs is how long the entry of a runner that has left or was lost is kept, so that
// late messages do not bring it back. It bounds the memory.
const keepGoneUs = 120_000_000

type entry struct {
	record          messages.RunnerRecord
	lastSeq         int64 // of the newest heartbeat known, received here or elsewhere
	lastObservedUs  int64 // observed time of that heartbeat
	lastHeartbeatUs int64 // the same on the node's monotonic clock
	lastAskedUs     int64 // when other controllers were last asked for a later one
	removedAtUs     int64 // when it left or was lost
	unlistedUs      int64 // since when the node that is mirrored does not list it
}

func (e *entry) usable() bool { return !e.record.Gone && !e.record.Lost }

// recordHeartbeat notes a heartbeat that is known from now on.
func (e *entry) recordHeartbeat(seq, observedUs, nowUs int64) {
	if seq > e.lastSeq {
		e.lastSeq, e.lastObservedUs, e.lastHeartbeatUs = seq, observedUs, nowUs
	}
}

func newEntry(n messages.RunnerRecord, observedUs, nowUs int64) *entry {
	return &entry{record: n, lastSeq: n.Seq, lastObservedUs: observedUs, lastHeartbeatUs: nowUs}
}

// Registry is the records of all runners that a node knows. It is safe for concurrent use.
type Registry struct {
	mu               sync.Mutex
	entries          map[string]*entry
	byAddress        map[string]string // the id of the runner last seen at an address
	pending          map[string]bool   // beliefs that changed outside of Sweep
	observed         observedClock
	newestObservedUs int64                    // observed time of the newest heartbeat of any runner
	snapshot         atomic.Pointer[Snapshot] // nil after a change, until somebody asks for it
}

// New makes an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*entry{}, byAddress: map[string]string{}, pending: map[string]bool{}}
}

// Snapshot returns the usable runners. It takes the lock only after a change, to make the
// snapshot: many changes that come one after the other, as at a start, cost one.
func (r *Registry) Snapshot() *Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	s := newSnapshot(r.entries)
	r.snapshot.Store(s)
	return s
}

// ApplyHeartbeat applies a heartbeat that came directly from a runner, or was forwarded at
// once by the controller that received it. A higher sequence overrides every belief; only
// a runner that has left stays so. It reports whether anything but the sequence changed.
func (r *Registry) ApplyHeartbeat(n messages.RunnerRecord, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	receivedUs := r.observed.advance(nowUs)
	e := r.entries[n.ID]
	if e != nil && (e.record.Gone || n.Seq <= e.record.Seq) {
		return r.applyLateHeartbeat(e, n)
	}
	r.newestObservedUs = receivedUs
	r.evictAddress(n, nowUs)
	if e == nil {
		r.entries[n.ID] = newEntry(n, receivedUs, nowUs)
		r.invalidateSnapshot()
		return true
	}
	old := e.record
	otherWarmup := warmupChanged(old.ColdLeftUs-(nowUs-e.lastHeartbeatUs), old.ColdLeftUs, n.ColdLeftUs)
	e.recordHeartbeat(n.Seq, receivedUs, nowUs)
	e.record = n
	e.record = withFacts(e.record, old)
	if otherWarmup {
		r.invalidateSnapshot()
	}
	return r.publishIfChanged(e, old) || otherWarmup
}

// applyLateHeartbeat applies a heartbeat that is not newer than the record. Draining is
// never taken back, so it holds however late it comes.
func (r *Registry) applyLateHeartbeat(e *entry, n messages.RunnerRecord) bool {
	if e.record.Gone || e.record.Draining || !n.Draining {
		return false
	}
	e.record.Draining = true
	r.invalidateSnapshot()
	return true
}

// evictAddress takes the address from the runner that was last seen there: an address
// belongs to one runner at a time. That is a belief like silence, since the heartbeat may
// have come late.
func (r *Registry) evictAddress(n messages.RunnerRecord, nowUs int64) {
	former := r.byAddress[n.Addr]
	r.byAddress[n.Addr] = n.ID
	if former == "" || former == n.ID {
		return
	}
	if e := r.entries[former]; e != nil && e.usable() && e.record.Addr == n.Addr {
		e.record.Lost, e.removedAtUs = true, nowUs
		r.pending[former] = true
		r.invalidateSnapshot()
	}
}

// Merge applies the facts of another controller's record and ignores its beliefs: a
// heartbeat that did not reach that controller may have reached this one.
func (r *Registry) Merge(n messages.RunnerRecord, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[n.ID]
	if e == nil && n.Lost {
		return false
	}
	n.Stale, n.Lost = false, false
	if e != nil {
		n.Stale, n.Lost = e.record.Stale, e.record.Lost
		if n.Seq > e.lastSeq {
			n.Stale, n.Lost = false, false
		}
	}
	return r.mergeLocked(n, nowUs)
}

// Mirror applies a record of the node that this one follows, with its beliefs: a router
// receives no heartbeats itself.
func (r *Registry) Mirror(n messages.RunnerRecord, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mergeLocked(n, nowUs)
}

func (r *Registry) mergeLocked(n messages.RunnerRecord, nowUs int64) bool {
	receivedUs := r.observed.advance(nowUs)
	e := r.entries[n.ID]
	if e == nil {
		if n.Gone || n.Lost {
			return false // nodes would send it to each other for ever
		}
		r.entries[n.ID] = newEntry(n, receivedUs, nowUs)
		if r.byAddress[n.Addr] == "" {
			r.byAddress[n.Addr] = n.ID
		}
		r.invalidateSnapshot()
		return true
	}
	old := e.record
	if old.Gone {
		return false
	}
	e.recordHeartbeat(n.Seq, receivedUs, nowUs)
	if n.Seq >= old.Seq {
		e.record = n
	}
	e.record.Stale, e.record.Lost, e.record.Gone = n.Stale, n.Lost, n.Gone
	e.record = withFacts(e.record, old)
	e.record = withFacts(e.record, n)
	if !e.usable() && (!old.Lost || e.record.Gone) {
		e.removedAtUs = nowUs
	}
	return r.publishIfChanged(e, old)
}

func (r *Registry) publishIfChanged(e *entry, old messages.RunnerRecord) bool {
	if sameButSequence(e.record, old) {
		return false
	}
	r.invalidateSnapshot()
	return true
}

// Leave records that a runner has left. It returns the record, and whether it changed.
func (r *Registry) Leave(id string, nowUs int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		e = &entry{record: messages.RunnerRecord{ID: id}}
		r.entries[id] = e
	}
	changed := !e.record.Gone
	e.record.Gone, e.removedAtUs = true, nowUs
	if changed {
		r.invalidateSnapshot()
	}
	return e.record, changed
}

// SetCordon sets the cordon of a runner: easing for no more long requests, barred for no
// requests at all, neither to lift it. An older version than the last is ignored.
func (r *Registry) SetCordon(id string, easing, barred bool, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || version < e.record.BarVersion {
		return messages.RunnerRecord{}, false
	}
	old := e.record
	e.record.Cordoned, e.record.DrainingLong, e.record.BarVersion = barred, easing, version
	return e.record, r.publishIfChanged(e, old)
}

// SetWeights records the version of a model at a runner, as a report named it.
func (r *Registry) SetWeights(id, model string, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	old := e.record
	e.record.Models = newestOf(old.Models, []messages.Target{{Model: model, Version: version}})
	return e.record, r.publishIfChanged(e, old)
}

// Sweep draws this observer's conclusions and forgets runners that ended long
// ago. inContact says that it reaches a majority of the core; the time in which
// it does not counts for no runner's silence. It returns the records whose
// beliefs changed.
func (r *Registry) Sweep(nowUs int64, after Silence, inContact bool) []messages.RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.advance(nowUs)
	r.observed.setContact(inContact)
	r.newestObservedUs = min(r.newestObservedUs, r.observed.nowUs)
	var changed []messages.RunnerRecord
	for id, e := range r.entries {
		if !e.usable() {
			r.forgetOld(id, e, nowUs)
		} else if r.evaluate(e, after, nowUs) {
			r.pending[id] = true
		}
		if r.pending[id] && r.entries[id] != nil {
			changed = append(changed, e.record)
		}
	}
	clear(r.pending)
	if len(changed) > 0 {
		r.invalidateSnapshot()
	}
	return changed
}

// evaluate compares a runner's silence with the newest heartbeat of any runner: an observer
// that receives no heartbeats learns nothing about one runner.
func (r *Registry) evaluate(e *entry, after Silence, nowUs int64) bool {
	silentUs := r.newestObservedUs - e.lastObservedUs
	if silentUs > after.LostUs {
		e.record.Lost, e.removedAtUs = true, nowUs
		return true
	}
	stale := silentUs > after.StaleUs
	changed := stale != e.record.Stale
	e.record.Stale = stale
	return changed
}

func (r *Registry) forgetOld(id string, e *entry, nowUs int64) {
	if nowUs-e.removedAtUs <= keepGoneUs {
		return
	}
	delete(r.entries, id)
	if r.byAddress[e.record.Addr] == id {
		delete(r.byAddress, e.record.Addr)
	}
}

// unlistedLimitUs is how long a runner stays that the mirrored node does not
// list. That node may have just started and not know all runners yet.
const unlistedLimitUs = 30_000_000

// Retain deletes the runners that the mirrored node has not listed for unlistedLimitUs. It
// reports whether a usable runner was deleted.
func (r *Registry) Retain(listed func(id string) bool, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	deleted := false
	for id, e := range r.entries {
		switch {
		case listed(id):
			e.unlistedUs = 0
		case e.unlistedUs == 0:
			e.unlistedUs = nowUs
		case nowUs-e.unlistedUs > unlistedLimitUs:
			deleted = deleted || e.usable()
			e.removedAtUs = min(e.removedAtUs, nowUs-keepGoneUs-1)
			r.forgetOld(id, e, nowUs)
		}
	}
	if deleted {
		r.invalidateSnapshot()
	}
	return deleted
}

// Record returns the record of one runner, also of one that has left or is lost.
func (r *Registry) Record(id string) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	return e.record, true
}

// All returns every record, those of runners that have left or are lost included.
func (r *Registry) All() []messages.RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]messages.RunnerRecord, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.record)
	}
	return all
}

func (r *Registry) invalidateSnapshot() {
	r.snapshot.Store(nil)
}
