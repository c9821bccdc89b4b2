package consensus

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A repeated response counts once, and a member that has accepted a value does not count
// towards a current result.
func TestReadingCountsEachMemberOnce(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	quorumRead := NewQuorumRead(g)
	clean := messages.ConsensusResponse{Verdict: messages.Granted}
	quorumRead.Receive(g.Group[0], clean)
	quorumRead.Receive(g.Group[0], clean)
	must.Eq(t, NoQuorum, quorumRead.Result())
	quorumRead.Receive(g.Group[1], messages.ConsensusResponse{Verdict: messages.Granted, HasAccepted: true})
	must.Eq(t, Undecided, quorumRead.Result())
	quorumRead.Receive(g.Group[2], clean)
	must.Eq(t, Current, quorumRead.Result(), must.Sprint("a majority has accepted nothing, so the value that one accepted was not chosen"))
}
