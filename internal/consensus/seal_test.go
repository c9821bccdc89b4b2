package consensus

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

var errStricter = errors.New("refused by today's checks")

// refuse is a change that other checks may have let pass.
func refuse(messages.Value) ([]messages.Member, []byte, error) {
	return nil, nil, SealRefusal(errStricter)
}

// trio is three members, of whom the last has accepted an earlier try.
func trio() (g messages.Value, accs map[string]*Acceptor, earlier *Round) {
	g = Genesis([]string{"a", "b", "c"})
	accs = map[string]*Acceptor{}
	for _, m := range g.Group {
		accs[m.Addr] = &Acceptor{ID: m.ID, Rec: messages.Record{Committed: g}}
	}
	earlier = NewRound(0, g, messages.Ballot{N: 1, Who: "lax"}, "lax", body("taken by laxer checks"))
	requests := tell(earlier, accs, earlier.Requests(), "a", "b")
	tell(earlier, accs, requests, "c")
	return g, accs, earlier
}

// tell carries asks to those named and their words back, and returns what is asked next.
func tell(round *Round, accs map[string]*Acceptor, requests []Request, to ...string) []Request {
	var next []Request
	for _, addr := range to {
		for _, request := range requests {
			if request.To.Addr == addr {
				response, _ := accs[addr].Handle(request.Body)
				next = append(next, round.Receive(request.To, request.Body.Step, response)...)
			}
		}
	}
	return next
}

// A try that stands at a member who has not answered can still be chosen: a
// sealed refusal closes the slot first, a plain one would be overturned.
func TestSealedRefusalIsNotOverturned(t *testing.T) {
	g, accs, _ := trio()
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	must.SliceEmpty(t, tell(round, accs, round.Requests(), "a", "b"))
	must.True(t, round.SealPending(), must.Sprint("c may hold an earlier try"))
	requests := round.Seal()
	tell(round, accs, requests, "a", "b")
	must.Eq(t, Chosen, round.End)
	must.False(t, round.Mine)
	must.ErrorIs(t, round.Err, errStricter)
	must.Eq(t, Finished, NewAttempt(0, "strict", refuse).Finish(round))
	later := NewRound(0, g, messages.Ballot{N: 3, Who: "later"}, "later", body("x"))
	tell(later, accs, later.Requests(), "b", "c")
	must.Eq(t, round.Value.Stamp, later.Value.Stamp, must.Sprint("the seal stands, not the earlier try"))
}

func TestSealedRefusalTakesOverAnEarlierTry(t *testing.T) {
	g, accs, earlier := trio()
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	prepare := round.Requests()
	tell(round, accs, prepare, "a", "b")
	requests := tell(round, accs, prepare, "c")
	tell(round, accs, requests, "a", "c")
	must.Eq(t, Chosen, round.End)
	must.Eq(t, earlier.Value.Stamp, round.Value.Stamp)
	must.NoError(t, round.Err)
	must.Eq(t, NextRound, NewAttempt(0, "strict", refuse).Finish(round), must.Sprint("the order is looked up again"))
}

// Where every member has promised, nothing has to be written.
func TestSealedRefusalNeedsNoSlotWhereAllPromised(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	for _, m := range g.Group {
		must.Eq(t, InProgress, round.End)
		must.SliceEmpty(t, round.Receive(m, messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted}))
	}
	must.Eq(t, Rejected, round.End)
	must.ErrorIs(t, round.Err, errStricter)
	must.SliceEmpty(t, round.Seal())
}

// A member that answers twice is one member; one that has accepted something
// vouches for nothing.
func TestReadingCountsMembersNotAnswers(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	quorumRead := NewReading(g)
	clean := messages.ConsensusResponse{Verdict: messages.Granted}
	quorumRead.Receive(g.Group[0], clean)
	quorumRead.Receive(g.Group[0], clean)
	must.Eq(t, NoQuorum, quorumRead.Result())
	quorumRead.Receive(g.Group[1], messages.ConsensusResponse{Verdict: messages.Granted, HasAccepted: true})
	must.Eq(t, Undecided, quorumRead.Result())
	quorumRead.Receive(g.Group[2], clean)
	must.Eq(t, Current, quorumRead.Result(), must.Sprint("a majority is clean: what one has accepted was not chosen"))
}
