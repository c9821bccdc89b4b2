// Package inflight keeps the requests that are waiting in a slab: a slot and a
// generation name one of them, and with it the continuation that goes on once
// something is decided. A late decision finds another generation and does
// nothing, so no request ever gets what was meant for another.
package inflight

import "sync"

// Ref names a ticket. The zero Ref names none.
type Ref struct {
	slot uint32
	gen  uint32
}

type slot[T any] struct {
	gen  uint32
	next func(T)
}

// Slab holds continuations that take a T.
type Slab[T any] struct {
	mu    sync.Mutex
	slots []slot[T]
	free  []uint32
}

// Put stores a continuation.
func (s *Slab[T]) Put(next func(T)) Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		s.slots = append(s.slots, slot[T]{})
		i = uint32(len(s.slots) - 1)
	}
	s.slots[i].gen++
	s.slots[i].next = next
	return Ref{slot: i, gen: s.slots[i].gen}
}

// Resume runs the continuation once; it tells whether it was still there.
func (s *Slab[T]) Resume(r Ref, with T) bool {
	next := s.take(r)
	if next == nil {
		return false
	}
	next(with)
	return true
}

// Drop forgets a continuation without running it.
func (s *Slab[T]) Drop(r Ref) bool { return s.take(r) != nil }

// Len counts the tickets held.
func (s *Slab[T]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots) - len(s.free)
}

func (s *Slab[T]) take(r Ref) func(T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.gen == 0 || int(r.slot) >= len(s.slots) || s.slots[r.slot].gen != r.gen || s.slots[r.slot].next == nil {
		return nil
	}
	next := s.slots[r.slot].next
	s.slots[r.slot].next = nil
	s.free = append(s.free, r.slot)
	return next
}
