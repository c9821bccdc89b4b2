package consensus

import "beechtide.org/beechtide/internal/messages"

// Attempt is one call's try to make a change: rounds one after the other, until
// the change is made or refused. It is pure; whoever drives it plays the rounds,
// learns what they bring to light, and may give up at any time, after which the
// change may still come into force.
//
// A refusal is final. It rests on three things. The round had promises by a
// majority of the base's group, none of whom had accepted anything: so nothing
// was chosen on top of the base when the last of them promised, and the refusal
// holds for the newest state, however old the base was to its node. On that base
// every earlier try of the same order was refused likewise, as a change depends
// on nothing else; where it may not have been, SealRefusal closes the slot. And
// what the change says no to, it says no to on every later value too.
type Attempt struct {
	part          int
	stamp         string
	change        Change
	highestBallot messages.Ballot
}

// NewAttempt starts an attempt. The stamp marks what it proposes and is used once.
func NewAttempt(part int, stamp string, change Change) *Attempt {
	return &Attempt{part: part, stamp: stamp, change: change}
}

// Round starts the next round on top of the newest committed value known.
func (a *Attempt) Round(base messages.Value) *Round {
	return NewRound(a.part, base, messages.Ballot{N: a.highestBallot.N + 1, Who: a.stamp}, a.stamp, a.change)
}

// Progress says how an attempt goes on after a round.
type Progress int

// Ways to go on.
const (
	Finished  Progress = iota // the change is made, or refused with Err of the round
	NextRound                 // another value came first: try on top of it
	Backoff                   // somebody bids higher, or nobody answers: wait a little
)

// Close takes a round that has ended or was given up.
func (a *Attempt) Finish(round *Round) Progress {
	switch round.End {
	case Rejected:
		return Finished
	case Chosen:
		a.highestBallot = messages.Ballot{}
		if round.Mine || round.Err != nil {
			return Finished
		}
		return NextRound
	case Superseded:
		a.highestBallot = messages.Ballot{}
		if round.Value.Stamp == a.stamp {
			return Finished
		}
		return NextRound
	}
	for _, b := range []messages.Ballot{round.HighestBallot, round.Ballot} {
		if Less(a.highestBallot, b) {
			a.highestBallot = b
		}
	}
	return Backoff
}
