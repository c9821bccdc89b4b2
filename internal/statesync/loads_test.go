package statesync

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// Two levels of sums give what adding up by hand gives, also after tellers have
// come and gone.
func TestSumsThroughALevelAreExact(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	low := []*Sum{NewSum(11), NewSum(12)}
	top, down := NewSum(20), NewLoads()
	own := map[string]*Loads{}
	for i := range 6 {
		l := NewLoads()
		l.Begin(int64(100+i), 0)
		own[fmt.Sprint("n", i)] = l
	}
	version := int64(0)
	for range 500 {
		i := rnd.IntN(6)
		name := fmt.Sprint("n", i)
		l, at := own[name], low[i%2]
		if rnd.IntN(20) == 0 {
			at.Drop(name)
			c, _ := l.Since(0, 0)
			must.Eq(t, Applied, at.Tell(name, SendLoads(c)))
		}
		id := fmt.Sprint("r", rnd.IntN(5))
		if rnd.IntN(4) == 0 {
			l.Drop(id)
		} else {
			l.Put(id, messages.RunnerLoad{ID: id, Blocks: rnd.IntN(50), Count: 1 + rnd.IntN(3), Prefill: rnd.IntN(9)})
		}
		version++
		c := l.Commit(version)
		if at.Tell(name, SendLoads(c)) == Gap {
			w, _ := l.Since(0, 0)
			must.Eq(t, Applied, at.Tell(name, SendLoads(w)))
		}
		up := at.Total.Commit(version)
		who := fmt.Sprint("d", i%2)
		if top.Tell(who, SendLoads(up)) == Gap {
			w, _ := at.Total.Since(0, 0)
			must.Eq(t, Applied, top.Tell(who, SendLoads(w)))
		}
		if down.Apply(HearLoads(SendLoads(top.Total.Commit(version)))) == Gap {
			w, _ := top.Total.Since(0, 0)
			must.Eq(t, Applied, down.Apply(HearLoads(SendLoads(w))))
		}
		for r := range 5 {
			id := fmt.Sprint("r", r)
			blocks, count := 0, 0
			for _, l := range own {
				v, _ := l.Get(id)
				blocks, count = blocks+v.Blocks, count+v.Count
			}
			v, _ := down.Get(id)
			must.Eq(t, [2]int{blocks, count}, [2]int{v.Blocks, v.Count})
		}
	}
}

func TestASumFollowsAStreamFromTheStart(t *testing.T) {
	l, s := NewLoads(), NewSum(2)
	l.Begin(7, 0)
	for i := range 3 {
		l.Put("r", messages.RunnerLoad{ID: "r", Count: i + 1})
		l.Commit(int64(i + 1))
		s.Follow("x", l)
		got, _ := s.Total.Get("r")
		must.Eq(t, i+1, got.Count)
	}
	s.Drop("x")
	must.Eq(t, 0, s.Total.Len())
	s.Follow("x", l)
	must.Eq(t, 1, s.Total.Len())
}
