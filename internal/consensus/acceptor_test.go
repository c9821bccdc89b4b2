package consensus

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// An acceptor under a new identity rejects a prepare and a read addressed to the old one.
func TestWipedAcceptorRejectsRequestsForOldIdentity(t *testing.T) {
	g := InitialValue([]string{"a", "b", "c"})
	a := Acceptor{ID: "a/new", Record: messages.Record{Committed: g}}
	response, changed := a.Handle(messages.ConsensusRequest{To: BootstrapID("a"), Step: messages.Prepare, Slot: 1, Ballot: messages.Ballot{N: 1}})
	must.Eq(t, messages.Stranger, response.Verdict)
	must.False(t, changed)
	response, _ = a.Handle(messages.ConsensusRequest{To: BootstrapID("a"), Step: messages.Read, Slot: 1})
	must.Eq(t, messages.Stranger, response.Verdict)
}
