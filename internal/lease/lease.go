// Package lease implements the rules of leases on singleton roles: when a holder may
// act (Lease), when another controller may take over (Takeover), and whether a
// controller is in contact with a majority (Contact). The controllers call it.
//
// The record of a lease, its holder and fencing token, is a value in a consensus
// register, so that no two holders ever share a token. The caller reads and replaces it
// there and reports the outcomes. A confirmation is a read of the register by a
// majority: a holder may act for Times.ActUs from the start of its last confirmation. A
// successor first waits until the predecessor's confirmation has expired, a further
// Times.LeaseUs, and the time for messages still in flight. So the actions of two
// holders are at least LeaseUs apart, as long as monotonic clocks run at nearly the same
// rate. Contact guarantees that while it holds, a majority has answered a request that
// was sent less than ContactUs ago.
//
// Everything here is pure: times are microseconds of the caller's monotonic clock,
// given as arguments. No type is safe for concurrent use.
package lease

// Times are the durations of a lease, in microseconds.
type Times struct {
	LeaseUs    int64 // minimum time between the actions of two holders
	ActUs      int64 // how long a holder may act after a confirmation was requested
	InFlightUs int64 // allowance for messages that were sent and have not arrived yet
}

// Lease is one controller's state of the lease on one singleton role. A zero fencing
// token means that the controller does not hold the lease.
type Lease struct {
	Times       Times
	fence       int64
	notBeforeUs int64 // earliest time at which the holder may act
	confirmUs   int64 // when the last successful confirmation was requested
}

// Predecessor classifies the previous holder of a lease that a controller acquires.
type Predecessor int

// Kinds of predecessors.
const (
	NoPredecessor Predecessor = iota // the lease was never held
	SameHolder                       // an earlier process of the same holder, which has ended
	OtherHolder                      // another controller, which may still act
)

// Acquired records that this controller has acquired the lease under a fencing token. It
// may not act while its predecessor may still act: another holder that is partitioned
// may act until its confirmation expires, whereas an earlier process of the same holder
// has ended and only its messages may still arrive.
func (l *Lease) Acquired(fence int64, predecessor Predecessor, nowUs int64) {
	l.fence, l.confirmUs = fence, nowUs
	l.notBeforeUs = nowUs
	switch predecessor {
	case SameHolder:
		l.notBeforeUs += l.Times.InFlightUs
	case OtherHolder:
		l.notBeforeUs += l.Times.LeaseUs + l.Times.ActUs + l.Times.InFlightUs
	}
}

// ReadyInUs returns how long the holder still has to wait before it may act.
func (l *Lease) ReadyInUs(nowUs int64) int64 { return max(l.notBeforeUs-nowUs, 0) }

// Confirmed records that a read by a majority, requested at requestedUs, returned the
// lease under this fencing token. Other tokens are ignored.
func (l *Lease) Confirmed(fence, requestedUs int64) {
	if fence == l.fence {
		l.confirmUs = requestedUs
	}
}

// MayAct reports whether the holder may act at nowUs.
func (l *Lease) MayAct(nowUs int64) bool {
	return l.fence > 0 && nowUs >= l.notBeforeUs && l.confirmUs > 0 && nowUs-l.confirmUs < l.Times.ActUs
}

// ActUntilUs returns the time from which MayAct is false unless the lease is confirmed
// again.
func (l *Lease) ActUntilUs() int64 { return l.confirmUs + l.Times.ActUs }

// Fence returns the fencing token of the lease; 0 while this controller does not hold it.
func (l *Lease) Fence() int64 { return l.fence }

// Released records that another controller holds the lease.
func (l *Lease) Released() { l.fence, l.confirmUs = 0, 0 }
