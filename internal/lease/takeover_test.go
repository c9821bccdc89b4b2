package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

func goneHolder() HolderView {
	return HolderView{Holder: "a", Fence: 3, Gone: true, InContact: true, Needed: true}
}

func TestTakeoverWaitsByRankAndForContact(t *testing.T) {
	for rank := range 3 {
		var takeover Takeover
		view := goneHolder()
		view.Rank = rank
		wait := GoneUs + int64(rank)*RankUs
		must.False(t, takeover.Due(view, 1))
		must.False(t, takeover.Due(view, wait))
		must.True(t, takeover.Due(view, 1+wait))
		view.InContact = false
		must.False(t, takeover.Due(view, 2+wait))
		view.InContact = true
		must.False(t, takeover.Due(view, 3+wait), must.Sprint("the wait begins anew"))
	}
}

func TestTakeoverWithinASecondOfAnotherWhoseHolderIsGone(t *testing.T) {
	var takeover Takeover
	must.False(t, takeover.Due(goneHolder(), 1))
	next := goneHolder()
	next.Holder, next.Fence = "b", 4
	must.False(t, takeover.Due(next, 500_000))
	must.True(t, takeover.Due(next, 500_000+GoneUs), must.Sprint("a lease that has just changed hands is no exception"))
}

func TestTakeoverOfALiveHolderIsNeverDue(t *testing.T) {
	var takeover Takeover
	view := goneHolder()
	view.Gone = false
	for now := int64(1); now < 60_000_000; now += 100_000 {
		must.False(t, takeover.Due(view, now))
	}
}

// member is one of two controllers that reach the majority, but not each other.
type member struct {
	lease    Lease
	takeover Takeover
	holds    bool
}

// Two controllers that do not reach each other see each other as gone. They must
// not act within LeaseUs of one another, and one of them must come to act.
func TestMembersApartDoNotTakeTurnsWithinLeaseTime(t *testing.T) {
	a, b := &member{lease: Lease{T: times}}, &member{lease: Lease{T: times}}
	members := map[string]*member{"a": a, "b": b}
	holder, fence := "a", int64(1)
	a.lease.Acquired(1, Nobody, 1)
	a.holds = true
	lastActUs, acts := map[string]int64{}, map[string]int{}
	for now := int64(1); now < 60_000_000; now += 50_000 {
		for _, name := range []string{"a", "b"} {
			m := members[name]
			if holder != name {
				if m.holds {
					m.holds = false
					m.lease.Released()
					m.takeover.Lost(now)
				}
				view := HolderView{Holder: holder, Fence: fence, Gone: now > 1_000_000, InContact: true, Needed: true}
				if m.takeover.Due(view, now) {
					fence++
					holder, m.holds = name, true
					m.lease.Acquired(fence, Another, now)
				}
				continue
			}
			m.lease.Confirmed(fence, now)
			if !m.lease.MayAct(now) {
				continue
			}
			acts[name]++
			for other, atUs := range lastActUs {
				if other != name {
					must.GreaterEq(t, times.LeaseUs, now-atUs)
				}
			}
			lastActUs[name] = now
		}
	}
	must.Positive(t, acts["a"])
	must.Greater(t, 20, acts["b"], must.Sprint("whoever takes the lease over comes to act under it"))
}
