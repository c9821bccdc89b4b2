package consensus

import "beechtide.org/beechtide/internal/messages"

// Reading is one look at a register through the members' eyes. Members that
// have accepted nothing on top of the base are clean; where a majority is, nothing
// newer was chosen when the look began. It is pure.
type Reading struct {
	Base  messages.Value
	Newer messages.Value // a later committed value, if one came to light

	heard        map[string]bool
	votes, clean int
}

// NewReading starts a look on top of the newest committed value known.
func NewReading(base messages.Value) *Reading {
	return &Reading{Base: base, heard: map[string]bool{}}
}

// Finding is what a look found.
type Finding int

// Findings.
const (
	NoMajority Finding = iota // too few answered
	Current                   // the base is the newest value
	Newer                     // somebody has a newer one
	Unsettled                 // something may have been chosen: bring it to an end first
)

// Hear takes a member's word; said twice it counts once.
func (r *Reading) Hear(from messages.Member, w messages.ConsensusResponse) {
	if w.Verdict != messages.Granted || r.heard[from.ID] {
		return
	}
	r.heard[from.ID] = true
	r.votes++
	if w.Version > r.Base.Version {
		if w.Version > r.Newer.Version {
			r.Newer = w.Value
		}
		return
	}
	if !w.HasAccepted || w.Version != r.Base.Version {
		r.clean++
	}
}

// Found tells what is found so far.
func (r *Reading) Found() Finding {
	half := len(r.Base.Group) / 2
	switch {
	case len(r.Newer.Group) > 0:
		return Newer
	case r.clean > half:
		return Current
	case r.votes > r.clean:
		return Unsettled
	}
	return NoMajority
}
