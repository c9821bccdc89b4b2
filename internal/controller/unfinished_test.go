package controller

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// A proposer that ends between the majority's acceptance and its word of it leaves a
// change that may have been acknowledged. The others come to know of it.
func TestAcceptedChangeIsFinishedWithoutItsProposer(t *testing.T) {
	nodes, _, _ := three(t)
	const part, version = 3, 9
	base, ok := nodes[0].registers.Committed(part)
	must.True(t, ok)
	body := messages.LeaseBody{Lease: messages.Lease{Holder: "x/0", Fence: 1}, Targets: []messages.Target{{Model: "m", Version: version}}}
	raw, err := body.MarshalMsg(nil)
	must.NoError(t, err)
	value := messages.Value{Version: base.Version + 1, Group: base.Group, Body: raw, Stamp: "s"}
	for _, d := range nodes[1:] {
		request := messages.ConsensusRequest{Part: part, To: d.registers.ID(), Step: messages.Accept, Slot: value.Version, Ballot: messages.Ballot{N: 1_000, Who: "x"}, Value: value}
		b, err := request.MarshalMsg(nil)
		must.NoError(t, err)
		out, err := d.registers.Handle(context.Background(), b)
		must.NoError(t, err)
		var response messages.ConsensusResponse
		_, err = response.UnmarshalMsg(out)
		must.NoError(t, err)
		must.Eq(t, messages.Granted, response.Verdict)
	}
	for _, d := range nodes {
		until(t, func() bool { return d.rollouts.newest("m") == version })
	}
}

func TestRoundUnderWayIsLeftAlone(t *testing.T) {
	var u unfinishedRounds
	must.False(t, u.due(1, true, 4), must.Sprint("seen for the first time"))
	must.False(t, u.due(1, true, 5), must.Sprint("another round by now"))
	must.True(t, u.due(1, true, 5))
	must.False(t, u.due(1, false, 5))
	must.False(t, u.due(1, true, 5))
}
