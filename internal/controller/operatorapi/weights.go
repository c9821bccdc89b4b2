package operatorapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/rollout"
)

// NameWeights names a new version of a model's weights. One that is not newer changes nothing.
func (s *Service) NameWeights(ctx context.Context, rc *app.RequestContext) {
	var w api.WeightsVersion
	if !httpapi.Decode(rc, &w) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if s.config.Weights.Newest(w.Model) >= w.Version {
		rc.JSON(200, w)
		return
	}
	part, holder := consensus.RegisterOf(w.Model), s.config.Registers.ID()
	if s.config.Weights.FenceFloor(part) > 0 {
		holder = "" // the duty is acquired with a fence above the floor
	}
	v, err := s.config.Registers.Change(ctx, part, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return nameTarget(cur, w, holder)
	})
	if body, berr := messages.DecodeLeaseBody(v); err == nil && berr == nil {
		s.config.RecordInitialHolder(part, body.Lease)
	}
	if err != nil && !errors.Is(err, consensus.ErrNoChange) {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	if err == nil {
		s.config.WeightsNamed(w.Model, w.Version)
	}
	rc.JSON(200, w)
}

// nameTarget records a model's newest weights. Where the lease was never held,
// holder acquires it with the same change, unless it is empty.
func nameTarget(cur messages.Value, w api.WeightsVersion, holder string) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(cur)
	if err != nil {
		return nil, nil, err
	}
	if !rollout.RecordTarget(&body, messages.Target{Model: w.Model, Version: w.Version}, holder) {
		return nil, nil, consensus.ErrNoChange
	}
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}
