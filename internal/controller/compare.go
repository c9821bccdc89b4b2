// Comparisons with the other controllers: versions, heartbeats, time of day and tallies.

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

// answerVersions answers a comparison of versions.
func (d *Controller) answerVersions(_ context.Context, _ *transport.Conn, body []byte) ([]byte, error) {
	m := d.versions()
	var from messages.Versions
	if _, err := from.UnmarshalMsg(body); err == nil && !from.Controller {
		m.Parts = d.publishedVersions()
	}
	m.LaterHeartbeats = d.registry.LaterHeartbeats(from.SilentRunners, d.clock())
	return m.MarshalMsg(nil)
}

func (d *Controller) versions() messages.Versions {
	m := messages.Versions{Parts: make([]int64, consensus.Parts), RegistrySum: d.registry.Snapshot().Sum, Controller: true, StableForUs: d.stability.stableForUs(d.clock()), MemberID: d.registers.ID(), CutOff: d.cutOff(), TargetAges: d.targets.ages(d.clock())}
	m.TimeUs, m.TimeAgreed = d.timeOfDay.TimeUs(d.clock())
	m.TallyDigest = d.tallies.Digest()
	m.ConfigAccepted = d.registers.MayHaveAccepted(consensus.ConfigPart)
	if v, ok := d.registers.Committed(consensus.ConfigPart); ok {
		m.ConfigCommitted, m.ConfigGroup = v.Version, identities(v.Group)
	}
	for p := range m.Parts {
		m.Parts[p] = -1
		if v, ok := d.registers.Committed(p); ok {
			m.Parts[p] = v.Version
		}
	}
	return m
}

// coreView names the controllers whose coming and going unsettles the core: those
// that count, where some do.
func coreView(alive []messages.Peer) (view string, core map[string]bool) {
	core = map[string]bool{}
	for _, p := range membership.Core(alive) {
		view += p.Addr + p.MemberID + " "
		core[p.Addr] = true
	}
	return view, core
}

// catchUp compares versions with the other controllers and pulls what is newer.
// The same call asks for heartbeats of runners that are silent here, so that the
// lease of contact, without which no silence counts, rests on calls that asked.
func (d *Controller) catchUp(ctx context.Context) {
	d.registers.ForgetTransfers()
	alive := d.monitor.Alive(messages.Controller)
	view, core := coreView(alive)
	d.stability.observe(view, d.clock())
	silent := d.registry.SilentRunners(d.clock(), d.silence())
	for _, p := range alive {
		if p.Addr != d.transport.Addr() {
			go d.compareWith(ctx, p, core[p.Addr], silent)
		}
	}
}

// compareWait bounds a comparison with another controller.
const compareWait = 450 * time.Millisecond

// compareWith compares versions, time of day and heartbeats with another controller.
func (d *Controller) compareWith(ctx context.Context, p messages.Peer, inCore bool, silent []messages.LastHeartbeat) {
	cctx, cancel := context.WithTimeout(ctx, compareWait)
	defer cancel()
	mine, sentUs := d.versions(), d.clock()
	mine.SilentRunners = silent
	b, err := d.transport.Call(cctx, p.Addr, transport.KindVersions, &mine)
	if inCore {
		d.stability.recordCall(p.Addr, err == nil, d.clock())
	}
	if err != nil {
		d.tallies.NotCompared(p.Addr, sentUs)
		return
	}
	var m messages.Versions
	if _, err := m.UnmarshalMsg(b); err != nil {
		return
	}
	go d.tallies.Compared(ctx, p.Addr, m.TallyDigest)
	d.publishRunners(d.registry.ApplyLaterHeartbeats(m.LaterHeartbeats, sentUs, d.clock())...)
	d.targets.observe(m.TargetAges, d.clock())
	d.timeOfDay.Compare(p.Addr, m, sentUs, d.clock())
	d.contact.answered(cmp.Or(m.MemberID, p.MemberID), sentUs) // the earlier format has none
	for part := range min(len(m.Parts), consensus.Parts) {
		if m.Parts[part] > mine.Parts[part] {
			go func() { _ = d.registers.Pull(ctx, p.Addr, part) }()
		}
	}
}
