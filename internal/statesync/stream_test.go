package statesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func texts() *Stream[string, string] { return New(HashText) }

func state(s *Stream[string, string]) map[string]string {
	out := map[string]string{}
	s.Each(func(k, v string) { out[k] = v })
	return out
}

// Any sequence of changes, lost, doubled, late and damaged ones, with repairs
// in between, ends in the state that wholes would have given, and never goes
// back on the way.
func TestAnySequenceEndsWhereWholesWouldHave(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		from, to, below := texts(), texts(), texts()
		from.Begin(5, 0)
		version := int64(0)
		var air []Change[string, string]
		held := map[int64]map[string]string{0: {}}
		repair := func(sender, receiver *Stream[string, string]) {
			if c, ok := sender.Since(receiver.Epoch, receiver.Version); ok {
				must.Eq(t, Applied, receiver.Apply(c), must.Sprint("seed ", seed))
			}
		}
		for range 300 {
			switch rnd.IntN(10) {
			case 0, 1, 2, 3:
				for range rnd.IntN(4) {
					k := fmt.Sprint(rnd.IntN(12))
					if rnd.IntN(4) == 0 {
						from.Drop(k)
					} else {
						from.Put(k, fmt.Sprint(rnd.IntN(100)))
					}
				}
				version += 1 + int64(rnd.IntN(3))
				air = append(air, from.Commit(version))
				held[version] = state(from)
			case 4: // the sender's life ends, another begins
				if rnd.IntN(10) == 0 {
					was := state(from)
					version++
					from.Begin(from.Epoch+1, version)
					from.Replace(was)
					version++
					air = append(air, from.Commit(version))
					held[version] = state(from)
				}
			case 5: // lost
				if len(air) > 0 {
					i := rnd.IntN(len(air))
					air = append(air[:i:i], air[i+1:]...)
				}
			case 6: // doubled
				if len(air) > 0 {
					air = append(air, air[rnd.IntN(len(air))])
				}
			case 7: // damaged
				if len(air) > 0 {
					c := air[rnd.IntN(len(air))]
					c.Puts = append([]Put[string, string]{{Key: "x", Value: "never put"}}, c.Puts...)
					before, at := state(to), to.Version
					r := to.Apply(c)
					must.NotEq(t, Applied, r, must.Sprint("seed ", seed))
					must.Eq(t, before, state(to))
					must.Eq(t, at, to.Version)
				}
			case 8: // arrives, in any order
				if len(air) > 0 {
					i := rnd.IntN(len(air))
					epoch, at := to.Epoch, to.Version
					if r := to.Apply(air[i]); r == Gap || r == Mismatch {
						if rnd.IntN(2) == 0 {
							repair(from, to)
						}
					}
					must.True(t, to.Epoch > epoch || to.Version >= at, must.Sprint("seed ", seed))
					air = append(air[:i:i], air[i+1:]...)
				}
			case 9:
				repair(to, below)
			}
			if to.Epoch > 0 {
				must.True(t, maps.Equal(held[to.Version], state(to)), must.Sprint("seed ", seed, " version ", to.Version))
			}
		}
		repair(from, to)
		repair(to, below)
		must.Eq(t, state(from), state(to))
		must.Eq(t, state(from), state(below))
		must.Eq(t, from.Digest(), below.Digest())
	}
}

func TestSinceMergesAndFallsBackToTheWhole(t *testing.T) {
	s := texts()
	s.Begin(1, 0)
	for i := range 10 {
		s.Put("a", fmt.Sprint(i))
		s.Commit(int64(i + 1))
	}
	c, ok := s.Since(1, 4)
	must.True(t, ok)
	must.False(t, c.Whole)
	must.Len(t, 1, c.Puts, must.Sprint("latest of a key wins"))
	_, ok = s.Since(1, 10)
	must.False(t, ok)
	c, _ = s.Since(2, 4)
	must.True(t, c.Whole, must.Sprint("another epoch"))
	c, _ = s.Since(1, 11)
	must.True(t, c.Whole, must.Sprint("a version that the sender never had"))
	for i := range 2 * mostLogged {
		s.Put("a", fmt.Sprint(i))
		s.Commit(int64(i + 11))
	}
	c, _ = s.Since(1, 10)
	must.True(t, c.Whole, must.Sprint("the log is bounded"))
	must.LessEq(t, mostLogged+2, s.logged)
}

