// Role is one controller's part in a singleton role: work that one node at a time may
// do. Every singleton role of the program, be it the rollout of weights or a call to
// the platform, has its lease by this type.

package lease

import "beechtide.org/beechtide/internal/messages"

// InitialFence is the fencing token of a lease that was never held before.
const InitialFence = 1

// RoleView is the input of Role.Step: what the controller knows at NowUs.
type RoleView struct {
	NowUs int64
	Self  string // this controller's member identity
	// Lease is the newest committed lease that is known here.
	Lease messages.Lease
	// FenceFloor is the highest fencing token that was used for the same work under
	// another lease.
	FenceFloor int64
	Needed     bool // there is work for the holder
	HolderGone bool // the holder is dead or does not answer this controller
	InContact  bool // this controller holds the contact lease with a majority
	Rank       int  // how many candidates for a takeover come before this one
}

// Grant says what the holder of a lease may do. The zero grant allows nothing.
type Grant struct {
	Fence     int64 // fencing token of the lease; 0 where it is not held
	MayAct    bool  // calls may leave now
	ReadyInUs int64 // how long the holder still waits for its predecessor
}

// RoleStep is what a controller has to do. Acquire and Confirm are a change and a read
// of the register; the caller reports their outcomes with Acquired and Confirmed.
type RoleStep struct {
	Acquire bool // replace RoleView.Lease with NextLease
	Confirm bool // read the register with a majority, as the lease has expired or soon will
	Grant   Grant
}

// Role holds the lease of a singleton role, or watches the lease of another holder.
type Role struct {
	self     string
	lease    Lease
	takeover Takeover
	initial  int64 // fencing token of a never held lease that this process won; 0: none
	refused  int64 // highest fencing token that a receiver of calls has refused
}

// NewRole returns a role that this controller does not hold.
func NewRole(times Times) *Role { return &Role{lease: Lease{T: times}} }

// RecordInitialHolder records that this process has won a lease that was never held
// before.
func (r *Role) RecordInitialHolder(fence int64) { r.initial = fence }

// Step returns what this controller has to do, given what it knows now.
func (r *Role) Step(v RoleView) RoleStep {
	r.self = v.Self
	if v.Lease.Holder != r.self {
		r.release(v.Lease, v.NowUs)
		return RoleStep{Acquire: r.takeover.Due(v.holderView(), v.NowUs)}
	}
	if !v.Needed || r.lease.Fence() > v.Lease.Fence {
		return RoleStep{} // nothing to do, or the lease just won is not known as committed yet
	}
	if r.initial == v.Lease.Fence && r.lease.Fence() < r.initial {
		r.lease.Acquired(r.initial, Nobody, v.NowUs)
	}
	if r.lease.Fence() != v.Lease.Fence || v.Lease.Fence <= max(v.FenceFloor, r.refused) {
		// A lease of an earlier process of this holder, or one whose fencing token
		// receivers reject as old. Under a new token, messages about runners
		// supersede all those sent under the old one.
		return RoleStep{Acquire: v.InContact}
	}
	grant := Grant{Fence: r.lease.Fence(), MayAct: r.lease.MayAct(v.NowUs), ReadyInUs: r.lease.ReadyInUs(v.NowUs)}
	return RoleStep{Confirm: !grant.MayAct || r.lease.ActUntilUs()-v.NowUs < r.lease.T.ActUs/2, Grant: grant}
}

// MayCall reports whether a call may leave at nowUs under a fencing token. It is asked as
// the call leaves: the lease may have expired since the work began, or been confirmed again.
func (r *Role) MayCall(fence, nowUs int64) bool {
	return fence > 0 && fence == r.lease.Fence() && r.lease.MayAct(nowUs) && !r.Refused(fence)
}

// holderView returns the input of the takeover.
func (v RoleView) holderView() HolderView {
	return HolderView{Holder: v.Lease.Holder, Fence: v.Lease.Fence, Gone: v.HolderGone, InContact: v.InContact, Needed: v.Needed, Rank: v.Rank}
}

// release gives up the lease if another controller holds a newer one.
func (r *Role) release(now messages.Lease, nowUs int64) {
	if r.lease.Fence() > 0 && r.lease.Fence() < now.Fence {
		r.lease.Released()
		r.takeover.Lost(nowUs)
	}
}

// NextLease returns the lease with which this controller replaces another. Its fencing
// token is above the replaced one and the floor.
func (r *Role) NextLease(was messages.Lease, fenceFloor int64) messages.Lease {
	return messages.Lease{Holder: r.self, Fence: max(was.Fence, fenceFloor) + 1}
}

// Acquired records that this controller's lease was committed in place of another.
// previousUsed says whether this holder has acted under the replaced one.
func (r *Role) Acquired(was, won messages.Lease, previousUsed bool, nowUs int64) {
	predecessor := PredecessorOf(was.Holder, r.self, previousUsed)
	if won.Fence > was.Fence+1 {
		predecessor = Another // the holder under the floor
	}
	r.lease.Acquired(won.Fence, predecessor, nowUs)
}

// Confirmed records the lease that a read by a majority returned; the read was requested
// at askedUs.
func (r *Role) Confirmed(now messages.Lease, askedUs, nowUs int64) {
	if now.Holder != r.self {
		r.release(now, nowUs)
		return
	}
	r.lease.Confirmed(now.Fence, askedUs)
}

// Refuse records that a receiver of calls has refused a fencing token: it has a call of a
// later holder. This controller acts again only under a token that it acquires anew.
func (r *Role) Refuse(fence int64) { r.refused = max(r.refused, fence) }

// Refused reports whether a fencing token, or a higher one, has been refused.
func (r *Role) Refused(fence int64) bool { return fence <= r.refused }
