// Package lease has the rules of leases on singleton roles: when a holder may act
// (Lease), when another controller may take over (Takeover), and whether a controller
// has contact with a majority (Contact).
//
// The lease itself, holder and fencing token, is a value in a consensus register, so
// that no two holders ever share a token. The caller reads and replaces it there and
// reports the outcomes. A holder acts for Times.ActUs after a question that a majority
// has answered was sent; a successor waits until Times.LeaseUs and all that may still
// be under way have passed. So the actions of two holders are at least LeaseUs apart,
// as long as monotonic clocks run at nearly the same rate. Contact guarantees that
// where it holds, a majority has answered a question that was sent less than ContactUs
// ago.
//
// Everything here is pure: times are microseconds of the caller's monotonic clock,
// given as arguments. No type is safe for concurrent use.
package lease

// Times of a claim, in microseconds.
type Times struct {
	LeaseUs int64 // two holders must not act within this time
	ActUs   int64 // how long a confirmation by a majority allows to act
	SpareUs int64 // for what was sent and has not arrived
}

// Lease is one node's standing towards one duty.
type Lease struct {
	T         Times
	fence     int64
	fromUs    int64 // not before this
	confirmUs int64 // when the last confirmation was asked for
}

// Predecessor says who held the duty before the one who takes it.
type Predecessor int

// Who held it before.
const (
	Nobody Predecessor = iota
	Itself             // an earlier life of the same holder, which has ended
	Another
)

// Acquired notes a claim that this node has just won. It waits as long as the one
// before could still act: another holder that is cut off goes on until its
// confirmation runs out, an earlier life of its own has ended with its process.
func (l *Lease) Acquired(fence int64, predecessor Predecessor, nowUs int64) {
	l.fence, l.confirmUs = fence, nowUs
	l.fromUs = nowUs
	switch predecessor {
	case Itself:
		l.fromUs += l.T.SpareUs
	case Another:
		l.fromUs += l.T.LeaseUs + l.T.ActUs + l.T.SpareUs
	}
}

// ReadyInUs is how long it has to wait before it may act at all.
func (l *Lease) ReadyInUs(nowUs int64) int64 { return max(l.fromUs-nowUs, 0) }

// Confirmed notes that a majority still had this claim when asked at askedUs.
func (l *Lease) Confirmed(fence, askedUs int64) {
	if fence == l.fence {
		l.confirmUs = askedUs
	}
}

// MayAct tells whether the holder may send an order now.
func (l *Lease) MayAct(nowUs int64) bool {
	return l.fence > 0 && nowUs >= l.fromUs && l.confirmUs > 0 && nowUs-l.confirmUs < l.T.ActUs
}

// ActUntilUs is until when MayAct holds unless it is confirmed again.
func (l *Lease) ActUntilUs() int64 { return l.confirmUs + l.T.ActUs }

// Fence is the fence of the claim.
func (l *Lease) Fence() int64 { return l.fence }

// Released notes that the claim is another's.
func (l *Lease) Released() { l.fence, l.confirmUs = 0, 0 }
