// Rollouts of services: the operator's calls. Package servicerollout takes them from stage to
// stage.

package controller

import (
	"context"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/messages"
)

// errNoTime says that this controller does not know the fleet's time of day yet.
var errNoTime = errors.New("controller: the time of day is not known yet")

// beginRollout takes an order of the operator. The register of a service follows from its name.
func (c *Controller) beginRollout(ctx context.Context, rc *app.RequestContext) {
	var order api.RolloutOrder
	if !httpapi.Decode(rc, &order) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	if t := c.table.Load(); t != nil && t.Service(order.Service) == nil {
		httpapi.Reject(rc, 404, "service", "no such service")
		return
	}
	_, err := c.changeRegister(ctx, consensus.PartOf(order.Service), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return c.applyRollout(cur, order)
	})
	switch {
	case err == nil, errors.Is(err, consensus.ErrNoChange):
		c.log.Info("rollout of a service acknowledged", "service", order.Service, "version", order.TargetVersion, "overS", order.OverS, "changed", err == nil)
		rc.Status(200)
	case errors.Is(err, canary.ErrOtherRunning):
		httpapi.Reject(rc, 409, "targetVersion", "another rollout of the service is running")
	default:
		httpapi.Reject(rc, 503, "", err.Error())
	}
}

// Microseconds in longer units of time.
const (
	usPerMs     = int64(1000)
	usPerSecond = 1e6
)

// applyRollout is the change that an order asks for.
func (c *Controller) applyRollout(cur messages.Value, order api.RolloutOrder) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(cur)
	if err != nil {
		return nil, nil, err
	}
	timeUs, _ := c.timeOfDay.TimeUs(c.clock())
	if timeUs == 0 {
		return nil, nil, errNoTime
	}
	wanted := canary.Order{Service: order.Service, Target: order.TargetVersion, OverUs: int64(order.OverS * usPerSecond)}
	next, changed, err := canary.Begin(body.Rollouts, wanted, c.exposure(), timeUs)
	switch {
	case err != nil:
		return nil, nil, consensus.SealRefusal(err)
	case !changed:
		return nil, nil, consensus.ErrNoChange
	}
	body.Rollouts = next
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}

// exposure is how much a version may get that has not been shown good.
func (c *Controller) exposure() canary.Bounds {
	return canary.Bounds{Exposure: c.set.Bounds.Exposure, Slack: c.set.Bounds.ExposureSlack}
}

// readRollout answers how far the newest rollout of a service has come.
func (c *Controller) readRollout(ctx context.Context, rc *app.RequestContext) {
	service := rc.Param("service")
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	v, err := c.readRegister(ctx, consensus.PartOf(service))
	if err != nil {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	body, err := messages.DecodeLeaseBody(v)
	if err != nil {
		httpapi.Reject(rc, 500, "", err.Error())
		return
	}
	rollout, ok := canary.Find(body.Rollouts, service)
	if !ok {
		httpapi.Reject(rc, 404, "service", "no rollout of it was ordered")
		return
	}
	state := api.RolloutStateState(canary.Stage(rollout.Stage).String())
	rc.JSON(200, api.RolloutState{State: state, TargetVersion: rollout.Target})
}

// serviceRollouts lists the newest rollout of each service, as far as this controller knows, in the
// order of the services' names.
func (c *Controller) serviceRollouts() []messages.ServiceRollout {
	var out []messages.ServiceRollout
	singleton.CommittedBodies(c.registers, func(_ int, body messages.LeaseBody) { out = append(out, body.Rollouts...) })
	slices.SortFunc(out, func(a, b messages.ServiceRollout) int { return strings.Compare(a.Service, b.Service) })
	return out
}
