package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
)

// requireGranted sends a request of a consensus round to a member and checks that it is granted.
func requireGranted(t *testing.T, d *Controller, request messages.ConsensusRequest) {
	t.Helper()
	request.To = d.registers.ID()
	b, err := request.MarshalMsg(nil)
	must.NoError(t, err)
	out, err := d.registers.Handle(t.Context(), b)
	must.NoError(t, err)
	var response messages.ConsensusResponse
	_, err = response.UnmarshalMsg(out)
	must.NoError(t, err)
	must.Eq(t, messages.Granted, response.Verdict)
}

// A proposer wins its round, so it may have acknowledged the change, and stops before it sends any
// commit. The members that accepted the change activate it.
func TestChosenValueOfStoppedProposerIsActivated(t *testing.T) {
	nodes, url, _ := startThreeControllers(t)
	waitUntil(t, func() bool {
		status, _ := call(t, "GET", url+"/api/Config.Read", "", 0)
		return status == 404
	})
	base, ok := nodes[0].registers.Committed(consensus.ConfigRegister)
	must.True(t, ok)
	order := messages.ConfigBody{Version: 3, Raw: []byte(`{"version":3,"routes":[],"services":[]}`)}
	body, err := order.MarshalMsg(nil)
	must.NoError(t, err)
	next := messages.Value{Version: base.Version + 1, Body: body, Group: base.Group, Stamp: "ended"}
	ballot := messages.Ballot{N: 1 << 40, Who: "ended"}
	for _, d := range nodes {
		for _, step := range []messages.Step{messages.Prepare, messages.Accept} {
			requireGranted(t, d, messages.ConsensusRequest{Part: consensus.ConfigRegister, Step: step, Slot: next.Version, Ballot: ballot, Value: next})
		}
	}
	for _, d := range nodes {
		waitUntil(t, func() bool { return d.publishedVersions()[consensus.ConfigRegister] == next.Version })
		must.Eq(t, order.Version, d.table.Load().Version)
	}
}

// The wait time of a register is independent of other registers and starts again with the next
// round.
func TestUnfinishedRoundIsDueAfterWait(t *testing.T) {
	var rounds unfinishedRounds
	must.False(t, rounds.due(0, 7, 1000, 300))
	must.False(t, rounds.due(0, 7, 1299, 300))
	must.False(t, rounds.due(1, 7, 1300, 300))
	must.False(t, rounds.due(0, 8, 1300, 300))
	must.True(t, rounds.due(0, 8, 1600, 300))
}

// A proposer that stops between the majority's acceptance and its commit messages leaves a change
// that may have been acknowledged. The other members complete it.
func TestAcceptedChangeIsCompletedWithoutProposer(t *testing.T) {
	nodes, _, _ := startThreeControllers(t)
	const register, version = 3, 9
	base, ok := nodes[0].registers.Committed(register)
	must.True(t, ok)
	body := messages.LeaseBody{Lease: messages.Lease{Holder: "x/0", Fence: 1}, Targets: []messages.Target{{Model: "m", Version: version}}}
	raw, err := body.MarshalMsg(nil)
	must.NoError(t, err)
	value := messages.Value{Version: base.Version + 1, Group: base.Group, Body: raw, Stamp: "s"}
	for _, d := range nodes[1:] {
		requireGranted(t, d, messages.ConsensusRequest{Part: register, Step: messages.Accept, Slot: value.Version, Ballot: messages.Ballot{N: 1_000, Who: "x"}, Value: value})
	}
	for _, d := range nodes {
		waitUntil(t, func() bool { return d.rollouts.NewestVersion("m") == version })
	}
}
