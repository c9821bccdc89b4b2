package weightrollout

import (
	"context"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/rollout"
)

// Fences limits what may be sent under a fencing token (singleton.Leases).
type Fences interface {
	RecordFenceUsed(register int, fence int64)
	MayCall(register int, fence int64) bool
	RecordRefusal(register int, fence int64)
}

// Targets returns the named versions of each model's weights.
type Targets interface {
	Models() []string
	Namings(model string, boundUs, nowUs int64) []rollout.NamedVersion
}

// Runners is the registry of runners.
type Runners interface {
	Snapshot() *registry.Snapshot
	SetCordon(id string, draining, cordoned bool, version int64) (messages.RunnerRecord, bool)
	SetWeights(id, model string, version int64) (messages.RunnerRecord, bool)
}

// RunnerAPI calls runners (runnerapi.Client).
type RunnerAPI interface {
	Report(ctx context.Context, runner messages.RunnerRecord) (api.Report, error)
	Order(ctx context.Context, runner messages.RunnerRecord, order api.Order, maySend func() bool) (status int, err error)
}
