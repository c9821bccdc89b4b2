// The calls of runners and of the operator (api/calls.yaml).

package controller

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/httpserver"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/statesync"
)

// controlIdleTimeout is after how long without a call a connection is closed. Runners send a
// heartbeat every second or so; those that lost their power leave connections that nobody ends.
const controlIdleTimeout = 15 * time.Second

// operatorWait bounds how long a change may take before the caller is told to
// repeat it; callers move on after a second of silence.
const operatorWait = 900 * time.Millisecond

// serveControl serves the calls of runners and of the operator until ctx ends. A lack of
// descriptors, as where thousands of runners call at once, does not end it.
func (d *Controller) serveControl(ctx context.Context) error {
	if d.set.Listen.Control == "" {
		return errors.New("controller: settings name no control address")
	}
	ln, err := httpserver.Listen(d.set.Listen.Control)
	if err != nil {
		return errors.Wrap(err, "controller: control address")
	}
	defer ln.Close()
	h := httpserver.New(d.set.Listen.Control, server.WithListener(ln), server.WithIdleTimeout(controlIdleTimeout))
	h.POST("/api/Runners.Heartbeat/:id", d.counted(callHeartbeat, d.beat))
	h.POST("/api/Runners.Leave/:id", d.counted(callLeave, d.leave))
	h.POST("/api/Config.Replace", d.counted(callReplace, d.inContactOnly(d.replace)))
	h.GET("/api/Config.Read", d.counted(callRead, d.inContactOnly(d.read)))
	h.POST("/api/version-put", d.counted(callNameWeights, d.inContactOnly(d.nameWeights)))
	h.POST("/api/Evacuate.Begin/:zone", d.counted(callEvacuate, d.inContactOnly(d.beginEvacuation)))
	h.POST("/api/Evacuate.Finish/:zone", d.counted(callEvacuate, d.inContactOnly(d.finishEvacuation)))
	h.POST("/api/Rollouts.Begin", d.counted(callBeginRollout, d.inContactOnly(d.beginRollout)))
	h.GET("/api/Rollouts.Read/:service", d.counted(callReadRollout, d.inContactOnly(d.readRollout)))
	h.POST("/api/Tallies.Amend/:id", d.counted(callAmend, d.tallies.Amend))
	h.GET("/api/Tallies.Read/:id", d.counted(callReadTally, d.tallies.Read))
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Wrap(h.Close(), "controller: close the control address")
	}
}

// beat takes a heartbeat. It is noted in any case, also without the lease: nothing
// rests on it but the list of runners, which merges. One that says draining is
// acknowledged only once a majority has it.
func (d *Controller) beat(ctx context.Context, c *app.RequestContext) {
	begunUs := d.clock()
	var b api.Heartbeat
	if err := json.Unmarshal(c.Request.Body(), &b); err != nil {
		httpapi.Reject(c, 400, httpapi.BodyField, err.Error())
		return
	}
	if err := httpapi.Check(b); err != nil || !b.State.Valid() {
		httpapi.Reject(c, 400, httpapi.BodyField, "not a beat")
		return
	}
	n := messages.RunnerRecord{ID: c.Param("id"), Service: b.Service, Addr: b.Address, Zone: b.Zone, Capacity: b.Capacity, Seq: b.Sequence, Draining: b.State == api.Draining, Version: b.Version, Models: []messages.Target{}, ColdLeftUs: int64(max(b.ColdLeftMs, 0) * 1000)}
	for _, m := range b.Models {
		n.Models = append(n.Models, messages.Target{Model: m.Name, Version: m.Version})
	}
	changed := d.registry.ApplyHeartbeat(n, d.clock())
	if n.Draining && d.recordDrain(n) || changed {
		d.publishRunners(n.ID)
	}
	if n.Draining && !d.confirmLeaving(ctx, n.ID, begunUs) {
		outOfContact(c)
		return
	}
	d.heartbeats.add(n)
	elsewhere := d.beatElsewhere(d.monitor.Alive(messages.Controller), n)
	if elsewhere != "" {
		c.SetConnectionClose() // nothing more comes on it, and thousands of idle ones take much memory
	}
	c.JSON(200, api.HeartbeatResponse{BeatTo: elsewhere})
}

// confirmLeaving tells the core that a runner drains or is gone, and whether that
// may be acknowledged now.
func (d *Controller) confirmLeaving(ctx context.Context, id string, begunUs int64) bool {
	n, ok := d.registry.Record(id)
	if !ok || !d.replicateDrain(ctx, n) {
		return false
	}
	return d.clock()-begunUs < lease.ContactUs
}

// beatElsewhere is where a runner's next beats should go, if not here. A controller
// that is cut off sends them to another each time: one of them is in contact, and
// none need be.
func (d *Controller) beatElsewhere(all []messages.Peer, n messages.RunnerRecord) string {
	core := membership.Core(all)
	if d.cutOff() {
		return beatAnywhere(core, d.transport.Addr(), n)
	}
	var reached []messages.Peer
	for _, p := range core {
		if !d.stability.isCut(p.Addr) {
			reached = append(reached, p)
		}
	}
	return beatTo(reached, d.transport.Addr(), n)
}

// beatAnywhere is any other controller, the next one with each beat.
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

