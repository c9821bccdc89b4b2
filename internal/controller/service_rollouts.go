// Roll-outs of services: the operator's calls, and the holder of the register's lease, which
// takes them from stage to stage as package canary decides.

package controller

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// errNoTime says that this controller does not know the fleet's time of day yet.
var errNoTime = errors.New("controller: the time of day is not known yet")

// beginRollout takes an order of the operator. The register of a service follows from its name.
func (d *Controller) beginRollout(ctx context.Context, c *app.RequestContext) {
	var order api.RolloutOrder
	if !readCall(c, &order) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	if t := d.table.Load(); t != nil && t.Service(order.Service) == nil {
		reject(c, 404, "service", "no such service")
		return
	}
	_, err := d.changeRegister(ctx, consensus.PartOf(order.Service), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return d.applyRollout(cur, order)
	})
	switch {
	case err == nil, errors.Is(err, errNoChange):
		d.log.Info("roll-out of a service acknowledged", "service", order.Service, "version", order.TargetVersion, "overS", order.OverS, "changed", err == nil)
		c.Status(200)
	case errors.Is(err, canary.ErrOtherRunning):
		reject(c, 409, "targetVersion", "another roll-out of the service is running")
	default:
		reject(c, 503, "", err.Error())
	}
}

const usPerSecond = 1e6

// applyRollout is the change that an order asks for.
func (d *Controller) applyRollout(cur messages.Value, order api.RolloutOrder) ([]messages.Member, []byte, error) {
	body, err := leaseBody(cur)
	if err != nil {
		return nil, nil, err
	}
	timeUs, _ := d.timeOfDay.TimeUs(d.clock())
	if timeUs == 0 {
		return nil, nil, errNoTime
	}
	wanted := canary.Order{Service: order.Service, Target: order.TargetVersion, OverUs: int64(order.OverS * usPerSecond)}
	next, changed, err := canary.Begin(body.Rollouts, wanted, d.exposure(), timeUs)
	switch {
	case err != nil:
		return nil, nil, consensus.SealRefusal(err)
	case !changed:
		return nil, nil, errNoChange
	}
	body.Rollouts = next
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}

// exposure is how much a version may get that has not been shown good.
func (d *Controller) exposure() canary.Bounds {
	return canary.Bounds{Exposure: d.set.Bounds.Exposure, Slack: d.set.Bounds.ExposureSlack}
}

// readRollout answers how far the newest roll-out of a service has come.
func (d *Controller) readRollout(ctx context.Context, c *app.RequestContext) {
	service := c.Param("service")
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	v, err := d.readRegister(ctx, consensus.PartOf(service))
	if err != nil {
		reject(c, 503, "", err.Error())
		return
	}
	body, err := leaseBody(v)
	if err != nil {
		reject(c, 500, "", err.Error())
		return
	}
	rollout, ok := canary.Find(body.Rollouts, service)
	if !ok {
		reject(c, 404, "service", "no roll-out of it was ordered")
		return
	}
	state := api.RolloutStateState(canary.Stage(rollout.Stage).String())
	c.JSON(200, api.RolloutState{State: state, TargetVersion: rollout.Target})
}

// serviceRollouts lists the newest roll-out of each service, as far as this controller knows, in the
// order of the services' names.
func (d *Controller) serviceRollouts() []messages.ServiceRollout {
	var out []messages.ServiceRollout
	d.rollouts.committedBodies(func(_ int, body messages.LeaseBody) { out = append(out, body.Rollouts...) })
	slices.SortFunc(out, func(a, b messages.ServiceRollout) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// rolloutKey names one roll-out of a service.
type rolloutKey struct {
	service string
	number  int64
}

// serviceRollouts drives the roll-outs whose registers' leases this controller holds. It is safe
// for concurrent use.
type serviceRollouts struct {
	controller *Controller

	mu    sync.Mutex // guards what follows
	plans map[rolloutKey]*canary.Plan
	busy  map[rolloutKey]bool // a step is being recorded
}

func newServiceRollouts(d *Controller) *serviceRollouts {
	return &serviceRollouts{controller: d, plans: map[rolloutKey]*canary.Plan{}, busy: map[rolloutKey]bool{}}
}

// prepare is part of task.
func (s *serviceRollouts) prepare(part int, body messages.LeaseBody) (job, bool) {
	var running []messages.ServiceRollout
	for _, r := range body.Rollouts {
		if canary.Stage(r.Stage).Running() {
			running = append(running, r)
		}
	}
	run := func(ctx context.Context, grant lease.Grant) {
		for _, r := range running {
			s.step(ctx, part, grant, body.Lease, r)
		}
	}
	return job{needed: len(running) > 0, run: run}, len(running) > 0
}

// step takes the step of a roll-out that is due.
func (s *serviceRollouts) step(ctx context.Context, part int, grant lease.Grant, held messages.Lease, r messages.ServiceRollout) {
	view, ok := s.view(r)
	if !ok {
		return
	}
	key := rolloutKey{r.Service, r.Number}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plans[key] == nil {
		s.plans[key] = &canary.Plan{}
	}
	step := s.plans[key].Step(view)
	if step.Stage == view.Stage && step.SharePerMille == view.Share || !grant.MayAct || s.busy[key] {
		return
	}
	s.busy[key] = true
	go s.record(ctx, part, held, r, step)
}

// record agrees on a step. Where that fails, it is due again.
func (s *serviceRollouts) record(ctx context.Context, part int, held messages.Lease, r messages.ServiceRollout, step canary.Step) {
	d := s.controller
	_, err := d.roles.change(ctx, part, held, func(body *messages.LeaseBody) bool {
		next, changed := canary.Advance(body.Rollouts, r, step)
		body.Rollouts = next
		return changed
	})
	d.log.Info("roll-out of a service goes on", "service", r.Service, "version", r.Target, "stage", step.Stage.String(), "number", int(step.Stage), "share", step.SharePerMille, "reason", step.Reason, "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, rolloutKey{r.Service, r.Number})
}

// view is what the plan of a roll-out goes by; false where the time of day is not known.
func (s *serviceRollouts) view(r messages.ServiceRollout) (canary.View, bool) {
	d := s.controller
	timeUs, agreed := d.timeOfDay.TimeUs(d.clock())
	view := canary.View{
		TimeUs: timeUs, BegunAtUs: r.BegunAtUs, OverUs: r.OverUs, Stage: canary.Stage(r.Stage), Share: r.SharePerMille,
		Evidence: canary.Evidence{}, Bounds: d.exposure(),
	}
	d.feed.mu.Lock()
	defer d.feed.mu.Unlock()
	loads := d.feed.aggregate.Total
	loads.Each(func(id string, load messages.RunnerLoad) { canary.Collect(view.Evidence, r, id, load) })
	for _, runner := range d.registry.Snapshot().ByService[r.Service] {
		if runner.Version == r.Target {
			if !runner.Draining && !runner.Stale {
				view.NewReady++
			}
			continue
		}
		view.OtherReady++
		load, _ := loads.Get(runner.ID)
		view.OtherActive += max(load.Count, 0)
	}
	return view, agreed
}
