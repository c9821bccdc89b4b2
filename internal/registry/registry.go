// Package registry stores the records of the runners. It merges records by runner id and
// increasing sequence, in any order of arrival. It needs no consensus: a lost record is
// sent again with the next heartbeat.
//
// # Facts and liveness
//
// Facts are valid at every node that receives them: what a runner reports about itself,
// that it has left, its weights, and its cordon by version. The liveness flags (stale,
// lost) are one observer's conclusions from silence. Sweep sets them, and a lost flag is
// also set when another runner appears at the same address; Merge ignores the flags of
// other controllers, and the next heartbeat clears them. Before a silent runner becomes
// stale, the caller queries the other controllers for later heartbeats (SilentRunners,
// LaterHeartbeats, ApplyLaterHeartbeats). Mirror applies a record of the parent node with
// both facts and liveness flags.
//
// # Guarantees
//
// If every heartbeat and record eventually arrives, in any order and any number of times,
// all registries have the same facts. A runner that has left does not return under its id
// while its entry is retained. Silence accrues only while the caller is in contact with
// the core, and one clock step counts for one second at most.
//
// # Concurrency
//
// A mutex guards the entries. Readers load an immutable Snapshot through an atomic
// pointer; the first reader after a change builds it. Times are microseconds of the
// caller's monotonic clock. The package starts no goroutine.
package registry

import (
	"sync"
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
)

// removedRetentionUs is how long the entry of a runner that has left or was lost is retained, so
// that late messages do not restore the runner. The limit bounds memory use.
const removedRetentionUs = 120_000_000

type entry struct {
	record          messages.RunnerRecord
	lastSeq         int64 // sequence of the newest known heartbeat, received here or elsewhere
	lastObservedUs  int64 // observed time of that heartbeat
	lastHeartbeatUs int64 // time of that heartbeat on the node's monotonic clock
	lastQueriedUs   int64 // when other controllers were last queried for a later heartbeat
	removedAtUs     int64 // when the runner left or was lost
	unlistedSinceUs int64 // since when the mirrored node does not list the runner; 0 while it does
}

func (e *entry) usable() bool { return !e.record.Gone && !e.record.Lost }

// recordHeartbeat stores the sequence and times of a heartbeat if it is the newest.
func (e *entry) recordHeartbeat(seq, observedUs, nowUs int64) {
	if seq > e.lastSeq {
		e.lastSeq, e.lastObservedUs, e.lastHeartbeatUs = seq, observedUs, nowUs
	}
}

func newEntry(n messages.RunnerRecord, observedUs, nowUs int64) *entry {
	return &entry{record: n, lastSeq: n.Seq, lastObservedUs: observedUs, lastHeartbeatUs: nowUs}
}

// Registry stores the records of all runners known to a node. It is safe for concurrent use.
type Registry struct {
	mu               sync.Mutex
	entries          map[string]*entry
	byAddress        map[string]string // the id of the runner last seen at an address
	pendingLiveness  map[string]bool   // runners whose liveness flags changed outside of Sweep
	observed         observedClock
	newestObservedUs int64                    // observed time of the newest heartbeat of any runner
	snapshot         atomic.Pointer[Snapshot] // nil after a change, until the next call of Snapshot
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*entry{}, byAddress: map[string]string{}, pendingLiveness: map[string]bool{}}
}

// Snapshot returns the usable runners. It acquires the lock only after a change, to build
// the snapshot: a burst of changes, as at startup, costs one rebuild.
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

// ApplyHeartbeat applies a heartbeat received directly from a runner or forwarded at once
// by the controller that received it. A higher sequence clears the liveness flags; a
// runner that has left stays removed. It reports whether anything but the sequence changed.
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
	warmupUpdated := warmupChanged(old.ColdLeftUs-(nowUs-e.lastHeartbeatUs), old.ColdLeftUs, n.ColdLeftUs)
	e.recordHeartbeat(n.Seq, receivedUs, nowUs)
	e.record = n
	e.record = mergeFacts(e.record, old)
	if warmupUpdated {
		r.invalidateSnapshot()
	}
	return r.invalidateIfChanged(e, old) || warmupUpdated
}

// applyLateHeartbeat applies a heartbeat that is not newer than the record. Draining is
// never revoked, so it is applied however late it arrives.
func (r *Registry) applyLateHeartbeat(e *entry, n messages.RunnerRecord) bool {
	if e.record.Gone || e.record.Draining || !n.Draining {
		return false
	}
	e.record.Draining = true
	r.invalidateSnapshot()
	return true
}

// evictAddress assigns an address to a runner and marks the runner last seen there as
// lost: an address belongs to one runner at a time. Like silence this is a conclusion that
// the next heartbeat corrects, since the heartbeat may have arrived late.
func (r *Registry) evictAddress(n messages.RunnerRecord, nowUs int64) {
	previousID := r.byAddress[n.Addr]
	r.byAddress[n.Addr] = n.ID
	if previousID == "" || previousID == n.ID {
		return
	}
	if e := r.entries[previousID]; e != nil && e.usable() && e.record.Addr == n.Addr {
		e.record.Lost, e.removedAtUs = true, nowUs
		r.pendingLiveness[previousID] = true
		r.invalidateSnapshot()
	}
}

