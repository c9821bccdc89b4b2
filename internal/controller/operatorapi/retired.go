package operatorapi

import (
	"context"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// checkRetired finds fault with an order that retires weights of which no newer ones are
// named: no runner could serve the model. A named version only rises, so the fault is judged
// by a majority's read. The error says that there was none.
func (s *Service) checkRetired(ctx context.Context, order *routeconfig.Submission) error {
	for i, r := range order.Retired {
		v, err := s.config.Registers.Read(ctx, consensus.RegisterOf(r.Model))
		if err != nil {
			return err
		}
		body, err := messages.DecodeLeaseBody(v)
		if err != nil {
			return err
		}
		if named := namedVersion(body, r.Model); named < r.Before && order.ValidationErr == nil {
			order.ValidationErr = &routeconfig.InvalidError{Field: fmt.Sprintf("retired[%d].before", i), Reason: fmt.Sprintf("the newest weights named for model %q are %d", r.Model, named)}
		}
	}
	return nil
}

// namedVersion is the newest version of a model's weights that is named; 0 for none.
func namedVersion(body messages.LeaseBody, model string) int64 {
	i := slices.IndexFunc(body.Targets, func(t messages.Target) bool { return t.Model == model })
	if i < 0 {
		return 0
	}
	return body.Targets[i].Version
}
