package operatorapi

import (
	"context"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// checkRetiredWeights marks a submission as invalid if it retires weights for which no newer ones are
// named, as then no runner could serve the model. The named version is read from a majority; as it
// never decreases, the result remains valid. An error means that the read failed.
func (s *Service) checkRetiredWeights(ctx context.Context, submission *routeconfig.Submission) error {
	for i, r := range submission.Retired {
		v, err := s.config.Registers.Read(ctx, consensus.RegisterOf(r.Model))
		if err != nil {
			return err
		}
		body, err := messages.DecodeLeaseBody(v)
		if err != nil {
			return err
		}
		if named := namedVersion(body, r.Model); named < r.Before && submission.ValidationErr == nil {
			submission.ValidationErr = &routeconfig.InvalidError{Field: fmt.Sprintf("retired[%d].before", i), Reason: fmt.Sprintf("the newest weights named for model %q are %d", r.Model, named)}
		}
	}
	return nil
}

// namedVersion returns the newest named version of a model's weights; 0 if there is none.
func namedVersion(body messages.LeaseBody, model string) int64 {
	i := slices.IndexFunc(body.Targets, func(t messages.Target) bool { return t.Model == model })
	if i < 0 {
		return 0
	}
	return body.Targets[i].Version
}
