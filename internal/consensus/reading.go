package consensus

import "beechtide.org/beechtide/internal/messages"

// Reading is one look at a register through the members' eyes. Members that
// have accepted nothing on top of the base are clean; where a majority is, nothing
// newer was chosen when the look began. It is pure.
type Reading struct {
	Base  messages.Value
	Newer messages.Value // a later committed value, if one came to light

	responded             map[string]bool
	responses, unaccepted int
}

// NewReading starts a look on top of the newest committed value known.
func NewReading(base messages.Value) *Reading {
	return &Reading{Base: base, responded: map[string]bool{}}
}

// Finding is what a look found.
type ReadResult int

// Findings.
const (
	NoQuorum  ReadResult = iota // too few answered
	Current                     // the base is the newest value
	Newer                       // somebody has a newer one
	Undecided                   // something may have been chosen: bring it to an end first
)

// Hear takes a member's word; said twice it counts once.
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

// Found tells what is found so far.
func (r *Reading) Result() ReadResult {
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
