// Package operatorapi serves the calls of the operator (api/calls.yaml): the configuration, named
// weights, evacuated zones and rollouts of services. Each change is decided in a round of a
// replicated register; one that is repeated changes nothing and is acknowledged again.
//
// The caller admits calls only while this controller has contact with a majority. A Service is safe
// for concurrent use.
package operatorapi

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// changeTimeout bounds how long a change may take before the caller is asked to
// repeat it; callers move on after a second of silence.
const changeTimeout = 900 * time.Millisecond

// Registers are the replicated registers. A read or change that a majority has answered renews this
// controller's contact with it.
type Registers interface {
	ID() string
	Committed(part int) (messages.Value, bool)
	Read(ctx context.Context, part int) (messages.Value, error)
	Change(ctx context.Context, part int, change consensus.Change) (messages.Value, error)
}

// Weights tell which versions of weights are named (weightrollout.Driver).
type Weights interface {
	// Newest returns the newest committed version of a model's weights.
	Newest(model string) int64
	// FenceFloor returns the highest fence of another register that has a target of a model
	// of this one.
	FenceFloor(part int) int64
}

// Config is what a Service is given. All fields but Zones and Exposure are required.
type Config struct {
	Log       logr.Logger
	Registers Registers
	Weights   Weights
	// WeightsNamed is called with a version that is about to be acknowledged.
	WeightsNamed func(model string, version int64)
	// RecordInitialHolder is called with the lease of a register in which weights were named.
	RecordInitialHolder func(part int, initial messages.Lease)
	// TimeOfDay returns the fleet's time of day in microseconds, 0 where it is not known.
	TimeOfDay func() (timeUs int64, agreed bool)
	// Table returns the configuration in force, nil where there is none yet.
	Table func() *routeconfig.Table
	// Zone is the zone of this machine, Zones all that the settings list.
	Zone  string
	Zones map[string]string
	// Exposure is how much a version may get that has not been shown good.
	Exposure canary.Bounds
}

// ErrConfig means that a field of a Config is missing.
var ErrConfig = errors.New("operatorapi: incomplete configuration")

func (c *Config) check() error {
	complete := c.Registers != nil && c.Weights != nil && c.WeightsNamed != nil && c.RecordInitialHolder != nil &&
		c.TimeOfDay != nil && c.Table != nil
	if !complete {
		return ErrConfig
	}
	return nil
}

// Service serves the operator.
type Service struct {
	config       Config
	acknowledged invariant.Newest // the newest configuration that was acknowledged here
}

// New returns a service.
func New(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Service{config: config}, nil
}

// Acknowledged returns the newest version of the configuration that was acknowledged here.
func (s *Service) Acknowledged() int64 { return s.acknowledged.Load() }
