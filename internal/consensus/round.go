// Round is one attempt to agree on the next value of a register. It asks the
// group for promises, takes over what may already have been chosen, else makes
// the change that is wanted, and asks for acceptance by a majority of the old
// and of the new group. It is a pure state machine: words come in, asks go out.
package consensus

import (
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/messages"
)

// Change makes the next group and body from the current value. An error ends
// the round with nothing changed and is handed to the caller as it is. It must
// depend on nothing but the value and the order that it stands for: a refusal is
// final as no earlier try of the same order can have found otherwise on the same
// value. Where it may have (other checks in an earlier version of the program),
// it returns the refusal as SealRefusal(err).
type Change func(cur messages.Value) (group []messages.Member, body []byte, err error)

// Request is what a member is asked, with its receiver.
type Request struct {
	To   messages.Member
	Body messages.ConsensusRequest
}

// End says how a round stands.
type Outcome int

// Ends of a round.
const (
	InProgress Outcome = iota
	Chosen             // Value is agreed on
	Superseded         // somebody is ahead; Value is what they have committed
	Preempted
	Rejected // the change itself said no; Err tells why
)

// Round is the state of the attempt.
type Round struct {
	Part          int
	Base          messages.Value
	Ballot        messages.Ballot
	Stamp         string
	End           Outcome
	Value         messages.Value
	Mine          bool
	Err           error // why the change said no: with Rejected, or with Chosen where the refusal was sealed
	HighestBallot messages.Ballot

	change          Change
	accepting       bool
	granted         map[string]bool
	highestAccepted messages.Ballot
	hasAccepted     bool
	sealPending     bool // a majority promised, and a sealed refusal waits for the others
	preemptedBy     map[string]bool
}

// NewRound starts from a committed value.
func NewRound(part int, base messages.Value, ballot messages.Ballot, stamp string, change Change) *Round {
	return &Round{Part: part, Base: base, Ballot: ballot, Stamp: stamp, change: change, granted: map[string]bool{}, preemptedBy: map[string]bool{}}
}

// Requests gives the asks of the current phase, one a member.
func (r *Round) Requests() []Request {
	var out []Request
	for _, m := range r.group() {
		out = append(out, Request{To: m, Body: r.requestFor(m)})
	}
	return out
}

func (r *Round) group() []messages.Member {
	if !r.accepting {
		return r.Base.Group
	}
	return unionOf(r.Base.Group, r.Value.Group)
}

func (r *Round) requestFor(m messages.Member) messages.ConsensusRequest {
	a := messages.ConsensusRequest{Part: r.Part, To: m.ID, Step: messages.Prepare, Slot: r.Base.Version + 1, Ballot: r.Ballot}
	if r.accepting {
		a.Step, a.Value = messages.Accept, r.Value
	}
	return a
}

// Hear takes the word of a member on an ask of the given step. It returns
// further asks: the next phase's, or the committed base for one who is behind.
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
		return []Request{
			{To: from, Body: messages.ConsensusRequest{Part: r.Part, To: from.ID, Step: messages.Commit, Slot: r.Base.Version, Value: r.Base}},
			{To: from, Body: r.requestFor(from)},
		}
	case messages.Outbid:
		if Less(r.HighestBallot, response.Promised) {
			r.HighestBallot = response.Promised
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
		return nil
	case messages.Granted:
	default:
		return nil
	}
	r.granted[from.ID] = true
	if !r.accepting {
		if response.HasAccepted && (!r.hasAccepted || Less(r.highestAccepted, response.AcceptedAt)) {
			r.hasAccepted, r.highestAccepted, r.Value = true, response.AcceptedAt, response.Value
		}
		if !r.hasQuorum(r.Base.Group) || r.sealPending && !r.hasAccepted {
			r.rejectIfAllPromised()
			return nil
		}
		return r.propose()
	}
	if r.hasQuorum(r.Base.Group) && r.hasQuorum(r.Value.Group) {
		r.End = Chosen
		r.Mine = r.Value.Stamp == r.Stamp
	}
	return nil
}

// propose takes over what was found, else makes the change.
func (r *Round) propose() []Request {
	if r.hasAccepted {
		r.Err = nil
		return r.accept()
	}
	group, body, err := r.change(r.Base)
	var s *sealedRefusal
	switch {
	case errors.As(err, &s):
		r.sealPending, r.Err = true, s.cause
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
	return r.accept()
}

func (r *Round) accept() []Request {
	r.accepting, r.sealPending = true, false
	r.granted, r.preemptedBy = map[string]bool{}, map[string]bool{}
	return r.Requests()
}

// InDoubt tells that a sealed refusal waits for the members that have not
// answered: one of them may have accepted an earlier try.
func (r *Round) SealPending() bool { return r.End == InProgress && r.sealPending }

// settleDoubt refuses once every member has promised and none has accepted
// anything: then nothing under a lower ballot can be chosen any more.
func (r *Round) rejectIfAllPromised() {
	if r.sealPending && !r.hasAccepted && len(r.granted) == len(r.Base.Group) {
		r.End, r.Value = Rejected, r.Base
	}
}

// Seal ends the wait for members that don't answer: the value as it is takes
// the slot, so that no earlier try can. Once that is chosen, the refusal stands.
func (r *Round) Seal() []Request {
	if !r.SealPending() {
		return nil
	}
	r.Value = messages.Value{Version: r.Base.Version + 1, Group: r.Base.Group, Body: r.Base.Body, Stamp: r.Stamp + sealStampSuffix}
	return r.accept()
}

// sealMark sets the stamp of a sealing value apart from that of a change made:
// met again in a later round, it must not pass for the change.
const sealStampSuffix = "/seal"

func (r *Round) hasQuorum(group []messages.Member) bool {
	n := 0
	for _, m := range group {
		if r.granted[m.ID] {
			n++
		}
	}
	return n > len(group)/2
}

func unionOf(a, b []messages.Member) []messages.Member {
	out := append([]messages.Member{}, a...)
	for _, m := range b {
		if !containsMember(out, m.ID) {
			out = append(out, m)
		}
	}
	return out
}

func containsMember(group []messages.Member, id string) bool {
	for _, m := range group {
		if m.ID == id {
			return true
		}
	}
	return false
}

// sealedRefusal marks a refusal that needs the slot closed.
type sealedRefusal struct{ cause error }

func (s *sealedRefusal) Error() string { return s.cause.Error() }

// SealRefusal marks a refusal as one that an earlier try of the same order may not
// have met: the round gives it only when no such try can be chosen at its slot.
func SealRefusal(cause error) error { return &sealedRefusal{cause} }

// ErrUnsure means that a change may or may not have been made.
var ErrUnsure = errors.New("consensus: no majority answered; the change may or may not have been made")

// ErrNoGroup means that this node does not yet know any group.
var ErrNoGroup = errors.New("consensus: no group known yet")
