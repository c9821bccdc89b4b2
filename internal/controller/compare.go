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

// answerVersions handles a request to compare versions.
func (c *Controller) answerVersions(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	m := c.versions()
	var from messages.Versions
	if _, err := from.UnmarshalMsg(body); err == nil && !from.Controller {
		m.Parts = c.publishedVersions()
	}
	m.LaterHeartbeats = c.registry.LaterHeartbeats(from.SilentRunners, c.clock())
	return m.MarshalMsg(nil)
}

func (c *Controller) versions() messages.Versions {
	m := messages.Versions{Parts: make([]int64, consensus.RegisterCount), RegistrySum: c.registry.Snapshot().Checksum, Controller: true, StableForUs: c.stability.stableForUs(c.clock()), MemberID: c.registers.ID(), CutOff: c.cutOff(), TargetAges: c.targets.ages(c.clock())}
	m.TimeUs, m.TimeAgreed = c.timeOfDay.TimeUs(c.clock())
	m.TallyDigest = c.tallies.Digest()
	m.ConfigAccepted = c.registers.MaybeAcceptedVersion(consensus.ConfigRegister)
	if v, ok := c.registers.Committed(consensus.ConfigRegister); ok {
		m.ConfigCommitted, m.ConfigGroup = v.Version, identities(v.Group)
	}
	for p := range m.Parts {
		m.Parts[p] = -1
		if v, ok := c.registers.Committed(p); ok {
			m.Parts[p] = v.Version
		}
	}
	return m
}

// coreView returns the controllers whose joining or leaving resets the stability of the core (see
// membership.Core), as a text to compare and as a set of addresses.
func coreView(alive []messages.Peer) (view string, core map[string]bool) {
	core = map[string]bool{}
	for _, p := range membership.Core(alive) {
		view += p.Addr + p.MemberID + " "
		core[p.Addr] = true
	}
	return view, core
}

// catchUp compares versions with the other controllers and pulls newer ones. The same call
// requests the heartbeats of runners that are silent here. A runner is marked silent only under the
// contact lease, and the calls that renew that lease thereby also asked for its heartbeats.
func (c *Controller) catchUp(ctx context.Context) {
	c.registers.ExpireTransfers()
	alive := c.monitor.Alive(messages.Controller)
	view, core := coreView(alive)
	c.stability.observe(view, c.clock())
	silent := c.registry.SilentRunners(c.clock(), c.silence())
	for _, p := range alive {
		if p.Addr != c.transport.Addr() {
			go c.compareWith(ctx, p, core[p.Addr], silent)
		}
	}
}

// compareWait is the timeout of a comparison with another controller.
const compareWait = 450 * time.Millisecond

// compareWith compares versions, time of day and heartbeats with another controller.
func (c *Controller) compareWith(ctx context.Context, p messages.Peer, inCore bool, silent []messages.LastHeartbeat) {
	cctx, cancel := context.WithTimeout(ctx, compareWait)
	defer cancel()
	mine, sentUs := c.versions(), c.clock()
	mine.SilentRunners = silent
	b, err := c.transport.Call(cctx, p.Addr, transport.KindVersions, &mine)
	if inCore {
		c.stability.recordCall(p.Addr, err == nil, c.clock())
	}
	if err != nil {
		c.tallies.NotCompared(p.Addr, sentUs)
		return
	}
	var m messages.Versions
	if _, err := m.UnmarshalMsg(b); err != nil {
		return
	}
	go c.tallies.Compared(ctx, p.Addr, m.TallyDigest)
	c.publishRunners(c.registry.ApplyLaterHeartbeats(m.LaterHeartbeats, sentUs, c.clock())...)
	c.targets.observe(m.TargetAges, c.clock())
	c.timeOfDay.Compare(p.Addr, m, sentUs, c.clock())
	c.contact.answered(cmp.Or(m.MemberID, p.MemberID), sentUs) // responses of earlier releases have no MemberID
	for part := range min(len(m.Parts), consensus.RegisterCount) {
		if m.Parts[part] > mine.Parts[part] {
			go func() { _ = c.registers.CatchUp(ctx, p.Addr, part) }()
		}
	}
}