func TestWhatIsLackingIsNotGuessed(t *testing.T) {
	a, b := texts(), texts()
	a.Begin(1, 0)
	a.Put("k", "1")
	one := a.Commit(1)
	a.Put("k", "2")
	two := a.Commit(2)
	must.Eq(t, Gap, b.Apply(one), must.Sprint("another epoch"))
	b.Begin(1, 0)
	must.Eq(t, Gap, b.Apply(two), must.Sprint("a base that is missing"))
	must.Eq(t, Applied, b.Apply(one))
	must.Eq(t, Known, b.Apply(one), must.Sprint("twice does nothing"))
	two.Digest++
	must.Eq(t, Mismatch, b.Apply(two))
	two.Digest--
	must.Eq(t, Applied, b.Apply(two))
	must.Eq(t, Known, b.Apply(one), must.Sprint("never back"))
	w, _ := a.Since(0, 0)
	a.Put("k", "3")
	a.Commit(3)
	c, _ := a.Since(1, 2)
	must.Eq(t, Applied, b.Apply(c))
	must.Eq(t, Known, b.Apply(w), must.Sprint("an older whole of the same epoch"))
}

// The incident of docs/incidents/skipped-version-as-base.md: two senders of one
// stream, each of which skips versions that the other had, and a receiver that
// takes from both. What was changed and changed back in a version that a sender
// skipped is not in its log.
func TestAVersionThatTheSenderSkippedIsNoBase(t *testing.T) {
	a, b, to := texts(), texts(), texts()
	for _, s := range []*Stream[string, string]{a, b} {
		s.Begin(1, 0)
		s.Put("route", "old")
		s.Commit(1)
	}
	w, _ := a.Since(0, 0)
	must.Eq(t, Applied, to.Apply(w))
	a.Put("route", "new")
	must.Eq(t, Applied, to.Apply(a.Commit(2)))
	b.Put("other", "x") // b learned version 3 without 2; the route is as it was in 1
	b.Commit(3)
	c, lacks := b.Since(to.Holds())
	must.True(t, lacks)
	must.True(t, c.Whole)
	must.Eq(t, Applied, to.Apply(c))
	must.Eq(t, state(b), state(to))
}

// A receiver whose state is not what its version says gets the whole: a change
// that does not come out is not asked for again.
func TestAMismatchIsRepairedByTheWhole(t *testing.T) {
	a, to := texts(), texts()
	a.Begin(1, 0)
	a.Put("k", "1")
	a.Commit(1)
	w, _ := a.Since(0, 0)
	must.Eq(t, Applied, to.Apply(w))
	to.state["k"], to.digest = "not so", to.hash("k", "not so")
	a.Put("other", "2")
	must.Eq(t, Mismatch, to.Apply(a.Commit(2)))
	c, lacks := a.Since(to.Holds())
	must.True(t, lacks)
	must.True(t, c.Whole)
	must.Eq(t, Applied, to.Apply(c))
	must.Eq(t, state(a), state(to))
	epoch, version := to.Holds()
	must.Eq(t, [2]int64{1, 2}, [2]int64{epoch, version})
}

// Many senders that skip versions at random, and receivers that go from one to
// another, end in the same state.
func TestReceiversMayGoFromSenderToSender(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		truth := map[string]string{}
		senders := []*Stream[string, string]{texts(), texts(), texts()}
		for _, s := range senders {
			s.Begin(1, 0)
		}
		to := texts()
		for version := int64(1); version < 60; version++ {
			for range 1 + rnd.IntN(3) {
				k := fmt.Sprint(rnd.IntN(6))
				if rnd.IntN(3) == 0 {
					delete(truth, k)
				} else {
					truth[k] = fmt.Sprint(rnd.IntN(3))
				}
			}
			for _, s := range senders {
				if rnd.IntN(2) == 0 {
					s.Replace(truth)
					s.Commit(version)
				}
			}
			from := senders[rnd.IntN(3)]
			if from.Version <= to.Version {
				continue
			}
			c, lacks := from.Since(to.Holds())
			must.True(t, lacks)
			must.Eq(t, Applied, to.Apply(c), must.Sprint("seed ", seed, " version ", version))
			must.True(t, maps.Equal(state(from), state(to)))
		}
	}
}
