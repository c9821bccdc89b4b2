package consensus

import "beechtide.org/beechtide/internal/messages"

// Reading is a linearizable read: it asks the members of the group what they have
// committed and accepted. Where a majority has accepted nothing on top of the base,
// nothing newer was committed when the read began. It is pure.
type Reading struct {
	Base  messages.Value
	Newer messages.Value // a later committed value, if a member knows one

	responded  map[string]bool
	responses  int
	unaccepted int // members that have accepted nothing on top of the base
}

// NewReading starts a read on top of the newest committed value known.
func NewReading(base messages.Value) *Reading {
	return &Reading{Base: base, responded: map[string]bool{}}
}

// Finding is the result of a read.
type Finding int

// Results of a read.
const (
	NoQuorum  Finding = iota // too few members answered
	Current                  // the base is the newest committed value
	Newer                    // a member knows a newer one
	Undecided                // a value is accepted and may be committed: finish it, then read again
)

// String names the result for logs and test failures.
func (f Finding) String() string {
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

// Receive records a member's response; a repeated one counts once.
func (r *Reading) Receive(from messages.Member, response messages.ConsensusResponse) {
	if response.Verdict != messages.Granted || r.responded[from.ID] {
		return
	}
	r.responded[from.ID] = true
	r.responses++
	if response.Version > r.Base.Version {
		if response.Version > r.Newer.Version {
			r.Newer = response.Value
		}
		return
	}
	if !response.HasAccepted || response.Version != r.Base.Version {
		r.unaccepted++
	}
}

// Result returns the result as far as responses have come in.
func (r *Reading) Result() Finding {
	half := len(r.Base.Group) / 2
	switch {
	case len(r.Newer.Group) > 0:
		return Newer
	case r.unaccepted > half:
		return Current
	case r.responses > r.unaccepted:
		return Undecided
	}
	return NoQuorum
}
