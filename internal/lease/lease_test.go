package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

var times = Times{LeaseUs: 3_000_000, ActUs: 400_000, SpareUs: 800_000}

// Two holders on traces of confirmations and cuts never act within the claim
// time of each other.
func TestHoldersNeverActWithinLeaseTime(t *testing.T) {
	for cutUs := int64(0); cutUs < 3_000_000; cutUs += 37_000 {
		a, b := &Lease{T: times}, &Lease{T: times}
		a.Acquired(1, Nobody, 1)
		lastA, firstB := int64(0), int64(0)
		for now := int64(1); now < 12_000_000; now += 10_000 {
			if now < cutUs && now%100_000 < 10_000 {
				a.Confirmed(1, now)
			}
			if a.MayAct(now) {
				lastA = now
			}
			if now >= cutUs+500_000 && b.Fence() == 0 {
				b.Acquired(2, Another, now)
			}
			if b.Fence() == 2 {
				b.Confirmed(2, now)
			}
			if b.MayAct(now) && firstB == 0 {
				firstB = now
			}
		}
		must.Greater(t, 0, firstB)
		must.GreaterEq(t, lastA+times.LeaseUs, firstB)
	}
}

func TestAcquiredLeaseWaitsAndCountsOnlyItsOwnFence(t *testing.T) {
	l := &Lease{T: times}
	l.Acquired(4, Another, 1)
	l.Confirmed(4, 2)
	must.False(t, l.MayAct(3))
	l.Confirmed(4, 4_300_000)
	must.True(t, l.MayAct(4_300_001))
	l.Confirmed(9, 9_000_000)
	must.False(t, l.MayAct(9_000_001), must.Sprint("a confirmation of another fence is none"))
	l.Released()
	must.False(t, l.MayAct(9_000_002))
}

func TestAcquireAfterOwnRestartWaitsForMessagesOnly(t *testing.T) {
	l := &Lease{T: times}
	l.Acquired(5, Itself, 1)
	must.Eq(t, times.SpareUs, l.ReadyInUs(1))
	l.Confirmed(5, times.SpareUs)
	must.False(t, l.MayAct(times.SpareUs))
	must.True(t, l.MayAct(times.SpareUs+1))
}
