// The HTTP calls of runners and of the operator (api/calls.yaml).

package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/httpserver"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// controlIdleTimeout closes connections without calls. Runners send a heartbeat about every
// second; runners that lost power leave connections that are never closed by the peer.
const controlIdleTimeout = 15 * time.Second

// serveControl serves the calls of runners and of the operator until ctx ends. Running out of
// file descriptors, as when thousands of runners call at once, does not stop it.
func (c *Controller) serveControl(ctx context.Context) error {
	if c.set.Listen.Control == "" {
		return errors.New("controller: listen.control is not set")
	}
	ln, err := httpserver.Listen(c.set.Listen.Control)
	if err != nil {
		return errors.Wrap(err, "controller: listen on the control address")
	}
	defer ln.Close()
	h := httpserver.New(c.set.Listen.Control, server.WithListener(ln), server.WithIdleTimeout(controlIdleTimeout))
	h.POST("/api/Runners.Heartbeat/:id", c.counted(callHeartbeat, c.beat))
	h.POST("/api/Runners.Leave/:id", c.counted(callLeave, c.leave))
	h.POST("/api/Config.Replace", c.counted(callReplace, c.inContactOnly(c.operator.ReplaceConfig)))
	h.GET("/api/Config.Read", c.counted(callRead, c.inContactOnly(c.operator.ReadConfig)))
	h.POST("/api/version-put", c.counted(callNameWeights, c.inContactOnly(c.operator.NameWeights)))
	h.POST("/api/Evacuate.Begin/:zone", c.counted(callEvacuate, c.inContactOnly(c.operator.BeginEvacuation)))
	h.POST("/api/Evacuate.Finish/:zone", c.counted(callEvacuate, c.inContactOnly(c.operator.FinishEvacuation)))
	h.POST("/api/Rollouts.Begin", c.counted(callBeginRollout, c.inContactOnly(c.operator.BeginRollout)))
	h.GET("/api/Rollouts.Read/:service", c.counted(callReadRollout, c.inContactOnly(c.operator.ReadRollout)))
	h.POST("/api/Tallies.Amend/:id", c.counted(callAmend, c.tallies.Amend))
	h.GET("/api/Tallies.Read/:id", c.counted(callReadTally, c.tallies.Read))
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Wrap(h.Close(), "controller: close the control server")
	}
}

// beat handles a heartbeat. The heartbeat is recorded even without the contact lease, since only
// the runner registry depends on it, and its records merge. A heartbeat with state draining is
// acknowledged only after a majority has recorded it.
func (c *Controller) beat(ctx context.Context, rc *app.RequestContext) {
	begunUs := c.clock()
	var b api.Heartbeat
	if err := json.Unmarshal(rc.Request.Body(), &b); err != nil {
		httpapi.Reject(rc, 400, httpapi.BodyField, err.Error())
		return
	}
	if err := httpapi.Check(b); err != nil || !b.State.Valid() {
		httpapi.Reject(rc, 400, httpapi.BodyField, "not a beat")
		return
	}
	n := messages.RunnerRecord{ID: rc.Param("id"), Service: b.Service, Addr: b.Address, Zone: b.Zone, Capacity: b.Capacity, Seq: b.Sequence, Draining: b.State == api.Draining, Version: b.Version, Models: []messages.Target{}, ColdLeftUs: int64(max(b.ColdLeftMs, 0) * 1000)}
	for _, m := range b.Models {
		n.Models = append(n.Models, messages.Target{Model: m.Name, Version: m.Version})
	}
	changed := c.registry.ApplyHeartbeat(n, c.clock())
	if n.Draining && c.recordDrain(n) || changed {
		c.publishRunners(n.ID)
	}
	if n.Draining && !c.confirmLeaving(ctx, n.ID, begunUs) {
		outOfContact(rc)
		return
	}
	c.heartbeats.add(n)
	elsewhere := c.beatElsewhere(c.monitor.Alive(messages.Controller), n)
	if elsewhere != "" {
		rc.SetConnectionClose() // the runner stops using it, and thousands of idle connections use much memory
	}
	rc.JSON(200, api.HeartbeatResponse{BeatTo: elsewhere})
}

// confirmLeaving replicates to the core that a runner drains or is gone, and reports whether that
// may be acknowledged now.
func (c *Controller) confirmLeaving(ctx context.Context, id string, begunUs int64) bool {
	n, ok := c.registry.Record(id)
	if !ok || !c.replicateDrain(ctx, n) {
		return false
	}
	return c.clock()-begunUs < lease.ContactUs
}

// beatElsewhere returns the control address for a runner's next heartbeats; empty if they should
// keep coming here. A controller that is cut off returns a different controller each time, since
// it cannot determine which of them has contact with a majority, if any.
func (c *Controller) beatElsewhere(all []messages.Peer, n messages.RunnerRecord) string {
	core := membership.Core(all)
	if c.cutOff() {
		return beatAnywhere(core, c.transport.Addr(), n)
	}
	var reached []messages.Peer
	for _, p := range core {
		if !c.stability.isCut(p.Addr) {
			reached = append(reached, p)
		}
	}
	return beatTo(reached, c.transport.Addr(), n)
}

// beatAnywhere returns the control address of another controller, rotating with each heartbeat.
func beatAnywhere(core []messages.Peer, self string, n messages.RunnerRecord) string {
	var others []string
	for _, p := range core {
		if p.Addr != self && p.Control != "" {
			others = append(others, p.Control)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[uint64(n.Seq)%uint64(len(others))]
}

// beatTo returns the control address of the controller that receives a runner's heartbeats: one of
// the runner's zone, whose runners are spread by a hash of their ID. It is empty if that is this
// controller or if the zone has none.
func beatTo(core []messages.Peer, self string, n messages.RunnerRecord) string {
	var near []messages.Peer
	for _, p := range core {
		if p.Zone == n.Zone && (p.Addr == self || p.Control != "" && p.Status == messages.Alive) {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		return ""
	}
	pick := near[statesync.HashText(n.ID, "")%uint64(len(near))]
	if pick.Addr == self {
		return ""
	}
	return pick.Control
}

func (c *Controller) leave(ctx context.Context, rc *app.RequestContext) {
	begunUs := c.clock()
	n, changed := c.registry.Leave(rc.Param("id"), begunUs)
	if changed {
		c.publishRunners(n.ID)
	}
	if !c.confirmLeaving(ctx, n.ID, begunUs) {
		outOfContact(rc)
		return
	}
	rc.Status(200)
}
