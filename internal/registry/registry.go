// Package registry knows the runners. A Registry merges what is told about them,
// by id and rising sequence, in whatever order it comes: nothing here has to be
// agreed on, and what is lost is told again by the runners within a beat.
// Readers take an immutable snapshot.
package registry

import (
	"hash/fnv"
	"sort"
	"sync"
	"sync/atomic"

	"beechtide.org/beechtide/internal/messages"
)

type entry struct {
	note     messages.RunnerRecord
	heardUs  int64
	goneAtUs int64
}

// Snapshot is the runners at one moment.
type Snapshot struct {
	ByService map[string][]messages.RunnerRecord
	ByID      map[string]messages.RunnerRecord
	Sum       uint64
}

// Registry is the mutable side.
type Registry struct {
	mu   sync.Mutex
	all  map[string]*entry
	snap atomic.Pointer[Snapshot]
}

// New makes an empty registry.
func New() *Registry {
	r := &Registry{all: map[string]*entry{}}
	r.snap.Store(&Snapshot{ByService: map[string][]messages.RunnerRecord{}, ByID: map[string]messages.RunnerRecord{}})
	return r
}

// Snapshot is what readers use.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// Hear takes a beat that came straight from a runner or was passed on by the
// controller that got it. It tells whether anything but the sequence changed.
func (r *Registry) Hear(n messages.RunnerRecord, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[n.ID]
	if e == nil {
		r.all[n.ID] = &entry{note: n, heardUs: nowUs}
		r.publish()
		return true
	}
	if e.note.Gone || n.Seq < e.note.Seq {
		return false
	}
	e.heardUs = max(e.heardUs, nowUs)
	old := e.note
	e.note = n
	e.note.Barred, e.note.Easing, e.note.BarVersion = old.Barred, old.Easing, old.BarVersion
	e.note.Draining = n.Draining || old.Draining
	e.note.Models = newest(old.Models, n.Models)
	return r.settle(e, old)
}

// Merge takes a note from another node's registry.
func (r *Registry) Merge(n messages.RunnerRecord, nowUs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[n.ID]
	if e == nil {
		if n.Gone {
			r.all[n.ID] = &entry{note: n, heardUs: nowUs, goneAtUs: nowUs}
			return false
		}
		r.all[n.ID] = &entry{note: n, heardUs: nowUs}
		r.publish()
		return true
	}
	old := e.note
	if old.Gone {
		return false
	}
	if n.Gone {
		e.note.Gone, e.goneAtUs = true, nowUs
		r.publish()
		return true
	}
	if n.Seq >= old.Seq {
		e.heardUs = nowUs
		e.note = n
	}
	e.note.Draining = n.Draining || old.Draining
	e.note.Models = newest(old.Models, n.Models)
	if n.BarVersion >= old.BarVersion {
		e.note.Barred, e.note.Easing, e.note.BarVersion = n.Barred, n.Easing, n.BarVersion
	} else {
		e.note.Barred, e.note.Easing, e.note.BarVersion = old.Barred, old.Easing, old.BarVersion
	}
	return r.settle(e, old)
}

func newest(a, b []messages.Target) []messages.Target {
	out := append([]messages.Target{}, b...)
	for _, t := range a {
		found := false
		for i := range out {
			if out[i].Model == t.Model {
				out[i].Version = max(out[i].Version, t.Version)
				found = true
			}
		}
		if !found {
			out = append(out, t)
		}
	}
	return out
}

func (r *Registry) settle(e *entry, old messages.RunnerRecord) bool {
	if same(e.note, old) {
		return false
	}
	r.publish()
	return true
}

func same(a, b messages.RunnerRecord) bool {
	if a.Addr != b.Addr || a.Draining != b.Draining || a.Gone != b.Gone || a.Stale != b.Stale || a.Barred != b.Barred || a.Easing != b.Easing || a.Capacity != b.Capacity || a.Service != b.Service || len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if a.Models[i] != b.Models[i] {
			return false
		}
	}
	return true
}

// Leave notes that a runner is gone for good.
func (r *Registry) Leave(id string, nowUs int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		e = &entry{note: messages.RunnerRecord{ID: id}}
		r.all[id] = e
	}
	changed := !e.note.Gone
	e.note.Gone, e.goneAtUs = true, nowUs
	if changed {
		r.publish()
	}
	return e.note, changed
}

// Bar versions a runner as soon to be ordered (easing: no more long requests), as
// under order (barred: none at all), or frees it.
func (r *Registry) Bar(id string, easing, barred bool, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil || version < e.note.BarVersion {
		return messages.RunnerRecord{}, false
	}
	old := e.note
	e.note.Barred, e.note.Easing, e.note.BarVersion = barred, easing, version
	return e.note, r.settle(e, old)
}

// Weights notes the version of a model at a runner, as a report told it.
func (r *Registry) Weights(id, model string, version int64) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	old := e.note
	e.note.Models = newest(old.Models, []messages.Target{{Model: model, Version: version}})
	return e.note, r.settle(e, old)
}

// Sweep versions runners silent for staleUs, and forgets those silent for
// dropUs. It returns the notes that changed.
func (r *Registry) Sweep(nowUs, staleUs, dropUs int64) []messages.RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []messages.RunnerRecord
	for id, e := range r.all {
		if e.note.Gone {
			if nowUs-e.goneAtUs > 120_000_000 {
				delete(r.all, id)
			}
			continue
		}
		age := nowUs - e.heardUs
		if age > dropUs {
			e.note.Gone, e.goneAtUs = true, nowUs
			out = append(out, e.note)
			continue
		}
		if stale := age > staleUs; stale != e.note.Stale {
			e.note.Stale = stale
			out = append(out, e.note)
		}
	}
	if len(out) > 0 {
		r.publish()
	}
	return out
}

// Note gives what is known of one runner, also of one that is gone.
func (r *Registry) Note(id string) (messages.RunnerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		return messages.RunnerRecord{}, false
	}
	return e.note, true
}

// All lists every note, tombstones included.
func (r *Registry) All() []messages.RunnerRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messages.RunnerRecord, 0, len(r.all))
	for _, e := range r.all {
		out = append(out, e.note)
	}
	return out
}

func (r *Registry) publish() {
	s := &Snapshot{ByService: map[string][]messages.RunnerRecord{}, ByID: map[string]messages.RunnerRecord{}}
	var ids []string
	for id, e := range r.all {
		if !e.note.Gone {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	h := fnv.New64a()
	for _, id := range ids {
		n := r.all[id].note
		s.ByID[id] = n
		s.ByService[n.Service] = append(s.ByService[n.Service], n)
		_, _ = h.Write([]byte(id))
		flags := byte(0)
		if n.Draining {
			flags |= 1
		}
		if n.Barred {
			flags |= 2
		}
		if n.Easing {
			flags |= 4
		}
		_, _ = h.Write([]byte{flags})
		for _, m := range n.Models {
			_, _ = h.Write([]byte{byte(m.Version), byte(m.Version >> 8)})
		}
	}
	s.Sum = h.Sum64()
	r.snap.Store(s)
}
