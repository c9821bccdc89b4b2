package consensus

import "beechtide.org/beechtide/internal/messages"

// Attempt is the proposer of one change: it runs one Round after another, each under
// a higher ballot or on a newer base, until the change is committed or rejected. It
// is pure; its driver sends the requests of the rounds, learns the values that they
// return, and may give up at any time, after which the change may still be committed.
//
// A rejection is final, for three reasons. The round had promises from a majority
// of the base's group, none of which had accepted a value: so nothing was committed
// on top of the base when the last of them promised, and the rejection holds for the
// newest state, however old the base was for its node. A change depends on nothing but
// the base, so every earlier attempt of the same order was rejected on it too; where
// that is not certain, SealRefusal closes the version first. And what a change
// rejects on one value, it rejects on every later value.
type Attempt struct {
	part          int
	stamp         string
	change        Change
	highestBallot messages.Ballot // the highest ballot met on the current base
}

// NewAttempt starts an attempt. The stamp identifies what it proposes and must be
// unique over all attempts of all members.
func NewAttempt(part int, stamp string, change Change) *Attempt {
	return &Attempt{part: part, stamp: stamp, change: change}
}

// Round starts the next round on top of the newest committed value known.
func (a *Attempt) Round(base messages.Value) *Round {
	ballot := messages.Ballot{N: a.highestBallot.N + 1, Who: a.stamp}
	return NewRound(a.part, base, ballot, a.stamp, a.change)
}

// Progress is how an attempt proceeds after a round.
type Progress int

// What to do after a round.
const (
	Finished  Progress = iota // the change is committed, or rejected with Err of the round
	NextRound                 // another value was committed first: start a round on top of it
	Backoff                   // preempted by a higher ballot, or no quorum: wait, then start a round
)

// String names the progress for logs and test failures.
func (p Progress) String() string {
	switch p {
	case Finished:
		return "finished"
	case NextRound:
		return "next round"
	case Backoff:
		return "backoff"
	}
	return "unknown"
}

// Finish records a round that has ended or was abandoned, and returns how to proceed.
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
	for _, ballot := range []messages.Ballot{round.HighestBallot, round.Ballot} {
		if Less(a.highestBallot, ballot) {
			a.highestBallot = ballot
		}
	}
	return Backoff
}
