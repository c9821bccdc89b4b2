// Package inflight keeps the continuations of requests that wait for a decision.
//
// A Slab gives each continuation a reference of slot and generation. A slot is
// reused once its continuation has been taken, under the next generation, so
// that a late decision finds another generation and does nothing: no request
// gets a decision meant for another. A continuation runs at most once.
//
// A Slab is safe for concurrent use. Continuations run on the goroutine that
// calls Resume, without the Slab's lock. The package starts no goroutine.
package inflight

import "sync"

// Ref names a continuation in a Slab. The zero Ref names none.
type Ref struct {
	slot       uint32
	generation uint32 // from 1 on
}

// Slab holds continuations that take a T. The zero Slab is empty and ready to
// use.
type Slab[T any] struct {
	mu    sync.Mutex // guards the fields below
	slots []slot[T]
	free  []uint32 // indexes of the slots without a continuation
}

type slot[T any] struct {
	generation   uint32
	continuation func(T) // nil where the slot is free
}

// Put stores a continuation.
func (s *Slab[T]) Put(continuation func(T)) Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.allocate()
	s.slots[index].generation++
	s.slots[index].continuation = continuation
	return Ref{slot: index, generation: s.slots[index].generation}
}

// allocate gives the index of a free slot. It is called with mu held.
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
// does nothing, where the continuation has been taken before.
func (s *Slab[T]) Resume(r Ref, value T) bool {
	continuation := s.take(r)
	if continuation == nil {
		return false
	}
	continuation(value)
	return true
}

// Drop removes the continuation without running it. It returns false where it
// has been taken before.
func (s *Slab[T]) Drop(r Ref) bool { return s.take(r) != nil }

// Len counts the continuations held.
func (s *Slab[T]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots) - len(s.free)
}

// take removes a continuation and frees its slot; nil if it is not there.
func (s *Slab[T]) take(r Ref) func(T) {
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
