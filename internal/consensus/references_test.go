package consensus

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// acceptorsWithUnfinishedRound returns three acceptors that have all accepted a large value, whose
// proposer failed before it sent any commit.
func acceptorsWithUnfinishedRound(t *testing.T) (base, accepted messages.Value, acceptors map[string]*Acceptor) {
	t.Helper()
	base = InitialValue([]string{"a", "b", "c"})
	acceptors = map[string]*Acceptor{}
	round := NewRound(0, base, messages.Ballot{N: 1, Who: "first"}, "first", setBody(strings.Repeat("x", 8*statesync.ChunkBytes)))
	for _, m := range base.Group {
		acceptors[m.ID] = &Acceptor{ID: m.ID, Record: messages.Record{Committed: base}}
	}
	deliverAll(t, round, acceptors)
	must.Eq(t, Chosen, round.Outcome)
	for _, a := range acceptors {
		a.Record = messages.Record{Committed: base, Accepted: round.Value, HasAccepted: true, AcceptedAt: round.Ballot, Promised: round.Ballot}
	}
	return base, round.Value, acceptors
}

// deliverAll delivers the requests of a round in order, and returns the number of bytes of all
// requests and responses.
func deliverAll(t *testing.T, round *Round, acceptors map[string]*Acceptor) (total int) {
	t.Helper()
	requests := round.Requests()
	for len(requests) > 0 && round.Outcome == InProgress {
		request := requests[0]
		requests = requests[1:]
		response, _ := acceptors[request.To.ID].Handle(request.Body)
		encodedRequest, err := request.Body.MarshalMsg(nil)
		must.NoError(t, err)
		encodedResponse, err := response.MarshalMsg(nil)
		must.NoError(t, err)
		total += len(encodedRequest) + len(encodedResponse)
		requests = append(requests, round.Receive(request.To, request.Body.Step, response)...)
	}
	return total
}

// finishingRound returns a round that commits an accepted value and has no value of its own.
func finishingRound(base messages.Value) *Round {
	return NewRound(0, base, messages.Ballot{N: 2, Who: "second"}, "second", func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, ErrNoChange })
}

func TestAcceptedLargeValueIsFinishedByReference(t *testing.T) {
	base, accepted, acceptors := acceptorsWithUnfinishedRound(t)
	round := finishingRound(base)
	round.SetLocalValue(accepted)
	bytes := deliverAll(t, round, acceptors)
	must.Eq(t, Chosen, round.Outcome)
	must.Eq(t, accepted, round.Value)
	must.Less(t, 4096, bytes)
	reaccepted := 0
	for _, a := range acceptors {
		must.Eq(t, accepted, a.Record.Accepted)
		if a.Record.AcceptedAt == round.Ballot {
			reaccepted++
		}
	}
	must.GreaterEq(t, 2, reaccepted)
}

// A proposer that has not accepted the value itself receives the value, not a reference.
func TestAcceptedLargeValueIsReportedInFullToProposerWithoutIt(t *testing.T) {
	base, accepted, acceptors := acceptorsWithUnfinishedRound(t)
	round := finishingRound(base)
	deliverAll(t, round, acceptors)
	must.Eq(t, Chosen, round.Outcome)
	must.Eq(t, accepted, round.Value)
}

// A member that has not accepted the value is sent the value, not a reference.
func TestMemberWithoutAcceptedLargeValueIsSentTheValue(t *testing.T) {
	base, accepted, acceptors := acceptorsWithUnfinishedRound(t)
	for id, a := range acceptors {
		a.Record = messages.Record{Committed: base}
		if id == base.Group[0].ID {
			a.Record.Accepted, a.Record.HasAccepted, a.Record.AcceptedAt = accepted, true, messages.Ballot{N: 1, Who: "first"}
		}
	}
	round := finishingRound(base)
	round.SetLocalValue(accepted)
	deliverAll(t, round, acceptors)
	must.Eq(t, Chosen, round.Outcome)
	for _, a := range acceptors {
		must.True(t, !a.Record.HasAccepted || len(a.Record.Accepted.Group) == 3, must.Sprint("an acceptor must not store a reference"))
	}
}

func TestReferenceToAnotherValueIsRejected(t *testing.T) {
	_, accepted, acceptors := acceptorsWithUnfinishedRound(t)
	other := accepted
	other.Stamp = "other"
	for _, a := range acceptors {
		before := a.Record
		response, changed := a.Handle(messages.ConsensusRequest{To: a.ID, Step: messages.Accept, Slot: accepted.Version, Ballot: messages.Ballot{N: 9}, Value: referenceTo(other)})
		must.Eq(t, messages.Outbid, response.Verdict)
		must.False(t, changed)
		must.Eq(t, before, a.Record)
	}
}
