package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

func goneHolder() TakeoverView {
	return TakeoverView{Holder: "a", Fence: 3, Gone: true, InContact: true, Needed: true}
}

func TestTakeoverWaitsByRankAndForContact(t *testing.T) {
	for rank := range 3 {
		var takeover Takeover
		view := goneHolder()
		view.Rank = rank
		wait := TakeoverDelayUs + int64(rank)*RankDelayUs
		must.False(t, takeover.Due(view, 1))
		must.False(t, takeover.Due(view, wait))
		must.True(t, takeover.Due(view, 1+wait))
		view.InContact = false
		must.False(t, takeover.Due(view, 2+wait))
		view.InContact = true
		must.False(t, takeover.Due(view, 3+wait), must.Sprint("the wait restarts after a loss of contact"))
	}
}

func TestTakeoverIsDueSoonAfterPreviousTakeover(t *testing.T) {
	var takeover Takeover
	must.False(t, takeover.Due(goneHolder(), 1))
	next := goneHolder()
	next.Holder, next.Fence = "b", 4
	must.False(t, takeover.Due(next, 500_000))
	must.True(t, takeover.Due(next, 500_000+TakeoverDelayUs), must.Sprint("a recent change of the holder adds no delay"))
}

func TestTakeoverFromLiveHolderIsNeverDue(t *testing.T) {
	var takeover Takeover
	view := goneHolder()
	view.Gone = false
	for now := int64(1); now < 60_000_000; now += 100_000 {
		must.False(t, takeover.Due(view, now))
	}
}

// candidate is one of two controllers that can reach the majority but not each other.
type candidate struct {
	name     string
	lease    Lease
	takeover Takeover
	holds    bool
	acts     int
	actedUs  int64 // when it last acted; 0: never
}

// register is the lease as stored in the consensus register.
type register struct {
	holder string
	fence  int64
}

// step makes a candidate try to acquire the lease or, as its holder, confirm it and act
// under it. It reports whether the candidate acted.
func (c *candidate) step(r *register, nowUs int64) (acted bool) {
	if r.holder == c.name {
		c.lease.Confirmed(r.fence, nowUs)
		return c.lease.MayAct(nowUs)
	}
	if c.holds {
		c.holds = false
		c.lease.Released()
		c.takeover.Lost(nowUs)
	}
	view := TakeoverView{Holder: r.holder, Fence: r.fence, Gone: nowUs > 1_000_000, InContact: true, Needed: true}
	if c.takeover.Due(view, nowUs) {
		r.fence++
		r.holder, c.holds = c.name, true
		c.lease.Acquired(r.fence, OtherHolder, nowUs)
	}
	return false
}

// Two controllers that cannot reach each other see each other as gone. They must not act
// within LeaseUs of one another, and each must eventually act.
func TestPartitionedCandidatesNeverActWithinLeaseTime(t *testing.T) {
	a := &candidate{name: "a", lease: Lease{Times: times}, holds: true}
	b := &candidate{name: "b", lease: Lease{Times: times}}
	lease := &register{holder: "a", fence: 1}
	a.lease.Acquired(1, NoPredecessor, 1)
	for now := int64(1); now < 60_000_000; now += 50_000 {
		for _, turn := range []struct{ self, other *candidate }{{a, b}, {b, a}} {
			if !turn.self.step(lease, now) {
				continue
			}
			if turn.other.acts > 0 {
				must.GreaterEq(t, times.LeaseUs, now-turn.other.actedUs)
			}
			turn.self.acts++
			turn.self.actedUs = now
		}
	}
	must.Positive(t, a.acts)
	must.Greater(t, 20, b.acts, must.Sprint("the controller that takes over eventually acts under the lease"))
}
