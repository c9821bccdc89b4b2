// Role implements one controller's side of a singleton role: work that only one node at
// a time may do. The leases of all singleton roles of the program, such as the rollout
// of weights or calls to the platform, use this type.

package lease

import "beechtide.org/beechtide/internal/messages"

// InitialFence is the first fencing token of a lease.
const InitialFence = 1

// RoleView is the input of Role.Step: the state that the controller observes at NowUs.
type RoleView struct {
	NowUs int64
	Self  string // this controller's member identity
	// Lease is the newest committed lease that this controller has received.
	Lease messages.Lease
	// FenceFloor is the highest fencing token that was used for the same work under
	// another lease. This lease is acquired with a higher one.
	FenceFloor int64
	Needed     bool // there is work for the holder
	HolderGone bool // the holder is dead or does not answer this controller
	InContact  bool // this controller holds the contact lease with a majority
	Rank       int  // number of candidates for a takeover that come before this one
}

// Grant describes what this controller may do as the holder of a lease. The zero Grant
// allows nothing.
type Grant struct {
	Fence     int64 // fencing token of the lease; 0 if this controller does not hold it
	MayAct    bool  // calls may be sent now
	ReadyInUs int64 // how long the holder still has to wait for its predecessor
}

// RoleStep lists the actions that Role.Step requests from the caller. Acquire and Confirm
// are a change and a read of the register; the caller reports their outcomes with
// Acquired and Confirmed.
type RoleStep struct {
	Acquire bool // replace RoleView.Lease with NextLease
	Confirm bool // read the register with a majority, as the lease has expired or soon will
	Grant   Grant
}

// Role holds the lease of a singleton role, or watches the lease of another holder.
type Role struct {
	self         string
	lease        Lease
	takeover     Takeover
	initialFence int64 // fencing token of a new lease that this process acquired first; 0: none
	refusedFence int64 // highest fencing token that a receiver of calls has refused
}

// NewRole returns a role that this controller does not hold.
func NewRole(times Times) *Role { return &Role{lease: Lease{Times: times}} }

// RecordInitialHolder records that this process has acquired a lease that had no holder
// before.
func (r *Role) RecordInitialHolder(fence int64) { r.initialFence = fence }

// Step returns the actions that this controller has to take in the state v.
func (r *Role) Step(v RoleView) RoleStep {
	r.self = v.Self
	if v.Lease.Holder != r.self {
		r.release(v.Lease, v.NowUs)
		return RoleStep{Acquire: r.takeover.Due(v.takeoverView(), v.NowUs)}
	}
	if !v.Needed || r.lease.Fence() > v.Lease.Fence {
		return RoleStep{} // no work, or the commit of the lease just acquired is not in v yet
	}
	if r.initialFence == v.Lease.Fence && r.lease.Fence() < r.initialFence {
		r.lease.Acquired(r.initialFence, NoPredecessor, v.NowUs)
	}
	if r.lease.Fence() != v.Lease.Fence || v.Lease.Fence <= max(v.FenceFloor, r.refusedFence) {
		// The lease was acquired by an earlier process of this holder, or receivers
		// reject its fencing token as old. Under a new token, messages about runners
		// supersede all those sent under the old one.
		return RoleStep{Acquire: v.InContact}
	}
	grant := Grant{Fence: r.lease.Fence(), MayAct: r.lease.MayAct(v.NowUs), ReadyInUs: r.lease.ReadyInUs(v.NowUs)}
	return RoleStep{Confirm: !grant.MayAct || r.lease.ActUntilUs()-v.NowUs < r.lease.Times.ActUs/2, Grant: grant}
}

// MayCall reports whether a call may be sent at nowUs under a fencing token. It is called
// right before the call is sent: since the work began, the lease may have expired or been
// confirmed again.
func (r *Role) MayCall(fence, nowUs int64) bool {
	return fence > 0 && fence == r.lease.Fence() && r.lease.MayAct(nowUs) && !r.Refused(fence)
}

// takeoverView returns the input of Takeover.Due.
func (v RoleView) takeoverView() TakeoverView {
	return TakeoverView{Holder: v.Lease.Holder, Fence: v.Lease.Fence, Gone: v.HolderGone, InContact: v.InContact, Needed: v.Needed, Rank: v.Rank}
}

// release releases the lease if the current one is newer.
func (r *Role) release(current messages.Lease, nowUs int64) {
	if r.lease.Fence() > 0 && r.lease.Fence() < current.Fence {
		r.lease.Released()
		r.takeover.Lost(nowUs)
	}
}

// NextLease returns the lease with which this controller replaces another. Its fencing
// token is above the replaced one and the floor.
func (r *Role) NextLease(previous messages.Lease, fenceFloor int64) messages.Lease {
	return messages.Lease{Holder: r.self, Fence: max(previous.Fence, fenceFloor) + 1}
}

// Acquired records that this controller's lease was committed in place of another.
// previousUsed is whether this holder has acted under the replaced one.
func (r *Role) Acquired(previous, acquired messages.Lease, previousUsed bool, nowUs int64) {
	predecessor := PredecessorOf(previous.Holder, r.self, previousUsed)
	if acquired.Fence > previous.Fence+1 {
		predecessor = OtherHolder // the fence floor is the token of another holder
	}
	r.lease.Acquired(acquired.Fence, predecessor, nowUs)
}

// Confirmed records the lease that a read by a majority returned; the read was requested
// at requestedUs.
func (r *Role) Confirmed(current messages.Lease, requestedUs, nowUs int64) {
	if current.Holder != r.self {
		r.release(current, nowUs)
		return
	}
	r.lease.Confirmed(current.Fence, requestedUs)
}

// RecordRefusal records that a receiver of calls has refused a fencing token because it has
// received a call of a later holder. This controller may act again only under a newly
// acquired token.
func (r *Role) RecordRefusal(fence int64) { r.refusedFence = max(r.refusedFence, fence) }

// Refused reports whether this fencing token or a higher one has been refused.
func (r *Role) Refused(fence int64) bool { return fence <= r.refusedFence }
