// Package inflight stores the continuations of requests that wait for a decision.
//
// A Slab assigns each continuation a reference of slot and generation. A slot is
// reused after its continuation has been removed, under the next generation, so
// that a late decision finds another generation and has no effect: no request
// gets a decision meant for another. A continuation runs at most once.
//
// A Slab is safe for concurrent use. Continuations run on the goroutine that
// calls Resume, without the Slab's lock. The package starts no goroutine.
package inflight

import "sync"

// Ref identifies a continuation in a Slab. The zero Ref identifies none.
type Ref struct {
	slot       uint32
	generation uint32 // starts at 1
}

// Slab stores continuations with a parameter of type T. The zero Slab is empty and
// ready to use.
type Slab[T any] struct {
	mu    sync.Mutex // guards the fields below
	slots []slot[T]
	free  []uint32 // indexes of the slots without a continuation
}

type slot[T any] struct {
	generation   uint32  // of the newest continuation stored in the slot; 0: none yet
	continuation func(T) // nil if the slot is free
}

// Store stores a continuation and returns its reference.
func (s *Slab[T]) Store(continuation func(T)) Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.allocate()
	s.slots[index].generation++
	s.slots[index].continuation = continuation
	return Ref{slot: index, generation: s.slots[index].generation}
}

// allocate returns the index of a free slot. It is called with mu held.
func (s *Slab[T]) allocate() uint32 {
	if last := len(s.free) - 1; last >= 0 {
		index := s.free[last]
		s.free = s.free[:last]
		return index
	}
	s.slots = append(s.slots, slot[T]{})
	return uint32(len(s.slots) - 1)
}

// Resume removes the continuation and runs it with value. It returns false, and
// does nothing, if the continuation has already been removed.
func (s *Slab[T]) Resume(r Ref, value T) bool {
	continuation := s.remove(r)
	if continuation == nil {
		return false
	}
	continuation(value)
	return true
}

// Drop removes the continuation without running it. It returns false if it has
// already been removed.
func (s *Slab[T]) Drop(r Ref) bool { return s.remove(r) != nil }

// Len returns the number of stored continuations.
func (s *Slab[T]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots) - len(s.free)
}

// remove removes a continuation, frees its slot and returns the continuation; nil if
// it is not stored.
func (s *Slab[T]) remove(r Ref) func(T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.generation == 0 || int(r.slot) >= len(s.slots) {
		return nil
	}
	entry := &s.slots[r.slot]
	if entry.generation != r.generation || entry.continuation == nil {
		return nil
	}
	continuation := entry.continuation
	entry.continuation = nil
	s.free = append(s.free, r.slot)
	return continuation
}
