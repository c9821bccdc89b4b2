package consensus

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Change computes the next group and body from the committed value; an empty group
// keeps the current one. An error rejects the change and is returned to the caller
// unchanged. A Change must be a pure function of the value and of the client request
// that it implements: a rejection is final only because every earlier attempt at the
// same request was rejected on the same value too. Where an earlier attempt may have
// been accepted (an earlier version of the program had other checks), the change returns
// SealRejection(err).
type Change func(cur messages.Value) (group []messages.Member, body []byte, err error)

// Request is a request and the member that it is addressed to.
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
	Superseded         // a member reported a newer committed value: Value
	Preempted          // too many members promised a higher ballot for a quorum to be reached
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

// Round runs the two phases of Paxos under one ballot. It prepares the version after
// its base, proposes the value that a member has already accepted for that version,
// or else the one that the change computes, and ends once a majority of the old group
// and one of the new group have accepted it. It is a pure state machine: its inputs are
// responses and its outputs are requests.
type Round struct {
	RegisterIndex int
	Base          messages.Value
	Ballot        messages.Ballot
	Stamp         string
	Outcome       Outcome
	Value         messages.Value // the proposed value, or with Superseded the newer committed one
	IsOwnValue    bool           // Value was computed by this round's change
	// Err is the reason why the change was rejected. It is set with Rejected, and with
	// Chosen if the rejection was sealed.
	Err           error
	HighestBallot messages.Ballot // the highest ballot that preempted this one

	change                Change
	accepting             bool            // in the accept phase, else in the prepare phase
	granted               map[string]bool // members that granted the request of this phase
	preemptedBy           map[string]bool // members that have promised a higher ballot
	hasAccepted           bool            // a member has reported an accepted value: Value
	highestAccepted       messages.Ballot // the ballot of that value
	localValue            messages.Value  // a large value that this node has accepted itself
	localReference        messages.Value  // the reference to it
	membersWithLocalValue map[string]bool // members that reported the same value by its reference
	sealPending           bool            // the change was rejected after a majority promised; the other members have not all promised yet
}

// NewRound starts a round on top of a committed value.
func NewRound(index int, base messages.Value, ballot messages.Ballot, stamp string, change Change) *Round {
	return &Round{
		RegisterIndex: index, Base: base, Ballot: ballot, Stamp: stamp,
		change: change, granted: map[string]bool{}, preemptedBy: map[string]bool{}, membersWithLocalValue: map[string]bool{},
	}
}

// SetLocalValue sets the value that this node has accepted itself, and must be called before the
// first request is sent. With a large value, members that have accepted the same one
// report it by reference, and are sent it by reference.
func (r *Round) SetLocalValue(accepted messages.Value) {
	if isLarge(accepted) && accepted.Version == r.Base.Version+1 {
		r.localValue, r.localReference = accepted, referenceTo(accepted)
	}
}

// Requests returns the requests of the current phase, one per member.
func (r *Round) Requests() []Request {
	var out []Request
	for _, m := range r.participants() {
		out = append(out, Request{To: m, Body: r.requestFor(m)})
	}
	return out
}

// participants returns the members that requests of the current phase are sent to.
func (r *Round) participants() []messages.Member {
	if !r.accepting {
		return r.Base.Group
	}
	return unionOf(r.Base.Group, r.Value.Group)
}

func (r *Round) requestFor(m messages.Member) messages.ConsensusRequest {
	request := messages.ConsensusRequest{Part: r.RegisterIndex, To: m.ID, Step: messages.Prepare, Slot: r.Base.Version + 1, Ballot: r.Ballot, Value: r.localReference}
	if r.accepting {
		request.Step, request.Value = messages.Accept, r.valueFor(m)
	}
	return request
}

// valueFor returns the value of the accept request to a member: a reference if the
// member has reported that it has accepted the value.
func (r *Round) valueFor(m messages.Member) messages.Value {
	if r.membersWithLocalValue[m.ID] {
		return r.localReference
	}
	return r.Value
}

