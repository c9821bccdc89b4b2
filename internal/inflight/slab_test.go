package inflight

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestLateDecisionFindsNobodyElse(t *testing.T) {
	var s Slab[int]
	got := 0
	a := s.Put(func(n int) { got = n })
	must.True(t, s.Resume(a, 1))
	must.Eq(t, 1, got)
	other := 0
	b := s.Put(func(n int) { other = n })
	must.False(t, s.Resume(a, 2))
	must.Eq(t, 0, other)
	must.True(t, s.Drop(b))
	must.False(t, s.Resume(b, 3))
	must.False(t, s.Resume(Ref{}, 1))
	must.Eq(t, 0, s.Len())
}
