package operatorapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
)

// errTimeUnknown means that this controller does not know the fleet's time of day yet.
var errTimeUnknown = errors.New("operatorapi: the time of day is not known yet")

// BeginRollout serves the operator's call that begins a rollout of a service. The register of a
// service depends only on its name.
func (s *Service) BeginRollout(ctx context.Context, rc *app.RequestContext) {
	var order api.RolloutOrder
	if !httpapi.Decode(rc, &order) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if t := s.config.Table(); t != nil && t.Service(order.Service) == nil {
		httpapi.Reject(rc, 404, "service", "no such service")
		return
	}
	wanted := canary.Order{Service: order.Service, Target: order.TargetVersion, DurationUs: int64(order.OverS * usPerSecond), After: confirmedNumber(rc)}
	_, err := s.config.Registers.Change(ctx, consensus.RegisterOf(order.Service), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return s.applyRollout(cur, wanted)
	})
	var unconfirmed *precondition.RequiredError
	switch {
	case err == nil, errors.Is(err, consensus.ErrNoChange):
		s.config.Log.Info("rollout of a service acknowledged", "service", order.Service, "version", order.TargetVersion, "overS", order.OverS, "changed", err == nil)
		rc.Status(200)
	case errors.Is(err, canary.ErrRolloutRunning):
		httpapi.Reject(rc, 409, "targetVersion", "another rollout of the service is running")
	case errors.As(err, &unconfirmed):
		s.askForConfirmation(rc, unconfirmed)
	default:
		httpapi.Reject(rc, 503, "", err.Error())
	}
}

// usPerSecond converts seconds into microseconds.
const usPerSecond = 1e6

// applyRollout adds the ordered rollout to the current value of the register.
func (s *Service) applyRollout(current messages.Value, wanted canary.Order) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(current)
	if err != nil {
		return nil, nil, err
	}
	timeUs, _ := s.config.TimeOfDay()
	if timeUs == 0 {
		return nil, nil, errTimeUnknown
	}
	next, changed, err := canary.Begin(body.Rollouts, wanted, s.config.Exposure, timeUs)
	switch {
	case errors.Is(err, canary.ErrRolloutRunning):
		return nil, nil, consensus.SealRejection(err)
	case err != nil:
		return nil, nil, err
	case !changed:
		return nil, nil, consensus.ErrNoChange
	}
	body.Reverted = canary.RecordReverted(body.Reverted, body.Rollouts, wanted)
	body.Rollouts = next
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}

// ReadRollout serves the call that returns the state of a service's newest rollout.
func (s *Service) ReadRollout(ctx context.Context, rc *app.RequestContext) {
	service := rc.Param("service")
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v, err := s.config.Registers.Read(ctx, consensus.RegisterOf(service))
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
