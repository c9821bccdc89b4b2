package lease

import (
	"testing"

	"github.com/shoenig/test/must"
)

var times = Times{LeaseUs: 3_000_000, ActUs: 400_000, InFlightUs: 800_000}

// confirmedUntil reports whether a holder that is cut off at cutUs confirms its lease
// at nowUs: it confirms once every 100 ms until then.
func confirmedUntil(cutUs, nowUs int64) bool { return nowUs < cutUs && nowUs%100_000 < 10_000 }

// simulateTakeover simulates a holder that is cut off at cutUs and a successor that acquires the
// lease 500 ms later. It returns when the holder last acted and when the successor first
// acted; 0 if it never did.
func simulateTakeover(cutUs int64) (lastOldUs, firstNewUs int64) {
	holder, successor := &Lease{Times: times}, &Lease{Times: times}
	holder.Acquired(1, NoPredecessor, 1)
	for now := int64(1); now < 12_000_000; now += 10_000 {
		if confirmedUntil(cutUs, now) {
			holder.Confirmed(1, now)
		}
		if holder.MayAct(now) {
			lastOldUs = now
		}
		if now >= cutUs+500_000 && successor.Fence() == 0 {
			successor.Acquired(2, OtherHolder, now)
		}
		if successor.Fence() == 2 {
			successor.Confirmed(2, now)
		}
		if successor.MayAct(now) && firstNewUs == 0 {
			firstNewUs = now
		}
	}
	return lastOldUs, firstNewUs
}

// Two holders never act within LeaseUs of each other, for any time at which the first
// is cut off.
func TestHoldersNeverActWithinLeaseTime(t *testing.T) {
	for cutUs := int64(0); cutUs < 3_000_000; cutUs += 37_000 {
		lastOldUs, firstNewUs := simulateTakeover(cutUs)
		must.Greater(t, 0, firstNewUs)
		must.GreaterEq(t, lastOldUs+times.LeaseUs, firstNewUs)
	}
}

func TestLeaseWaitsAfterAcquireAndIgnoresOtherFences(t *testing.T) {
	l := &Lease{Times: times}
	l.Acquired(4, OtherHolder, 1)
	l.Confirmed(4, 2)
	must.False(t, l.MayAct(3))
	l.Confirmed(4, 4_300_000)
	must.True(t, l.MayAct(4_300_001))
	l.Confirmed(9, 9_000_000)
	must.False(t, l.MayAct(9_000_001), must.Sprint("a confirmation of another fence is ignored"))
	l.Released()
	must.False(t, l.MayAct(9_000_002))
}

func TestAcquireAfterOwnRestartWaitsForInFlightMessagesOnly(t *testing.T) {
	l := &Lease{Times: times}
	l.Acquired(5, SameHolder, 1)
	must.Eq(t, times.InFlightUs, l.ReadyInUs(1))
	l.Confirmed(5, times.InFlightUs)
	must.False(t, l.MayAct(times.InFlightUs))
	must.True(t, l.MayAct(times.InFlightUs+1))
}
