package inflight

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestResumeIgnoresStaleRefWhenSlotIsReused(t *testing.T) {
	var slab Slab[int]
	got := 0
	first := slab.Store(func(n int) { got = n })
	must.True(t, slab.Resume(first, 1))
	must.Eq(t, 1, got)
	other := 0
	second := slab.Store(func(n int) { other = n })
	must.Eq(t, first.slot, second.slot)
	must.False(t, slab.Resume(first, 2))
	must.Eq(t, 0, other)
	must.True(t, slab.Drop(second))
	must.False(t, slab.Resume(second, 3))
	must.False(t, slab.Resume(Ref{}, 1))
	must.Eq(t, 0, slab.Len())
}

func TestDropReturnsFalseForUnknownAndRemovedRefs(t *testing.T) {
	var slab Slab[int]
	must.False(t, slab.Drop(Ref{}))
	must.False(t, slab.Drop(Ref{slot: 5, generation: 1}))
	ref := slab.Store(func(int) {})
	must.Eq(t, 1, slab.Len())
	must.True(t, slab.Drop(ref))
	must.False(t, slab.Drop(ref))
}
