package rollout

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

func outdatedModels() []Model {
	return []Model{{Name: "m", NamedVersions: versionNamedAtStart, Runners: []Runner{{ID: "i-0", Version: 1}}}}
}

// leaseHolderView is a controller's view of the lease and the models of its shard.
type leaseHolderView struct {
	lease.RoleView
	Models []Model
}

// leaseHolder combines a lease role with a shard and drives both as a controller does.
type leaseHolder struct {
	*lease.Role
	shard *Shard
}

func newLeaseHolder() leaseHolder { return leaseHolder{lease.NewRole(testTimes), NewShard(boundUs)} }

// leaseHolderStep combines the steps of the role and the shard.
type leaseHolderStep struct {
	lease.RoleStep
	Step
}

func (h leaseHolder) Step(v leaseHolderView) leaseHolderStep {
	v.Needed = Unfinished(v.Models)
	role := h.Role.Step(v.RoleView)
	return leaseHolderStep{role, h.shard.Step(v.NowUs, role.Grant, v.Models)}
}

// RecordAnswer passes an answer to the role and the shard as the controller does.
func (h leaseHolder) RecordAnswer(model string, o Order, fence int64, answer Answer, nowUs int64) {
	if answer == FenceRefused {
		h.RecordRefusal(fence)
	}
	h.shard.RecordAnswer(model, o, answer, nowUs)
}

// timeToFirstOrder steps a holder, confirms its lease on every request, and returns the
// time until its first order.
func timeToFirstOrder(t *testing.T, s leaseHolder, v leaseHolderView) int64 {
	t.Helper()
	from := v.NowUs
	for ; v.NowUs < from+20*second; v.NowUs += stepUs {
		step := s.Step(v)
		if step.Confirm {
			s.Confirmed(v.Lease, v.NowUs, v.NowUs)
		}
		if step.HasOrders() {
			must.Eq(t, v.Lease.Fence, step.Fence)
			return v.NowUs - from
		}
	}
	t.Fatal("no order was sent within 20 s")
	return 0
}

func TestInitialHolderOrdersWithoutWaiting(t *testing.T) {
	s := newLeaseHolder()
	s.RecordInitialHolder(1)
	waited := timeToFirstOrder(t, s, leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 1}, InContact: true}, outdatedModels()})
	must.LessEq(t, DrainUs+SettleUs+4*stepUs, waited)
}

// A new lease holder waits no longer than the lease requires, and drains the runners
// during that time.
func TestNewHolderOrdersAsSoonAsLeaseAllows(t *testing.T) {
	s := newLeaseHolder()
	was := messages.Lease{Holder: "b", Fence: 3}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: was, HolderGone: true, InContact: true}, outdatedModels()}
	for !s.Step(v).Acquire {
		v.NowUs += stepUs
		must.Less(t, second, v.NowUs)
	}
	v.Lease = s.NextLease(was, 0)
	must.Eq(t, messages.Lease{Holder: "a", Fence: 4}, v.Lease)
	s.Acquired(was, v.Lease, false, v.NowUs)
	waited := timeToFirstOrder(t, s, v)
	full := testTimes.LeaseUs + testTimes.ActUs + testTimes.InFlightUs
	must.Between(t, full, waited, full+3*stepUs)
}

func TestLeaseOfPreviousProcessIsReacquired(t *testing.T) {
	s := newLeaseHolder()
	own := messages.Lease{Holder: "a", Fence: 3}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: own}, outdatedModels()}
	must.False(t, s.Step(v).Acquire, must.Sprint("acquired without contact"))
	v.InContact = true
	must.True(t, s.Step(v).Acquire)
	v.Lease = s.NextLease(own, 0)
	s.Acquired(own, v.Lease, true, v.NowUs)
	must.Less(t, 2*second, timeToFirstOrder(t, s, v))
}

// No orders may be sent under a fencing token below the floor, the highest token that
// another register used for the model. The next token exceeds the floor, and the holder
// waits a full lease, which covers the holder of the other register.
func TestFenceFloorIsExceededBeforeActing(t *testing.T) {
	s := newLeaseHolder()
	s.RecordInitialHolder(1)
	low := messages.Lease{Holder: "a", Fence: 1}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: low, FenceFloor: 6, InContact: true}, outdatedModels()}
	step := s.Step(v)
	must.True(t, step.Acquire)
	must.False(t, step.HasOrders())
	v.Lease = s.NextLease(low, 6)
	must.Eq(t, int64(7), v.Lease.Fence)
	s.Acquired(low, v.Lease, true, v.NowUs)
	must.GreaterEq(t, testTimes.LeaseUs, timeToFirstOrder(t, s, v))
}

func TestStaleLeaseViewDoesNotReleaseLease(t *testing.T) {
	s := newLeaseHolder()
	was := messages.Lease{Holder: "b", Fence: 3}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: was, HolderGone: true, InContact: true}, outdatedModels()}
	s.Step(v)
	won := s.NextLease(was, 0)
	s.Acquired(was, won, false, v.NowUs)
	s.Step(v)
	v.Lease = won
	v.NowUs += stepUs
	must.Positive(t, timeToFirstOrder(t, s, v))
}

func TestNoActionsWhenAllRunnersHoldNewestWeights(t *testing.T) {
	s := newLeaseHolder()
	models := []Model{{Name: "m", NamedVersions: versionNamedAtStart, Runners: []Runner{{ID: "i-0", Version: 2}}}}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: messages.Lease{Holder: "a", Fence: 3}, InContact: true}, models}
	must.Eq(t, leaseHolderStep{}, s.Step(v))
	v.Lease.Holder, v.HolderGone = "b", true
	must.False(t, s.Step(v).Acquire)
	v.NowUs += 3 * second
	must.True(t, s.Step(v).Acquire, must.Sprint("a lost lease is reacquired before there is work"))
}

// A holder that has lost the lease without observing it gets a runner's refusal of its
// fencing token. It must stop ordering under that token and acquire the lease again.
func TestRefusedFenceIsNeverUsedAgain(t *testing.T) {
	s := newLeaseHolder()
	s.RecordInitialHolder(1)
	own := messages.Lease{Holder: "a", Fence: 1}
	v := leaseHolderView{lease.RoleView{NowUs: 1, Self: "a", Lease: own, InContact: true}, outdatedModels()}
	timeToFirstOrder(t, s, v)
	s.RecordAnswer("m", Order{ID: "i-0", Version: 2}, own.Fence, FenceRefused, v.NowUs)
	must.True(t, s.Refused(own.Fence))
	v.NowUs += second
	s.Confirmed(own, v.NowUs, v.NowUs)
	step := s.Step(v)
	must.False(t, step.HasOrders())
	must.True(t, step.Acquire)
	v.Lease = s.NextLease(own, 0)
	must.False(t, s.Refused(v.Lease.Fence))
	s.Acquired(own, v.Lease, true, v.NowUs)
	must.Positive(t, timeToFirstOrder(t, s, v))
}

func TestAnswerOfRefusedFence(t *testing.T) {
	must.Eq(t, FenceRefused, AnswerForStatus(412))
	must.Eq(t, Rejected, AnswerForStatus(400))
}
