// Package shift is the rules of duties: who may hold one, when a holder may
// act, and when another may take over. A claim and its fence lie in a register,
// so two holders never share a fence; the waits here keep holders from acting
// within the claim time of one another. It is pure: time comes in as arguments.
package shift

// Times of a claim, in microseconds.
type Times struct {
	ClaimUs int64 // two holders must not act within this time
	ActUs   int64 // how long a confirmation by a majority allows to act
	SpareUs int64 // for what was sent and has not arrived
}

// Shift is one node's standing towards one duty.
type Shift struct {
	T         Times
	fence     int64
	fromUs    int64 // not before this
	confirmUs int64 // when the last confirmation was asked for
}

// Took notes a claim that this node has just won. first tells that nobody held
// the duty before, so there is no one to wait for.
func (s *Shift) Took(fence int64, first bool, nowUs int64) {
	s.fence, s.confirmUs = fence, nowUs
	s.fromUs = nowUs
	if !first {
		s.fromUs += s.T.ClaimUs + s.T.ActUs + s.T.SpareUs
	}
}

// Confirmed notes that a majority still had this claim when asked at askedUs.
func (s *Shift) Confirmed(fence, askedUs int64) {
	if fence == s.fence {
		s.confirmUs = askedUs
	}
}

// MayAct tells whether the holder may send an order now.
func (s *Shift) MayAct(nowUs int64) bool {
	return s.fence > 0 && nowUs >= s.fromUs && s.confirmUs > 0 && nowUs-s.confirmUs < s.T.ActUs
}

// Fence is the fence of the claim.
func (s *Shift) Fence() int64 { return s.fence }

// Lost notes that the claim is another's.
func (s *Shift) Lost() { s.fence, s.confirmUs = 0, 0 }
