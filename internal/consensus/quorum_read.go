package consensus

import "beechtide.org/beechtide/internal/messages"

// QuorumRead is the state of a linearizable read by quorum: the members of the group
// report what they have committed and accepted. If a majority has accepted nothing on
// top of the base, nothing newer was committed when the read began. It is a pure state
// machine.
type QuorumRead struct {
	Base       messages.Value
	NewerValue messages.Value // a newer committed value, if a member reported one

	responded  map[string]bool
	responses  int
	unaccepted int // members that have accepted nothing on top of the base
}

// NewQuorumRead starts a read on top of the newest committed value that was learned.
func NewQuorumRead(base messages.Value) *QuorumRead {
	return &QuorumRead{Base: base, responded: map[string]bool{}}
}

// ReadResult is the result of a read.
type ReadResult int

// Results of a read.
const (
	NoQuorum  ReadResult = iota // too few members responded
	Current                     // the base is the newest committed value
	Newer                       // a member reported a newer one
	Undecided                   // a value is accepted and may be committed: finish its round, then read again
)

// String names the result for logs and test failures.
func (f ReadResult) String() string {
	switch f {
	case NoQuorum:
		return "no quorum"
	case Current:
		return "current"
	case Newer:
		return "newer"
	case Undecided:
		return "undecided"
	}
	return "unknown"
}

// Receive records a member's response; repeated responses of a member are ignored.
func (r *QuorumRead) Receive(from messages.Member, response messages.ConsensusResponse) {
	if response.Verdict != messages.Granted || r.responded[from.ID] {
		return
	}
	r.responded[from.ID] = true
	r.responses++
	if response.Version > r.Base.Version {
		if response.Version > r.NewerValue.Version {
			r.NewerValue = response.Value
		}
		return
	}
	if !response.HasAccepted || response.Version != r.Base.Version {
		r.unaccepted++
	}
}

// Result returns the result of the responses received so far.
func (r *QuorumRead) Result() ReadResult {
	half := len(r.Base.Group) / 2
	switch {
	case len(r.NewerValue.Group) > 0:
		return Newer
	case r.unaccepted > half:
		return Current
	case r.responses > r.unaccepted:
		return Undecided
	}
	return NoQuorum
}
