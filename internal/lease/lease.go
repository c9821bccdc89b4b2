// Package lease implements the rules of leases on singleton roles: when a holder may
// act (Lease), when another controller may take over (Takeover), and whether a
// controller has contact with a majority (Contact).
//
// The record of a lease, its holder and fencing token, is a value in a consensus
// register, so that no two holders ever share a token. The caller reads and replaces it
// there and reports the outcomes. A confirmation is a read of the register by a
// majority: a holder may act for Times.ActUs from the start of its last confirmation. A
// successor waits until the predecessor's confirmation, Times.LeaseUs and the messages
// still in flight have expired. So the actions of two holders are at least LeaseUs
// apart, as long as monotonic clocks run at nearly the same rate. Contact guarantees
// that while it holds, a majority has answered a request that was sent less than
// ContactUs ago.
//
// Everything here is pure: times are microseconds of the caller's monotonic clock,
// given as arguments. No type is safe for concurrent use.
package lease

// Times are the durations of a lease, in microseconds.
type Times struct {
	LeaseUs int64 // minimum time between the actions of two holders
	ActUs   int64 // how long a holder may act after a confirmation was requested
	SpareUs int64 // allowance for messages that were sent and have not arrived
}

// Lease is one controller's state of the lease on one singleton role. The zero fence
// means that it does not hold the lease.
type Lease struct {
	T           Times
	fence       int64
	notBeforeUs int64 // the holder waits until then before it acts
	confirmUs   int64 // when the last successful confirmation was requested
}

// Predecessor says who held a lease before the controller that acquires it.
type Predecessor int

// Predecessors of a holder.
const (
	Nobody  Predecessor = iota // the lease was never held
	Itself                     // an earlier process of the same holder, which has ended
	Another                    // another controller, which may still act
)

// Acquired records that this controller has won the lease under a fencing token. It
// then waits as long as its predecessor may still act: another holder that is
// partitioned acts until its confirmation expires, whereas an earlier process of the
// same holder has ended and only its messages may still arrive.
func (l *Lease) Acquired(fence int64, predecessor Predecessor, nowUs int64) {
	l.fence, l.confirmUs = fence, nowUs
	l.notBeforeUs = nowUs
	switch predecessor {
	case Itself:
		l.notBeforeUs += l.T.SpareUs
	case Another:
		l.notBeforeUs += l.T.LeaseUs + l.T.ActUs + l.T.SpareUs
	}
}

// ReadyInUs returns how long the holder still has to wait before it may act.
func (l *Lease) ReadyInUs(nowUs int64) int64 { return max(l.notBeforeUs-nowUs, 0) }

// Confirmed records that a majority still had the lease under this fencing token, as
// read by a request that was sent at requestedUs. Other tokens are ignored.
func (l *Lease) Confirmed(fence, requestedUs int64) {
	if fence == l.fence {
		l.confirmUs = requestedUs
	}
}

// MayAct reports whether the holder may act at nowUs.
func (l *Lease) MayAct(nowUs int64) bool {
	return l.fence > 0 && nowUs >= l.notBeforeUs && l.confirmUs > 0 && nowUs-l.confirmUs < l.T.ActUs
}

// ActUntilUs returns the time at which MayAct ends unless the lease is confirmed again.
func (l *Lease) ActUntilUs() int64 { return l.confirmUs + l.T.ActUs }

// Fence returns the fencing token of the lease; 0 while this controller does not hold it.
func (l *Lease) Fence() int64 { return l.fence }

// Released records that another controller holds the lease.
func (l *Lease) Released() { l.fence, l.confirmUs = 0, 0 }
