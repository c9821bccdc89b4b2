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
	asks := tell(earlier, accs, earlier.Requests(), "a", "b")
	tell(earlier, accs, asks, "c")
	return g, accs, earlier
}

// tell carries asks to those named and their words back, and returns what is asked next.
func tell(r *Round, accs map[string]*Acceptor, asks []Request, to ...string) []Request {
	var next []Request
	for _, addr := range to {
		for _, a := range asks {
			if a.To.Addr == addr {
				word, _ := accs[addr].Handle(a.Body)
				next = append(next, r.Hear(a.To, a.Body.Step, word)...)
			}
		}
	}
	return next
}

// A try that stands at a member who has not answered can still be chosen: a
// sealed refusal closes the slot first, a plain one would be overturned.
func TestSealedRefusalIsNotOverturned(t *testing.T) {
	g, accs, _ := trio()
	r := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	must.SliceEmpty(t, tell(r, accs, r.Requests(), "a", "b"))
	must.True(t, r.InDoubt(), must.Sprint("c may hold an earlier try"))
	asks := r.Seal()
	tell(r, accs, asks, "a", "b")
	must.Eq(t, Chosen, r.End)
	must.False(t, r.Mine)
	must.ErrorIs(t, r.Err, errStricter)
	must.Eq(t, Finished, NewAttempt(0, "strict", refuse).Close(r))
	later := NewRound(0, g, messages.Ballot{N: 3, Who: "later"}, "later", body("x"))
	tell(later, accs, later.Requests(), "b", "c")
	must.Eq(t, r.Value.Stamp, later.Value.Stamp, must.Sprint("the seal stands, not the earlier try"))
}

func TestSealedRefusalTakesOverAnEarlierTry(t *testing.T) {
	g, accs, earlier := trio()
	r := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	prepare := r.Requests()
	tell(r, accs, prepare, "a", "b")
	asks := tell(r, accs, prepare, "c")
	tell(r, accs, asks, "a", "c")
	must.Eq(t, Chosen, r.End)
	must.Eq(t, earlier.Value.Stamp, r.Value.Stamp)
	must.NoError(t, r.Err)
	must.Eq(t, NextRound, NewAttempt(0, "strict", refuse).Close(r), must.Sprint("the order is looked up again"))
}

// Where every member has promised, nothing has to be written.
func TestSealedRefusalNeedsNoSlotWhereAllPromised(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	r := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", refuse)
	for _, m := range g.Group {
		must.Eq(t, Going, r.End)
		must.SliceEmpty(t, r.Hear(m, messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted}))
	}
	must.Eq(t, Rejected, r.End)
	must.ErrorIs(t, r.Err, errStricter)
	must.SliceEmpty(t, r.Seal())
}

// A member that answers twice is one member; one that has accepted something
// vouches for nothing.
func TestReadingCountsMembersNotAnswers(t *testing.T) {
	g := Genesis([]string{"a", "b", "c"})
	look := NewReading(g)
	clean := messages.ConsensusResponse{Verdict: messages.Granted}
	look.Hear(g.Group[0], clean)
	look.Hear(g.Group[0], clean)
	must.Eq(t, NoMajority, look.Found())
	look.Hear(g.Group[1], messages.ConsensusResponse{Verdict: messages.Granted, HasAccepted: true})
	must.Eq(t, Unsettled, look.Found())
	look.Hear(g.Group[2], clean)
	must.Eq(t, Current, look.Found(), must.Sprint("a majority is clean: what one has accepted was not chosen"))
}
