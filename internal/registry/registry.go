// Package registry knows the runners. A Roster merges what is told about them,
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
	note     messages.RunnerNote
	heardUs  int64
	goneAtUs int64
}

// Snapshot is the runners at one moment.
type Snapshot struct {
	ByService map[string][]messages.RunnerNote
	ByID      map[string]messages.RunnerNote
	Sum       uint64
}

// Roster is the mutable side.
type Roster struct {
	mu   sync.Mutex
	all  map[string]*entry
	snap atomic.Pointer[Snapshot]
}

// New makes an empty roster.
func New() *Roster {
	r := &Roster{all: map[string]*entry{}}
	r.snap.Store(&Snapshot{ByService: map[string][]messages.RunnerNote{}, ByID: map[string]messages.RunnerNote{}})
	return r
}

// Snapshot is what readers use.
func (r *Roster) Snapshot() *Snapshot { return r.snap.Load() }

// Hear takes a beat that came straight from a runner or was passed on by the
// controller that got it. It tells whether anything but the sequence changed.
func (r *Roster) Hear(n messages.RunnerNote, nowUs int64) bool {
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
	e.note.Barred, e.note.Easing, e.note.BarMark = old.Barred, old.Easing, old.BarMark
	e.note.Draining = n.Draining || old.Draining
	e.note.Models = newest(old.Models, n.Models)
	return r.settle(e, old)
}

// Merge takes a note from another node's roster.
func (r *Roster) Merge(n messages.RunnerNote, nowUs int64) bool {
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
	if n.BarMark >= old.BarMark {
		e.note.Barred, e.note.Easing, e.note.BarMark = n.Barred, n.Easing, n.BarMark
	} else {
		e.note.Barred, e.note.Easing, e.note.BarMark = old.Barred, old.Easing, old.BarMark
	}
	return r.settle(e, old)
}

func newest(a, b []messages.Target) []messages.Target {
	out := append([]messages.Target{}, b...)
	for _, t := range a {
		found := false
		for i := range out {
			if out[i].Model == t.Model {
				out[i].Mark = max(out[i].Mark, t.Mark)
				found = true
			}
		}
		if !found {
			out = append(out, t)
		}
	}
	return out
}

func (r *Roster) settle(e *entry, old messages.RunnerNote) bool {
	if same(e.note, old) {
		return false
	}
	r.publish()
	return true
}

func same(a, b messages.RunnerNote) bool {
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
func (r *Roster) Leave(id string, nowUs int64) (messages.RunnerNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		e = &entry{note: messages.RunnerNote{ID: id}}
		r.all[id] = e
	}
	changed := !e.note.Gone
	e.note.Gone, e.goneAtUs = true, nowUs
	if changed {
		r.publish()
	}
	return e.note, changed
}

// Bar marks a runner as soon to be ordered (easing: no more long requests), as
// under order (barred: none at all), or frees it.
func (r *Roster) Bar(id string, easing, barred bool, mark int64) (messages.RunnerNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil || mark < e.note.BarMark {
		return messages.RunnerNote{}, false
	}
	old := e.note
	e.note.Barred, e.note.Easing, e.note.BarMark = barred, easing, mark
	return e.note, r.settle(e, old)
}

// Weights notes the mark of a model at a runner, as a report told it.
func (r *Roster) Weights(id, model string, mark int64) (messages.RunnerNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		return messages.RunnerNote{}, false
	}
	old := e.note
	e.note.Models = newest(old.Models, []messages.Target{{Model: model, Mark: mark}})
	return e.note, r.settle(e, old)
}

// Sweep marks runners silent for staleUs, and forgets those silent for
// dropUs. It returns the notes that changed.
func (r *Roster) Sweep(nowUs, staleUs, dropUs int64) []messages.RunnerNote {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []messages.RunnerNote
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
func (r *Roster) Note(id string) (messages.RunnerNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.all[id]
	if e == nil {
		return messages.RunnerNote{}, false
	}
	return e.note, true
}

// All lists every note, tombstones included.
func (r *Roster) All() []messages.RunnerNote {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messages.RunnerNote, 0, len(r.all))
	for _, e := range r.all {
		out = append(out, e.note)
	}
	return out
}

func (r *Roster) publish() {
	s := &Snapshot{ByService: map[string][]messages.RunnerNote{}, ByID: map[string]messages.RunnerNote{}}
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
			_, _ = h.Write([]byte{byte(m.Mark), byte(m.Mark >> 8)})
		}
	}
	s.Sum = h.Sum64()
	r.snap.Store(s)
}