// Receive records a member's response to a request of the given step. It returns
// further requests: those of the next phase, or the committed base for a member that
// is behind. Responses to the other phase are ignored.
func (r *Round) Receive(from messages.Member, step messages.Step, response messages.ConsensusResponse) []Request {
	if r.Outcome != InProgress || (step == messages.Accept) != r.accepting {
		return nil
	}
	switch response.Verdict {
	case messages.Ahead:
		if response.Value.Version > r.Base.Version {
			r.Outcome, r.Value, r.Err = Superseded, response.Value, nil
		}
		return nil
	case messages.Behind:
		return r.catchUp(from)
	case messages.Outbid:
		r.recordPreemption(from, response.Promised)
		return nil
	case messages.Granted:
		if !r.accepting && !r.resolveReference(from, &response) {
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

// catchUp returns the requests for a member that lacks the base: a commit of the base,
// then the request of this phase again.
func (r *Round) catchUp(m messages.Member) []Request {
	commit := messages.ConsensusRequest{Part: r.RegisterIndex, To: m.ID, Step: messages.Commit, Slot: r.Base.Version, Value: r.Base}
	return []Request{{To: m, Body: commit}, {To: m, Body: r.requestFor(m)}}
}

// recordPreemption records a member that has promised a higher ballot, and ends the round once
// the remaining members are less than a majority of the base's group.
func (r *Round) recordPreemption(from messages.Member, promised messages.Ballot) {
	if ballotLess(r.HighestBallot, promised) {
		r.HighestBallot = promised
	}
	r.preemptedBy[from.ID] = true
	remaining := 0
	for _, m := range r.Base.Group {
		if !r.preemptedBy[m.ID] {
			remaining++
		}
	}
	if remaining <= len(r.Base.Group)/2 {
		r.Outcome = Preempted
	}
}

// resolveReference replaces a reference in a promise by the local accepted value. It returns
// false for a reference to another value, which no correct member sends.
func (r *Round) resolveReference(from messages.Member, promise *messages.ConsensusResponse) bool {
	if !promise.HasAccepted || !isReference(promise.Value) {
		return true
	}
	if !isReference(r.localReference) || !sameReference(promise.Value, r.localReference) {
		return false
	}
	r.membersWithLocalValue[from.ID] = true
	promise.Value = r.localValue
	return true
}

// receivePromise retains the accepted value with the highest ballot, and starts the
// accept phase once a majority has promised.
func (r *Round) receivePromise(promise messages.ConsensusResponse) []Request {
	if promise.HasAccepted && (!r.hasAccepted || ballotLess(r.highestAccepted, promise.AcceptedAt)) {
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
		r.Outcome = Chosen
		r.IsOwnValue = r.Value.Stamp == r.Stamp
	}
}

// propose starts the accept phase with the accepted value that was reported under the
// highest ballot, or else with the value that the change computes.
func (r *Round) propose() []Request {
	if r.hasAccepted {
		r.Err = nil
		return r.startAccept()
	}
	group, body, err := r.change(r.Base)
	var sealed *sealedRejection
	switch {
	case errors.As(err, &sealed):
		r.sealPending, r.Err = true, sealed.cause
		r.rejectIfAllPromised()
		return nil
	case err != nil:
		r.Outcome, r.Err, r.Value = Rejected, err, r.Base
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
	if len(r.membersWithLocalValue) > 0 && !sameReference(referenceTo(r.Value), r.localReference) {
		clear(r.membersWithLocalValue)
	}
	return r.Requests()
}

// hasQuorum reports whether a majority of a group has granted the current phase.
func (r *Round) hasQuorum(group []messages.Member) bool { return isMajority(group, r.granted) }

// SealPending reports whether a sealed rejection is waiting for members that have not
// promised yet: one of them may have accepted the value of an earlier attempt.
func (r *Round) SealPending() bool { return r.Outcome == InProgress && r.sealPending }

// rejectIfAllPromised ends a sealed rejection once every member has promised and
// none has accepted a value: then nothing can be committed under a lower ballot.
func (r *Round) rejectIfAllPromised() {
	if r.sealPending && !r.hasAccepted && len(r.granted) == len(r.Base.Group) {
		r.Outcome, r.Value = Rejected, r.Base
	}
}

// Seal ends the wait for the members that have not promised: it proposes the content of
// the base for the next version, so that no earlier attempt can be committed there. Once
// that is chosen, the rejection is final.
func (r *Round) Seal() []Request {
	if !r.SealPending() {
		return nil
	}
	r.Value = messages.Value{Version: r.Base.Version + 1, Group: r.Base.Group, Body: r.Base.Body, Stamp: r.Stamp + sealStampSuffix}
	return r.startAccept()
}

// sealStampSuffix makes the stamp of a sealing value differ from that of the change:
// otherwise a later round that finds the sealing value would report the change as
// committed.
const sealStampSuffix = "/seal"

// sealedRejection is a rejection that is final only once its version is closed.
type sealedRejection struct{ cause error }

// Error returns the text of the cause.
func (s *sealedRejection) Error() string { return s.cause.Error() }

// Unwrap returns the cause.
func (s *sealedRejection) Unwrap() error { return s.cause }

// SealRejection wraps the error of a rejection where an earlier attempt at the same
// request may have been accepted: the round returns the rejection only once no earlier
// attempt can be committed at its version.
func SealRejection(cause error) error { return &sealedRejection{cause} }
