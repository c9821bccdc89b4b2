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

// NameWeights serves the call that names a new version of a model's weights. A version that is not
// newer changes nothing.
func (s *Service) NameWeights(ctx context.Context, rc *app.RequestContext) {
	var w api.WeightsVersion
	if !httpapi.Decode(rc, &w) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if s.config.Weights.NewestVersion(w.Model) >= w.Version {
		rc.JSON(200, w)
		return
	}
	register, holder := consensus.RegisterOf(w.Model), s.config.Registers.ID()
	if s.config.Weights.FenceFloor(register) > 0 {
		holder = "" // the lease is acquired later, with a fencing token above the floor
	}
	v, err := s.config.Registers.Change(ctx, register, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return nameTarget(cur, w, holder)
	})
	if body, decodeErr := messages.DecodeLeaseBody(v); err == nil && decodeErr == nil {
		s.config.RecordInitialHolder(register, body.Lease)
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

// nameTarget records a model's newest weights in the current value of the register. If the lease was
// never held and holder is not empty, holder acquires it with the same change.
func nameTarget(current messages.Value, w api.WeightsVersion, holder string) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(current)
	if err != nil {
		return nil, nil, err
	}
	if !rollout.RecordTarget(&body, messages.Target{Model: w.Model, Version: w.Version}, holder) {
		return nil, nil, consensus.ErrNoChange
	}
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}