// beatTo is where a runner should beat: at a controller of its own zone, each of
// them taking a part of the runners. It is empty where it beats already.
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

func (d *Controller) leave(ctx context.Context, c *app.RequestContext) {
	begunUs := d.clock()
	n, changed := d.registry.Leave(c.Param("id"), begunUs)
	if changed {
		d.publishRunners(n.ID)
	}
	if !d.confirmLeaving(ctx, n.ID, begunUs) {
		outOfContact(c)
		return
	}
	c.Status(200)
}

// replace takes an order of the operator. What was taken before is acknowledged
// from what this node knows, as that stays true; everything else is decided in
// a round of the register.
func (d *Controller) replace(ctx context.Context, c *app.RequestContext) {
	if version, ok := d.takenBefore(c.Request.Body()); ok {
		d.acknowledged.Advance(version)
		c.JSON(200, map[string]int64{"version": version})
		return
	}
	order := readOrder(c)
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	if err := d.checkRetired(ctx, &order); err != nil {
		httpapi.Reject(c, 503, "", err.Error())
		return
	}
	v, err := d.changeRegister(ctx, consensus.ConfigPart, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return applyOrder(cur, order)
	})
	var bad *routeconfig.Invalid
	switch {
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted):
		d.checkAcknowledged(order.Version, v)
		c.JSON(200, map[string]int64{"version": order.Version})
	case errors.Is(err, routeconfig.ErrVersionConflict):
		httpapi.Reject(c, 412, "Beechtide-Base-Version", "another version is in place")
	case errors.As(err, &bad):
		invalid(c, err)
	default:
		d.log.Error(err, "a change of the configuration is unsure", "version", order.Version)
		httpapi.Reject(c, 503, "", err.Error())
	}
}

func readOrder(c *app.RequestContext) routeconfig.Submission {
	order := routeconfig.ParseSubmission(append([]byte{}, c.Request.Body()...))
	base, err := strconv.ParseInt(string(c.GetHeader("Beechtide-Base-Version")), 10, 64)
	order.Base = base
	if err == nil {
		return order
	}
	order.Base = -1
	if order.Fault == nil {
		order.Fault = &routeconfig.Invalid{Field: "Beechtide-Base-Version", Reason: "not a version"}
	}
	return order
}

func (d *Controller) takenBefore(raw []byte) (version int64, ok bool) {
	known, ok := d.registers.Committed(consensus.ConfigPart)
	if !ok {
		return 0, false
	}
	body, err := messages.DecodeConfigBody(known)
	if err != nil {
		return 0, false
	}
	return routeconfig.AcceptedVersion(body, raw)
}

// applyOrder is the change that an order asks for. A refusal by checks that
// another version of the program may not have is sealed.
func applyOrder(cur messages.Value, order routeconfig.Submission) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeConfigBody(cur)
	if err != nil {
		return nil, nil, err
	}
	next, err := order.Apply(body)
	if err != nil && order.Contested(body) {
		return nil, nil, consensus.SealRefusal(err)
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := next.MarshalMsg(nil)
	return nil, b, err
}

func invalid(c *app.RequestContext, err error) {
	var bad *routeconfig.Invalid
	if errors.As(err, &bad) {
		httpapi.Reject(c, 400, bad.Field, bad.Reason)
		return
	}
	httpapi.Reject(c, 400, httpapi.BodyField, err.Error())
}

func (d *Controller) read(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	acknowledged := d.acknowledged.Load()
	v, err := d.readRegister(ctx, consensus.ConfigPart)
	if err != nil {
		httpapi.Reject(c, 503, "", err.Error())
		return
	}
	body, err := messages.DecodeConfigBody(v)
	switch {
	case err != nil:
		httpapi.Reject(c, 500, "", err.Error())
	case body.Version == 0:
		httpapi.Reject(c, 404, "", "no configuration yet")
	default:
		checkRead(body.Version, acknowledged)
		c.Data(200, "application/json", body.Raw)
	}
}

func (d *Controller) nameWeights(ctx context.Context, c *app.RequestContext) {
	var w api.WeightsVersion
	if !httpapi.Decode(c, &w) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	if d.rollouts.Newest(w.Model) >= w.Version {
		c.JSON(200, w)
		return
	}
	part, holder := consensus.PartOf(w.Model), d.registers.ID()
	if d.rollouts.FenceFloor(part) > 0 {
		holder = "" // the duty is acquired with a fence above the floor
	}
	v, err := d.registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return nameTarget(cur, w, holder)
	})
	if body, berr := messages.DecodeLeaseBody(v); err == nil && berr == nil {
		d.leases.RecordInitialHolder(part, body.Lease)
	}
	if err != nil && !errors.Is(err, consensus.ErrNoChange) {
		httpapi.Reject(c, 503, "", err.Error())
		return
	}
	if err == nil {
		d.targets.named(w.Model, w.Version, d.clock())
	}
	c.JSON(200, w)
}

// nameTarget records a model's newest weights. Where the lease was never held,
// holder acquires it with the same change, unless it is empty.
func nameTarget(cur messages.Value, w api.WeightsVersion, holder string) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(cur)
	if err != nil {
		return nil, nil, err
	}
	if !rollout.Name(&body, messages.Target{Model: w.Model, Version: w.Version}, holder) {
		return nil, nil, consensus.ErrNoChange
	}
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}
