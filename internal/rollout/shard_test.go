package rollout

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func behindModel() []Model {
	return []Model{{Name: "m", Namings: namedAtStart, Runners: []Runner{{ID: "i-0", Version: 1}}}}
}

// orderedAfter steps a shard with a lease that is confirmed whenever it requests it, and
// returns how long it takes until the first order.
func orderedAfter(t *testing.T, s *Shard, v View) int64 {
	t.Helper()
	from := v.NowUs
	for ; v.NowUs < from+20*second; v.NowUs += stepUs {
		step := s.Step(v)
		if step.Confirm {
			s.Confirmed(v.Lease, v.NowUs, v.NowUs)
		}
		if step.Orders() {
			must.Eq(t, v.Lease.Fence, step.Fence)
			return v.NowUs - from
		}
	}
	t.Fatal("no order")
	return 0
}

func TestInitialHolderOrdersWithoutWaiting(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	s.RecordInitialHolder(1)
	waited := orderedAfter(t, s, View{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 1}, Models: behindModel(), InContact: true})
	must.LessEq(t, DrainUs+SettleUs+4*stepUs, waited)
}

// A successor waits no longer than the lease requires, and drains the runners meanwhile.
func TestSuccessorOrdersAsSoonAsLeaseAllows(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	was := messages.Lease{Holder: "b", Fence: 3}
	v := View{NowUs: 1, Self: "a", Lease: was, Models: behindModel(), HolderGone: true, InContact: true}
	for !s.Step(v).Acquire {
		v.NowUs += stepUs
		must.Less(t, second, v.NowUs)
	}
	v.Lease = s.NextLease(was, 0)
	must.Eq(t, messages.Lease{Holder: "a", Fence: 4}, v.Lease)
	s.Acquired(was, v.Lease, false, v.NowUs)
	waited := orderedAfter(t, s, v)
	full := testTimes.LeaseUs + testTimes.ActUs + testTimes.SpareUs
	must.Between(t, full, waited, full+3*stepUs)
}

func TestLeaseOfEarlierProcessIsReacquired(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	own := messages.Lease{Holder: "a", Fence: 3}
	v := View{NowUs: 1, Self: "a", Lease: own, Models: behindModel()}
	must.False(t, s.Step(v).Acquire, must.Sprint("not without contact"))
	v.InContact = true
	must.True(t, s.Step(v).Acquire)
	v.Lease = s.NextLease(own, 0)
	s.Acquired(own, v.Lease, true, v.NowUs)
	must.Less(t, 2*second, orderedAfter(t, s, v))
}

// No orders are sent under a register whose fencing tokens are below those that another
// register used for the model; the next token is above, and the wait covers the other
// holder.
func TestFenceFloorIsExceededBeforeActing(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	s.RecordInitialHolder(1)
	low := messages.Lease{Holder: "a", Fence: 1}
	v := View{NowUs: 1, Self: "a", Lease: low, FenceFloor: 6, Models: behindModel(), InContact: true}
	step := s.Step(v)
	must.True(t, step.Acquire)
	must.False(t, step.Orders())
	v.Lease = s.NextLease(low, 6)
	must.Eq(t, int64(7), v.Lease.Fence)
	s.Acquired(low, v.Lease, true, v.NowUs)
	must.GreaterEq(t, testTimes.LeaseUs, orderedAfter(t, s, v))
}

func TestStaleViewOfLeaseDoesNotReleaseIt(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	was := messages.Lease{Holder: "b", Fence: 3}
	v := View{NowUs: 1, Self: "a", Lease: was, Models: behindModel(), HolderGone: true, InContact: true}
	s.Step(v)
	won := s.NextLease(was, 0)
	s.Acquired(was, won, false, v.NowUs)
	s.Step(v)
	v.Lease = won
	v.NowUs += stepUs
	must.Positive(t, orderedAfter(t, s, v))
}

func TestNoActionsWhenAllRunnersHoldNewestWeights(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	models := []Model{{Name: "m", Namings: namedAtStart, Runners: []Runner{{ID: "i-0", Version: 2}}}}
	v := View{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 3}, Models: models, InContact: true}
	must.Eq(t, Step{}, s.Step(v))
	v.Lease.Holder, v.HolderGone = "b", true
	must.False(t, s.Step(v).Acquire)
	v.NowUs += 3 * second
	must.True(t, s.Step(v).Acquire, must.Sprint("a lost lease is reacquired ahead of the next work"))
}

// A holder that does not know yet that it has lost the lease learns it from a runner.
func TestRefusedFenceIsNeverUsedAgain(t *testing.T) {
	s := NewShard(testTimes, boundUs)
	s.RecordInitialHolder(1)
	own := messages.Lease{Holder: "a", Fence: 1}
	v := View{NowUs: 1, Self: "a", Lease: own, Models: behindModel(), InContact: true}
	orderedAfter(t, s, v)
	s.Answered("m", Order{ID: "i-0", Version: 2}, own.Fence, FenceRefused, v.NowUs)
	must.True(t, s.Refused(own.Fence))
	v.NowUs += second
	s.Confirmed(own, v.NowUs, v.NowUs)
	step := s.Step(v)
	must.False(t, step.Orders())
	must.True(t, step.Acquire)
	v.Lease = s.NextLease(own, 0)
	must.False(t, s.Refused(v.Lease.Fence))
	s.Acquired(own, v.Lease, true, v.NowUs)
	must.Positive(t, orderedAfter(t, s, v))
}

func TestAnswerOfRefusedFence(t *testing.T) {
	must.Eq(t, FenceRefused, AnswerOf(412))
	must.Eq(t, Rejected, AnswerOf(400))
}
