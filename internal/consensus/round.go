package consensus

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Change computes the next group and body from the committed value; an empty group
// keeps the current one. An error rejects the change and is returned to the caller
// as it is. A Change must depend on nothing but the value and the order that it
// stands for: a rejection is final only because no earlier attempt of the same order
// can have decided otherwise on the same value. Where it may have (an earlier version
// of the program had other checks), the change returns SealRefusal(err).
type Change func(cur messages.Value) (group []messages.Member, body []byte, err error)

// Request is a request with the member that it is sent to.
type Request struct {
	To   messages.Member
	Body messages.ConsensusRequest
}

// Outcome is the state of a round.
type Outcome int

// Outcomes of a round.
const (
	InProgress Outcome = iota
	Chosen             // Value is committed
	Superseded         // a member knows a newer committed value: Value
	Preempted          // so many members promised a higher ballot that no quorum is left
	Rejected           // the change returned an error: Err
)

// String names the outcome for logs and test failures.
func (o Outcome) String() string {
	switch o {
	case InProgress:
		return "in progress"
	case Chosen:
		return "chosen"
	case Superseded:
		return "superseded"
	case Preempted:
		return "preempted"
	case Rejected:
		return "rejected"
	}
	return "unknown"
}

// Round is the two phases of Paxos under one ballot. It prepares the version after
// its base, proposes again what a member may already have accepted there, else what
// the change computes, and ends once a majority of the old and of the new group has
// accepted that. It is a pure state machine: responses come in, requests go out.
type Round struct {
	Part   int
	Base   messages.Value
	Ballot messages.Ballot
	Stamp  string
	End    Outcome
	Value  messages.Value // what is proposed, or what Superseded the base
	Mine   bool           // Value is what the change of this round computed
	// Err is why the change was rejected: with Rejected, or with Chosen where the
	// rejection was sealed.
	Err           error
	HighestBallot messages.Ballot // the highest ballot that preempted this one

	change          Change
	accepting       bool            // in the accept phase, else in the prepare phase
	granted         map[string]bool // members that granted the request of this phase
	preemptedBy     map[string]bool // members that have promised a higher ballot
	hasAccepted     bool            // a member has reported an accepted value: Value
	highestAccepted messages.Ballot // the ballot of that value
	held            messages.Value  // a large value that this node has accepted itself
	heldReference   messages.Value  // the reference to it
	holds           map[string]bool // members that have reported held by its reference
	sealPending     bool            // rejected by a majority's promises, waiting for the other members
}

// NewRound starts a round on top of a committed value.
func NewRound(part int, base messages.Value, ballot messages.Ballot, stamp string, change Change) *Round {
	return &Round{
		Part: part, Base: base, Ballot: ballot, Stamp: stamp,
		change: change, granted: map[string]bool{}, preemptedBy: map[string]bool{}, holds: map[string]bool{},
	}
}

// Hold tells the round, before its first request, what this node has accepted itself.
// Members that have accepted the same large value report it, and are sent it, by
// reference.
func (r *Round) Hold(accepted messages.Value) {
	if isLarge(accepted) && accepted.Version == r.Base.Version+1 {
		r.held, r.heldReference = accepted, referenceTo(accepted)
	}
}

// Requests returns the requests of the current phase, one a member.
func (r *Round) Requests() []Request {
	var out []Request
	for _, m := range r.group() {
		out = append(out, Request{To: m, Body: r.requestFor(m)})
	}
	return out
}

// group is who takes part in the current phase.
func (r *Round) group() []messages.Member {
	if !r.accepting {
		return r.Base.Group
	}
	return unionOf(r.Base.Group, r.Value.Group)
}

func (r *Round) requestFor(m messages.Member) messages.ConsensusRequest {
	request := messages.ConsensusRequest{Part: r.Part, To: m.ID, Step: messages.Prepare, Slot: r.Base.Version + 1, Ballot: r.Ballot, Value: r.heldReference}
	if r.accepting {
		request.Step, request.Value = messages.Accept, r.valueFor(m)
	}
	return request
}

// valueFor returns what a member is sent to accept.
func (r *Round) valueFor(m messages.Member) messages.Value {
	if r.holds[m.ID] {
		return r.heldReference
	}
	return r.Value
}

// Receive records a member's response to a request of the given step. It returns
// further requests: those of the next phase, or the committed base for a member that
// is behind. Responses to the other phase are ignored.
func (r *Round) Receive(from messages.Member, step messages.Step, response messages.ConsensusResponse) []Request {
	if r.End != InProgress || (step == messages.Accept) != r.accepting {
		return nil
	}
	switch response.Verdict {
	case messages.Ahead:
		if response.Value.Version > r.Base.Version {
			r.End, r.Value, r.Err = Superseded, response.Value, nil
		}
		return nil
	case messages.Behind:
		return r.catchUp(from)
	case messages.Outbid:
		r.preempt(from, response.Promised)
		return nil
	case messages.Granted:
		if !r.accepting && !r.resolve(from, &response) {
			return nil
		}
		r.granted[from.ID] = true
		if r.accepting {
			r.finishAccept()
			return nil
		}
		return r.receivePromise(response)
	}
	return nil
}

