package consensus

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

var errStrictValidation = errors.New("rejected by strict validation")

// rejectSealed is a change that is rejected, where other validation may have accepted it.
func rejectSealed(messages.Value) ([]messages.Member, []byte, error) {
	return nil, nil, SealRejection(errStrictValidation)
}

// acceptorsWithEarlierAttempt returns three acceptors, of which only c has accepted the
// value of an earlier attempt.
func acceptorsWithEarlierAttempt() (g messages.Value, acceptors map[string]*Acceptor, earlier *Round) {
	g = InitialValue([]string{"a", "b", "c"})
	acceptors = map[string]*Acceptor{}
	for _, m := range g.Group {
		acceptors[m.Addr] = &Acceptor{ID: m.ID, Record: messages.Record{Committed: g}}
	}
	earlier = NewRound(0, g, messages.Ballot{N: 1, Who: "lax"}, "lax", setBody("accepted by lax validation"))
	requests := deliverTo(earlier, acceptors, earlier.Requests(), "a", "b")
	deliverTo(earlier, acceptors, requests, "c")
	return g, acceptors, earlier
}

// deliverTo delivers requests to the given acceptors and their responses to the round, and
// returns the resulting requests.
func deliverTo(round *Round, acceptors map[string]*Acceptor, requests []Request, to ...string) []Request {
	var next []Request
	for _, addr := range to {
		for _, request := range requests {
			if request.To.Addr == addr {
				response, _ := acceptors[addr].Handle(request.Body)
				next = append(next, round.Receive(request.To, request.Body.Step, response)...)
			}
		}
	}
	return next
}

// The value of an earlier attempt that was accepted by a member that has not responded can
// still be committed. A sealed rejection closes the version first; without a seal, the
// rejected change could be committed later.
func TestSealClosesVersionToEarlierAttempt(t *testing.T) {
	g, acceptors, _ := acceptorsWithEarlierAttempt()
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", rejectSealed)
	must.SliceEmpty(t, deliverTo(round, acceptors, round.Requests(), "a", "b"))
	must.True(t, round.SealPending(), must.Sprint("c may have accepted an earlier attempt"))
	requests := round.Seal()
	deliverTo(round, acceptors, requests, "a", "b")
	must.Eq(t, Chosen, round.Outcome)
	must.False(t, round.IsOwnValue)
	must.ErrorIs(t, round.Err, errStrictValidation)
	must.Eq(t, Finished, NewAttempt(0, "strict", rejectSealed).Finish(round))
	later := NewRound(0, g, messages.Ballot{N: 3, Who: "later"}, "later", setBody("x"))
	deliverTo(later, acceptors, later.Requests(), "b", "c")
	must.Eq(t, round.Value.Stamp, later.Value.Stamp, must.Sprint("the sealing value must be committed, not the earlier attempt"))
}

// If the member responds before the version is closed, its accepted value is proposed and
// the rejection is discarded.
func TestSealedRejectionAdoptsAcceptedValue(t *testing.T) {
	g, acceptors, earlier := acceptorsWithEarlierAttempt()
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", rejectSealed)
	prepare := round.Requests()
	deliverTo(round, acceptors, prepare, "a", "b")
	requests := deliverTo(round, acceptors, prepare, "c")
	deliverTo(round, acceptors, requests, "a", "c")
	must.Eq(t, Chosen, round.Outcome)
	must.Eq(t, earlier.Value.Stamp, round.Value.Stamp)
	must.NoError(t, round.Err)
	must.Eq(t, NextRound, NewAttempt(0, "strict", rejectSealed).Finish(round), must.Sprint("the change must be computed again"))
}

// If every member has promised, no sealing value has to be written.
func TestSealedRejectionWritesNothingWhenAllPromised(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	round := NewRound(0, g, messages.Ballot{N: 2, Who: "strict"}, "strict", rejectSealed)
	for _, m := range g.Group {
		must.Eq(t, InProgress, round.Outcome)
		must.SliceEmpty(t, round.Receive(m, messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted}))
	}
	must.Eq(t, Rejected, round.Outcome)
	must.ErrorIs(t, round.Err, errStrictValidation)
	must.SliceEmpty(t, round.Seal())
}
