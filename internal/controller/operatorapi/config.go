package operatorapi

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// ReplaceConfig takes an order of the operator. What was taken before is acknowledged
// from what this node knows, as that stays true; everything else is decided in
// a round of the register.
func (s *Service) ReplaceConfig(ctx context.Context, rc *app.RequestContext) {
	if version, ok := s.takenBefore(rc.Request.Body()); ok {
		s.acknowledged.Advance(version)
		rc.JSON(200, map[string]int64{"version": version})
		return
	}
	order := readOrder(rc)
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.checkRetired(ctx, &order); err != nil {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	v, err := s.config.Registers.Change(ctx, consensus.ConfigRegister, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return applyOrder(cur, order)
	})
	var bad *routeconfig.InvalidError
	switch {
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted):
		s.checkAcknowledged(order.Version, v)
		rc.JSON(200, map[string]int64{"version": order.Version})
	case errors.Is(err, routeconfig.ErrVersionConflict):
		httpapi.Reject(rc, 412, "Beechtide-Base-Version", "another version is in place")
	case errors.As(err, &bad):
		invalid(rc, err)
	default:
		s.config.Log.Error(err, "a change of the configuration is unsure", "version", order.Version)
		httpapi.Reject(rc, 503, "", err.Error())
	}
}

func readOrder(rc *app.RequestContext) routeconfig.Submission {
	order := routeconfig.ParseSubmission(append([]byte{}, rc.Request.Body()...))
	base, err := strconv.ParseInt(string(rc.GetHeader("Beechtide-Base-Version")), 10, 64)
	order.Base = base
	if err == nil {
		return order
	}
	order.Base = -1
	if order.ValidationErr == nil {
		order.ValidationErr = &routeconfig.InvalidError{Field: "Beechtide-Base-Version", Reason: "not a version"}
	}
	return order
}

func (s *Service) takenBefore(raw []byte) (version int64, ok bool) {
	known, ok := s.config.Registers.Committed(consensus.ConfigRegister)
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
	if err != nil && order.AcceptableWithOtherChecks(body) {
		return nil, nil, consensus.SealRejection(err)
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := next.MarshalMsg(nil)
	return nil, b, err
}

func invalid(rc *app.RequestContext, err error) {
	var bad *routeconfig.InvalidError
	if errors.As(err, &bad) {
		httpapi.Reject(rc, 400, bad.Field, bad.Reason)
		return
	}
	httpapi.Reject(rc, 400, httpapi.BodyField, err.Error())
}

// ReadConfig answers the newest configuration, as a majority has it.
func (s *Service) ReadConfig(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	acknowledged := s.acknowledged.Load()
	v, err := s.config.Registers.Read(ctx, consensus.ConfigRegister)
	if err != nil {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	body, err := messages.DecodeConfigBody(v)
	switch {
	case err != nil:
		httpapi.Reject(rc, 500, "", err.Error())
	case body.Version == 0:
		httpapi.Reject(rc, 404, "", "no configuration yet")
	default:
		checkRead(body.Version, acknowledged)
		rc.Data(200, "application/json", body.Raw)
	}
}
