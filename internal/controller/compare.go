// Periodic comparison of versions, heartbeats, time of day and tallies with the other controllers.

package controller

import (
	"cmp"
	"context"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/transport"
)

// handleVersions handles a request of another node to compare versions.
func (c *Controller) handleVersions(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	response := c.versions()
	var request messages.Versions
	if _, err := request.UnmarshalMsg(body); err == nil && !request.Controller {
		response.Parts = c.publishedVersions()
	}
	response.LaterHeartbeats = c.registry.LaterHeartbeats(request.SilentRunners, c.clock())
	return response.MarshalMsg(nil)
}

func (c *Controller) versions() messages.Versions {
	m := messages.Versions{Parts: make([]int64, consensus.RegisterCount), RegistrySum: c.registry.Snapshot().Checksum, Controller: true, StableForUs: c.stability.stableForUs(c.clock()), MemberID: c.registers.ID(), CutOff: c.cutOff(), TargetAges: c.targets.ages(c.clock())}
	m.TimeUs, m.TimeAgreed = c.timeOfDay.TimeUs(c.clock())
	m.TallyDigest = c.tallies.Digest()
	m.ConfigAccepted = c.registers.MaybeAcceptedVersion(consensus.ConfigRegister)
	if v, ok := c.registers.Committed(consensus.ConfigRegister); ok {
		m.ConfigCommitted, m.ConfigGroup = v.Version, identities(v.Group)
	}
	for register := range m.Parts {
		m.Parts[register] = -1
		if v, ok := c.registers.Committed(register); ok {
			m.Parts[register] = v.Version
		}
	}
	return m
}

// coreView returns the controllers whose joining or leaving resets the stability of the core (see
// membership.CountedControllers), as a text to compare and as a set of addresses.
func coreView(alive []messages.Peer) (view string, core map[string]bool) {
	core = map[string]bool{}
	for _, p := range membership.CountedControllers(alive) {
		view += p.Addr + p.MemberID + " "
		core[p.Addr] = true
	}
	return view, core
}

// compareWithPeers compares versions with the other controllers and pulls newer ones. The same call
// requests the heartbeats of runners that are silent here. A runner is marked silent only under the
// contact lease, and the calls that renew that lease thereby also asked for its heartbeats.
func (c *Controller) compareWithPeers(ctx context.Context) {
	c.registers.ExpireTransfers()
	alive := c.monitor.Alive(messages.Controller)
	view, core := coreView(alive)
	c.stability.observe(view, c.clock())
	silent := c.registry.SilentRunners(c.clock(), c.silenceLimits())
	for _, p := range alive {
		if p.Addr != c.transport.Addr() {
			go c.compareWithPeer(ctx, p, core[p.Addr], silent)
		}
	}
}

// compareTimeout is the timeout of a comparison with another controller.
const compareTimeout = 450 * time.Millisecond

// compareWithPeer compares versions, time of day and heartbeats with another controller.
func (c *Controller) compareWithPeer(ctx context.Context, p messages.Peer, inCore bool, silent []messages.LastHeartbeat) {
	cctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	mine, sentUs := c.versions(), c.clock()
	mine.SilentRunners = silent
	response, err := c.transport.Call(cctx, p.Addr, transport.KindVersions, &mine)
	if inCore {
		c.stability.recordCall(p.Addr, err == nil, c.clock())
	}
	if err != nil {
		c.tallies.RecordComparisonFailure(p.Addr, sentUs)
		return
	}
	var theirs messages.Versions
	if _, err := theirs.UnmarshalMsg(response); err != nil {
		return
	}
	go c.tallies.HandleDigest(ctx, p.Addr, theirs.TallyDigest)
	c.publishRunners(c.registry.ApplyLaterHeartbeats(theirs.LaterHeartbeats, sentUs, c.clock())...)
	c.targets.mergeAges(theirs.TargetAges, c.clock())
	c.timeOfDay.AddSample(p.Addr, theirs, sentUs, c.clock())
	c.contactLease.recordAnswer(cmp.Or(theirs.MemberID, p.MemberID), sentUs) // responses of earlier releases have no MemberID
	for register := range min(len(theirs.Parts), consensus.RegisterCount) {
		if theirs.Parts[register] > mine.Parts[register] {
			go func() { _ = c.registers.CatchUp(ctx, p.Addr, register) }()
		}
	}
}
