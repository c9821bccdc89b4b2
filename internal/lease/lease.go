// Package lease is the rules of duties: who may hold one, when a holder may
// act, and when another may take over. A claim and its fence lie in a register,
// so two holders never share a fence; the waits here keep holders from acting
// within the claim time of one another. It is pure: time comes in as arguments.
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

// Before says who held the duty before the one who takes it.
type Before int

// Who held it before.
const (
	Nobody Before = iota
	Itself        // an earlier life of the same holder, which has ended
	Another
)

// Took notes a claim that this node has just won. It waits as long as the one
// before could still act: another holder that is cut off goes on until its
// confirmation runs out, an earlier life of its own has ended with its process.
func (s *Lease) Took(fence int64, before Before, nowUs int64) {
	s.fence, s.confirmUs = fence, nowUs
	s.fromUs = nowUs
	switch before {
	case Itself:
		s.fromUs += s.T.SpareUs
	case Another:
		s.fromUs += s.T.LeaseUs + s.T.ActUs + s.T.SpareUs
	}
}

// ReadyInUs is how long it has to wait before it may act at all.
func (s *Lease) ReadyInUs(nowUs int64) int64 { return max(s.fromUs-nowUs, 0) }

// Confirmed notes that a majority still had this claim when asked at askedUs.
func (s *Lease) Confirmed(fence, askedUs int64) {
	if fence == s.fence {
		s.confirmUs = askedUs
	}
}

// MayAct tells whether the holder may send an order now.
func (s *Lease) MayAct(nowUs int64) bool {
	return s.fence > 0 && nowUs >= s.fromUs && s.confirmUs > 0 && nowUs-s.confirmUs < s.T.ActUs
}

// ActUntilUs is until when MayAct holds unless it is confirmed again.
func (s *Lease) ActUntilUs() int64 { return s.confirmUs + s.T.ActUs }

// Fence is the fence of the claim.
func (s *Lease) Fence() int64 { return s.fence }

// Lost notes that the claim is another's.
func (s *Lease) Lost() { s.fence, s.confirmUs = 0, 0 }
