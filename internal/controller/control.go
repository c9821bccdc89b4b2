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
	"beechtide.org/beechtide/internal/memorybudget"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/statesync"
)

// controlIdleTimeout closes connections without calls. Runners send a heartbeat about every
// second; runners that lost power leave connections that are never closed by the peer.
const controlIdleTimeout = 15 * time.Second

// Maximum sizes of the bodies of calls and of a runner's ID, in bytes.
const (
	maxRunnerIDBytes = 256
	maxConfigBytes   = 16 << 20
	maxCallBytes     = 64 << 10
)

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
	h := httpserver.New(c.set.Listen.Control, server.WithListener(ln), server.WithIdleTimeout(controlIdleTimeout), server.WithStreamBody(true))
	memory := memorybudget.ForRequests(c.set.Limits.MemoryMb)
	limited := func(serve app.HandlerFunc) app.HandlerFunc { return httpapi.LimitBody(maxCallBytes, memory, serve) }
	h.POST("/api/Runners.Heartbeat/:id", c.countResponses(callHeartbeat, limited(c.handleHeartbeat)))
	h.POST("/api/Runners.Leave/:id", c.countResponses(callLeave, limited(c.handleLeave)))
	h.POST("/api/Config.Replace", c.countResponses(callReplace, httpapi.LimitBody(maxConfigBytes, memory, c.requireContact(c.operator.ReplaceConfig))))
	h.GET("/api/Config.Read", c.countResponses(callRead, c.requireContact(c.operator.ReadConfig)))
	h.POST("/api/version-put", c.countResponses(callNameWeights, limited(c.requireContact(c.operator.NameWeights))))
	h.POST("/api/Evacuate.Begin/:zone", c.countResponses(callEvacuate, limited(c.requireContact(c.operator.BeginEvacuation))))
	h.POST("/api/Evacuate.Finish/:zone", c.countResponses(callEvacuate, limited(c.requireContact(c.operator.FinishEvacuation))))
	h.POST("/api/Rollouts.Begin", c.countResponses(callBeginRollout, limited(c.requireContact(c.operator.BeginRollout))))
	h.GET("/api/Rollouts.Read/:service", c.countResponses(callReadRollout, c.requireContact(c.operator.ReadRollout)))
	h.POST("/api/Tallies.Amend/:id", c.countResponses(callAmend, limited(c.tallies.Amend)))
	h.GET("/api/Tallies.Read/:id", c.countResponses(callReadTally, c.tallies.Read))
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Wrap(h.Close(), "controller: close the control server")
	}
}

// handleHeartbeat handles a heartbeat. The heartbeat is recorded even without the contact lease,
// since only the runner registry depends on it, and its records merge. A heartbeat with state
// draining is acknowledged only after a majority has recorded it.
func (c *Controller) handleHeartbeat(ctx context.Context, rc *app.RequestContext) {
	begunUs := c.clock()
	var heartbeat api.Heartbeat
	if err := json.Unmarshal(rc.Request.Body(), &heartbeat); err != nil {
		httpapi.Reject(rc, 400, httpapi.BodyField, err.Error())
		return
	}
	if err := httpapi.Validate(heartbeat); err != nil || !heartbeat.State.Valid() || len(rc.Param("id")) > maxRunnerIDBytes {
		httpapi.Reject(rc, 400, httpapi.BodyField, "not a beat")
		return
	}
	record := messages.RunnerRecord{ID: rc.Param("id"), Service: heartbeat.Service, Addr: heartbeat.Address, Zone: heartbeat.Zone, Capacity: heartbeat.Capacity, Seq: heartbeat.Sequence, Draining: heartbeat.State == api.Draining, Version: heartbeat.Version, Models: []messages.Target{}, ColdLeftUs: int64(max(heartbeat.ColdLeftMs, 0) * 1000)}
	for _, m := range heartbeat.Models {
		record.Models = append(record.Models, messages.Target{Model: m.Name, Version: m.Version})
	}
	changed := c.registry.ApplyHeartbeat(record, c.clock())
	if record.Draining && c.recordDrain(record) || changed {
		c.publishRunners(record.ID)
	}
	if record.Draining && !c.confirmDrain(ctx, record.ID, begunUs) {
		rejectOutOfContact(rc)
		return
	}
	c.heartbeats.add(record)
	redirect := c.heartbeatRedirect(c.monitor.Alive(messages.Controller), record)
	if redirect != "" {
		rc.SetConnectionClose() // the runner stops using it, and thousands of idle connections use much memory
	}
	rc.JSON(200, api.HeartbeatResponse{BeatTo: redirect})
}

// confirmDrain replicates to the core that a runner drains or is gone, and reports whether that
// may be acknowledged now.
func (c *Controller) confirmDrain(ctx context.Context, id string, begunUs int64) bool {
	record, ok := c.registry.Record(id)
	if !ok || !c.replicateDrain(ctx, record) {
		return false
	}
	return c.clock()-begunUs < lease.ContactUs
}

// heartbeatRedirect returns the control address for a runner's next heartbeats; empty if they should
// keep coming here. A controller that is cut off returns a different controller each time, since
// it cannot determine which of them has contact with a majority, if any.
func (c *Controller) heartbeatRedirect(controllers []messages.Peer, n messages.RunnerRecord) string {
	core := membership.CountedControllers(controllers)
	if c.cutOff() {
		return rotatingRedirect(core, c.transport.Addr(), n)
	}
	var reachable []messages.Peer
	for _, p := range core {
		if !c.stability.isCut(p.Addr) {
			reachable = append(reachable, p)
		}
	}
	return zoneRedirect(reachable, c.transport.Addr(), n)
}

// rotatingRedirect returns the control address of another controller, rotating with each heartbeat.
func rotatingRedirect(core []messages.Peer, self string, n messages.RunnerRecord) string {
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

// zoneRedirect returns the control address of the controller that receives a runner's heartbeats:
// one of the runner's zone, whose runners are spread by a hash of their ID. It is empty if that is
// this controller or if the zone has none.
func zoneRedirect(core []messages.Peer, self string, n messages.RunnerRecord) string {
	var sameZone []messages.Peer
	for _, p := range core {
		if p.Zone == n.Zone && (p.Addr == self || p.Control != "" && p.Status == messages.Alive) {
			sameZone = append(sameZone, p)
		}
	}
	if len(sameZone) == 0 {
		return ""
	}
	chosen := sameZone[statesync.HashText(n.ID, "")%uint64(len(sameZone))]
	if chosen.Addr == self {
		return ""
	}
	return chosen.Control
}

func (c *Controller) handleLeave(ctx context.Context, rc *app.RequestContext) {
	begunUs := c.clock()
	n, changed := c.registry.Leave(rc.Param("id"), begunUs)
	if changed {
		c.publishRunners(n.ID)
	}
	if !c.confirmDrain(ctx, n.ID, begunUs) {
		rejectOutOfContact(rc)
		return
	}
	rc.Status(200)
}