// Merge applies the facts of another controller's record and ignores its liveness flags: a
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

// Mirror applies a record of the parent node, including its liveness flags: a router
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
			return false // otherwise nodes would send it to each other forever
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
	e.record = mergeFacts(e.record, old)
	e.record = mergeFacts(e.record, n)
	if !e.usable() && (!old.Lost || e.record.Gone) {
		e.removedAtUs = nowUs
	}
	return r.invalidateIfChanged(e, old)
}

func (r *Registry) invalidateIfChanged(e *entry, old messages.RunnerRecord) bool {
	if equalExceptSequence(e.record, old) {
		return false
	}
	r.invalidateSnapshot()
	return true
}

// Leave marks a runner as having left. It returns the record and whether it changed.
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

// SetCordon sets the cordon of a runner: drainingLong excludes it from new long requests,
// cordoned from all new requests, and neither lifts the cordon. A version older than the
// last one is ignored.
func (r *Registry) SetCordon(id string, drainingLong, cordoned bool, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || version < e.record.BarVersion {
		return messages.RunnerRecord{}, false
	}
	old := e.record
	e.record.Cordoned, e.record.DrainingLong, e.record.BarVersion = cordoned, drainingLong, version
	return e.record, r.invalidateIfChanged(e, old)
}

// SetWeights stores the version of a model's weights at a runner, as given in a report.
func (r *Registry) SetWeights(id, model string, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	old := e.record
	e.record.Models = newestVersions(old.Models, []messages.Target{{Model: model, Version: version}})
	return e.record, r.invalidateIfChanged(e, old)
}

// Sweep updates the liveness flags of all runners and deletes the entries of runners that
// ended longer ago than the retention time. inContact is set while this node reaches a
// majority of the core; time without contact does not count as silence of any runner. It
// returns the records whose liveness flags changed.
func (r *Registry) Sweep(nowUs int64, limits SilenceLimits, inContact bool) []messages.RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.advance(nowUs)
	r.observed.setContact(inContact)
	r.newestObservedUs = min(r.newestObservedUs, r.observed.nowUs)
	var changed []messages.RunnerRecord
	for id, e := range r.entries {
		if !e.usable() {
			r.deleteExpired(id, e, nowUs)
		} else if r.updateLiveness(e, limits, nowUs) {
			r.pendingLiveness[id] = true
		}
		if r.pendingLiveness[id] && r.entries[id] != nil {
			changed = append(changed, e.record)
		}
	}
	clear(r.pendingLiveness)
	if len(changed) > 0 {
		r.invalidateSnapshot()
	}
	return changed
}

// updateLiveness updates a runner's liveness flags and reports whether they changed.
// Silence is measured up to the newest heartbeat of any runner: an observer that receives
// no heartbeats at all can conclude nothing about a single runner.
func (r *Registry) updateLiveness(e *entry, limits SilenceLimits, nowUs int64) bool {
	silentUs := r.newestObservedUs - e.lastObservedUs
	if silentUs > limits.LostUs {
		e.record.Lost, e.removedAtUs = true, nowUs
		return true
	}
	stale := silentUs > limits.StaleUs
	changed := stale != e.record.Stale
	e.record.Stale = stale
	return changed
}

func (r *Registry) deleteExpired(id string, e *entry, nowUs int64) {
	if nowUs-e.removedAtUs <= removedRetentionUs {
		return
	}
	delete(r.entries, id)
	if r.byAddress[e.record.Addr] == id {
		delete(r.byAddress, e.record.Addr)
	}
}

// unlistedLimitUs is how long a runner is retained that the mirrored node does not list.
// That node may have just started and not have received all runners yet.
const unlistedLimitUs = 30_000_000

// DeleteUnlisted deletes the runners that the mirrored node has not listed for
// unlistedLimitUs. It reports whether a usable runner was deleted.
func (r *Registry) DeleteUnlisted(listed func(id string) bool, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	deleted := false
	for id, e := range r.entries {
		switch {
		case listed(id):
			e.unlistedSinceUs = 0
		case e.unlistedSinceUs == 0:
			e.unlistedSinceUs = nowUs
		case nowUs-e.unlistedSinceUs > unlistedLimitUs:
			deleted = deleted || e.usable()
			e.removedAtUs = min(e.removedAtUs, nowUs-removedRetentionUs-1)
			r.deleteExpired(id, e, nowUs)
		}
	}
	if deleted {
		r.invalidateSnapshot()
	}
	return deleted
}

// Record returns the record of one runner, including one that has left or is lost.
func (r *Registry) Record(id string) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	return e.record, true
}

// All returns every record, including those of runners that have left or are lost.
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
