package consensus

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A change is computed, and can be rejected, only once a majority has promised.
func TestRejectionNeedsPromisesFromMajority(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	reason := errors.New("no")
	round := NewRound(0, g, messages.Ballot{N: 1, Who: "x"}, "x", func(messages.Value) ([]messages.Member, []byte, error) { return nil, nil, reason })
	round.Receive(g.Group[0], messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, InProgress, round.Outcome)
	round.Receive(g.Group[1], messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, Rejected, round.Outcome)
	must.ErrorIs(t, round.Err, reason)
}

// A value that changes the group is chosen once majorities of both groups have
// accepted it.
func TestMembershipChangeNeedsQuorumOfBothGroups(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	next := []messages.Member{{ID: "d/1", Addr: "d"}, {ID: "e/1", Addr: "e"}, g.Group[0]}
	round := NewRound(0, g, messages.Ballot{N: 1, Who: "x"}, "x", func(messages.Value) ([]messages.Member, []byte, error) { return next, nil, nil })
	for _, m := range g.Group[:2] {
		round.Receive(m, messages.Prepare, messages.ConsensusResponse{Verdict: messages.Granted})
	}
	for _, m := range g.Group {
		round.Receive(m, messages.Accept, messages.ConsensusResponse{Verdict: messages.Granted})
	}
	must.Eq(t, InProgress, round.Outcome)
	round.Receive(next[0], messages.Accept, messages.ConsensusResponse{Verdict: messages.Granted})
	must.Eq(t, Chosen, round.Outcome)
}