// catchUp sends a member the base and then the request of this phase again.
func (r *Round) catchUp(m messages.Member) []Request {
	commit := messages.ConsensusRequest{Part: r.Part, To: m.ID, Step: messages.Commit, Slot: r.Base.Version, Value: r.Base}
	return []Request{{To: m, Body: commit}, {To: m, Body: r.requestFor(m)}}
}

// preempt records a member that has promised a higher ballot, and ends the round once
// the others are no majority of the base's group.
func (r *Round) preempt(from messages.Member, promised messages.Ballot) {
	if Less(r.HighestBallot, promised) {
		r.HighestBallot = promised
	}
	r.preemptedBy[from.ID] = true
	left := 0
	for _, m := range r.Base.Group {
		if !r.preemptedBy[m.ID] {
			left++
		}
	}
	if left <= len(r.Base.Group)/2 {
		r.End = Preempted
	}
}

// resolve puts the held value in place of the reference to it. It returns false for a
// reference to another value, which nobody sends.
func (r *Round) resolve(from messages.Member, promise *messages.ConsensusResponse) bool {
	if !promise.HasAccepted || !isReference(promise.Value) {
		return true
	}
	if !isReference(r.heldReference) || !sameReference(promise.Value, r.heldReference) {
		return false
	}
	r.holds[from.ID] = true
	promise.Value = r.held
	return true
}

// receivePromise keeps the accepted value with the highest ballot, and goes on to
// the accept phase once a majority has promised.
func (r *Round) receivePromise(promise messages.ConsensusResponse) []Request {
	if promise.HasAccepted && (!r.hasAccepted || Less(r.highestAccepted, promise.AcceptedAt)) {
		r.hasAccepted, r.highestAccepted, r.Value = true, promise.AcceptedAt, promise.Value
	}
	if !r.hasQuorum(r.Base.Group) || r.sealPending && !r.hasAccepted {
		r.rejectIfAllPromised()
		return nil
	}
	return r.propose()
}

// finishAccept ends the round once majorities of both groups have accepted.
func (r *Round) finishAccept() {
	if r.hasQuorum(r.Base.Group) && r.hasQuorum(r.Value.Group) {
		r.End = Chosen
		r.Mine = r.Value.Stamp == r.Stamp
	}
}

// propose starts the accept phase with the value that a member has accepted, else
// with what the change computes.
func (r *Round) propose() []Request {
	if r.hasAccepted {
		r.Err = nil
		return r.startAccept()
	}
	group, body, err := r.change(r.Base)
	var sealed *sealedRefusal
	switch {
	case errors.As(err, &sealed):
		r.sealPending, r.Err = true, sealed.cause
		r.rejectIfAllPromised()
		return nil
	case err != nil:
		r.End, r.Err, r.Value = Rejected, err, r.Base
		return nil
	}
	if len(group) == 0 {
		group = r.Base.Group
	}
	r.Value = messages.Value{Version: r.Base.Version + 1, Group: group, Body: body, Stamp: r.Stamp}
	return r.startAccept()
}

func (r *Round) startAccept() []Request {
	r.accepting, r.sealPending = true, false
	r.granted, r.preemptedBy = map[string]bool{}, map[string]bool{}
	if len(r.holds) > 0 && !sameReference(referenceTo(r.Value), r.heldReference) {
		clear(r.holds)
	}
	return r.Requests()
}

// hasQuorum reports whether a majority of a group has granted the current phase.
func (r *Round) hasQuorum(group []messages.Member) bool { return isMajority(group, r.granted) }

// SealPending reports whether a sealed rejection waits for the members that have not
// promised yet: one of them may have accepted an earlier attempt.
func (r *Round) SealPending() bool { return r.End == InProgress && r.sealPending }

// rejectIfAllPromised ends a sealed rejection once every member has promised and
// none has accepted a value: then nothing can be committed under a lower ballot.
func (r *Round) rejectIfAllPromised() {
	if r.sealPending && !r.hasAccepted && len(r.granted) == len(r.Base.Group) {
		r.End, r.Value = Rejected, r.Base
	}
}

// Seal ends the wait for the members that have not promised: the base is proposed
// again for the next version, so that no earlier attempt can be committed there.
// Once that is chosen, the rejection stands.
func (r *Round) Seal() []Request {
	if !r.SealPending() {
		return nil
	}
	r.Value = messages.Value{Version: r.Base.Version + 1, Group: r.Base.Group, Body: r.Base.Body, Stamp: r.Stamp + sealStampSuffix}
	return r.startAccept()
}

// sealStampSuffix makes the stamp of a sealing value differ from that of the change:
// a later round that meets the sealing value must not take the change for committed.
const sealStampSuffix = "/seal"

// sealedRefusal marks a rejection that needs its version closed.
type sealedRefusal struct{ cause error }

// Error returns the text of the cause.
func (s *sealedRefusal) Error() string { return s.cause.Error() }

// Unwrap returns the cause.
func (s *sealedRefusal) Unwrap() error { return s.cause }

// SealRefusal marks a rejection that an earlier attempt of the same order may not
// have met: the round returns it only once no such attempt can be committed at its
// version.
func SealRefusal(cause error) error { return &sealedRefusal{cause} }
