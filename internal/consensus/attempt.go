package consensus

import "beechtide.org/beechtide/internal/messages"

// Attempt is the proposer of one change: it runs one Round after another, each under
// a higher ballot or on a newer base, until the change is committed or rejected. It
// is a pure state machine. Its driver sends the requests of the rounds, learns the
// values that they return, and may abandon the attempt at any time, after which the
// change may still be committed.
//
// A rejection is final, for three reasons. First, a majority of the base's group has
// promised the round's ballot and none of these members had accepted a value: so nothing
// was committed on top of the base when the last of them promised, and the rejection
// holds for the newest state, even if this node had learned the base long before.
// Second, a change depends on nothing but the base, so every earlier attempt at the same
// request was rejected on it too; where that is not certain, SealRejection closes the
// version first. Third, a change that is rejected on one value is rejected on every
// later value.
type Attempt struct {
	registerIndex int
	stamp         string
	change        Change
	highestBallot messages.Ballot // the highest ballot seen on the current base
}

// NewAttempt starts an attempt. The stamp identifies its proposals and must be unique
// over all attempts of all members.
func NewAttempt(index int, stamp string, change Change) *Attempt {
	return &Attempt{registerIndex: index, stamp: stamp, change: change}
}

// Round starts the next round on top of the newest committed value that was learned.
func (a *Attempt) Round(base messages.Value) *Round {
	ballot := messages.Ballot{N: a.highestBallot.N + 1, Who: a.stamp}
	return NewRound(a.registerIndex, base, ballot, a.stamp, a.change)
}

// Progress is the next action of an attempt after a round.
type Progress int

// Next actions after a round.
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

// Finish records a round that has ended or was abandoned, and returns the next action.
func (a *Attempt) Finish(round *Round) Progress {
	switch round.Outcome {
	case Rejected:
		return Finished
	case Chosen:
		a.highestBallot = messages.Ballot{}
		if round.IsOwnValue || round.Err != nil {
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
		if ballotLess(a.highestBallot, ballot) {
			a.highestBallot = ballot
		}
	}
	return Backoff
}
