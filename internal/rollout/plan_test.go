package rollout

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// A trace of a roll-out over nine runners that take 1.5 s each after the order.
func TestRollOutKeepsMostRunnersAndEnds(t *testing.T) {
	versions := map[string]int64{}
	for i := range 9 {
		versions[fmt.Sprint(i)] = 1
	}
	p := NewPlan(2)
	ordered := map[string]int64{}
	most, now := 0, int64(0)
	for ; now < 60_000_000 && !(len(ordered) == 9 && p.Finished()); now += 100_000 {
		for id, at := range ordered {
			if now-at > 1_500_000 {
				versions[id] = 2
			}
		}
		p.See(versions, now)
		ease, bar, order := p.Next(now)
		for _, id := range ease {
			p.Move(id, Easing, now)
		}
		for _, id := range bar {
			p.Move(id, Barred, now)
		}
		for _, id := range order {
			must.MapNotContainsKey(t, ordered, id)
			ordered[id] = now
			p.Move(id, Ordered, now)
		}
		out := 0
		for _, j := range p.Jobs {
			if j.Stage == Barred || j.Stage == Ordered {
				out++
			}
		}
		most = max(most, out)
	}
	must.True(t, p.Finished())
	must.LessEq(t, 3, most)
	must.Less(t, 8_000_000, now)
}

func TestLostOrderIsRepeatedAndGoneRunnersAreDropped(t *testing.T) {
	p := NewPlan(2)
	p.See(map[string]int64{"a": 1}, 0)
	p.Move("a", Ordered, 0)
	_, _, order := p.Next(AgainUs - 1)
	must.SliceEmpty(t, order)
	_, _, order = p.Next(AgainUs)
	must.Eq(t, []string{"a"}, order)
	p.See(map[string]int64{}, AgainUs)
	must.True(t, p.Finished())
	p.See(map[string]int64{"b": 2}, AgainUs)
	must.Eq(t, Done, p.Jobs["b"].Stage)
}
