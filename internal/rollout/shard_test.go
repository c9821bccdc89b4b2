package rollout

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

func behindModel() []Model {
	return []Model{{Name: "m", Namings: namedAtStart, Runners: []Runner{{ID: "i-0", Version: 1}}}}
}

// view is what a controller knows, with the models of its shard.
type view struct {
	lease.RoleView
	Models []Model
}

// holder is a controller's role together with its shard, driven as a controller does.
type holder struct {
	*lease.Role
	shard *Shard
}

func newHolder() holder { return holder{lease.NewRole(testTimes), NewShard(boundUs)} }

// holderStep is what the role and the shard have to do.
type holderStep struct {
	lease.RoleStep
	Step
}

func (h holder) Step(v view) holderStep {
	v.Needed = Unfinished(v.Models)
	role := h.Role.Step(v.RoleView)
	return holderStep{role, h.shard.Step(v.NowUs, role.Grant, v.Models)}
}

// Answered hands an answer over as the controller does.
func (h holder) Answered(model string, o Order, fence int64, answer Answer, nowUs int64) {
	if answer == FenceRefused {
		h.RecordRefusal(fence)
	}
	h.shard.Answered(model, o, answer, nowUs)
}

// orderedAfter steps a shard with a lease that is confirmed whenever it requests it, and
// returns how long it takes until the first order.
func orderedAfter(t *testing.T, s holder, v view) int64 {
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
	s := newHolder()
	s.RecordInitialHolder(1)
	waited := orderedAfter(t, s, view{lease.RoleView{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 1}, InContact: true}, behindModel()})
	must.LessEq(t, DrainUs+SettleUs+4*stepUs, waited)
}

// A successor waits no longer than the lease requires, and drains the runners meanwhile.
func TestSuccessorOrdersAsSoonAsLeaseAllows(t *testing.T) {
	s := newHolder()
	was := messages.Lease{Holder: "b", Fence: 3}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: was, HolderGone: true, InContact: true}, behindModel()}
	for !s.Step(v).Acquire {
		v.NowUs += stepUs
		must.Less(t, second, v.NowUs)
	}
	v.Lease = s.NextLease(was, 0)
	must.Eq(t, messages.Lease{Holder: "a", Fence: 4}, v.Lease)
	s.Acquired(was, v.Lease, false, v.NowUs)
	waited := orderedAfter(t, s, v)
	full := testTimes.LeaseUs + testTimes.ActUs + testTimes.InFlightUs
	must.Between(t, full, waited, full+3*stepUs)
}

func TestLeaseOfEarlierProcessIsReacquired(t *testing.T) {
	s := newHolder()
	own := messages.Lease{Holder: "a", Fence: 3}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: own}, behindModel()}
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
	s := newHolder()
	s.RecordInitialHolder(1)
	low := messages.Lease{Holder: "a", Fence: 1}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: low, FenceFloor: 6, InContact: true}, behindModel()}
	step := s.Step(v)
	must.True(t, step.Acquire)
	must.False(t, step.Orders())
	v.Lease = s.NextLease(low, 6)
	must.Eq(t, int64(7), v.Lease.Fence)
	s.Acquired(low, v.Lease, true, v.NowUs)
	must.GreaterEq(t, testTimes.LeaseUs, orderedAfter(t, s, v))
}

func TestStaleViewOfLeaseDoesNotReleaseIt(t *testing.T) {
	s := newHolder()
	was := messages.Lease{Holder: "b", Fence: 3}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: was, HolderGone: true, InContact: true}, behindModel()}
	s.Step(v)
	won := s.NextLease(was, 0)
	s.Acquired(was, won, false, v.NowUs)
	s.Step(v)
	v.Lease = won
	v.NowUs += stepUs
	must.Positive(t, orderedAfter(t, s, v))
}

func TestNoActionsWhenAllRunnersHoldNewestWeights(t *testing.T) {
	s := newHolder()
	models := []Model{{Name: "m", Namings: namedAtStart, Runners: []Runner{{ID: "i-0", Version: 2}}}}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 3}, InContact: true}, models}
	must.Eq(t, holderStep{}, s.Step(v))
	v.Lease.Holder, v.HolderGone = "b", true
	must.False(t, s.Step(v).Acquire)
	v.NowUs += 3 * second
	must.True(t, s.Step(v).Acquire, must.Sprint("a lost lease is reacquired ahead of the next work"))
}

// A holder that does not know yet that it has lost the lease learns it from a runner.
func TestRefusedFenceIsNeverUsedAgain(t *testing.T) {
	s := newHolder()
	s.RecordInitialHolder(1)
	own := messages.Lease{Holder: "a", Fence: 1}
	v := view{lease.RoleView{NowUs: 1, Self: "a", Lease: own, InContact: true}, behindModel()}
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
