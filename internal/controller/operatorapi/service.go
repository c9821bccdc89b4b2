// Package operatorapi serves the HTTP calls of the operator (api/calls.yaml): the configuration,
// named weights, evacuations of zones and rollouts of services. Each change is committed by a round
// of a replicated register. The calls are idempotent: a repeated one changes nothing and is
// acknowledged again. One that arrives behind a newer order that its caller was acknowledged changes
// nothing either: it names a base, or a number that only rises, or is confirmed by its caller.
//
// The caller must admit calls only while this controller has contact with a majority. A Service is
// safe for concurrent use.
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

// changeTimeout bounds how long a call may take before it is rejected and the caller has to
// repeat it. Callers retry elsewhere after a second without a response.
const changeTimeout = 900 * time.Millisecond

// Registers are the replicated registers. A read or change to which a majority has responded renews
// this controller's contact with the majority.
type Registers interface {
	ID() string
	Committed(register int) (messages.Value, bool)
	Read(ctx context.Context, register int) (messages.Value, error)
	Change(ctx context.Context, register int, change consensus.Change) (messages.Value, error)
}

// Weights reports which versions of weights are named (weightrollout.Driver).
type Weights interface {
	// NewestVersion returns the newest committed version of a model's weights.
	NewestVersion(model string) int64
	// FenceFloor returns the highest fencing token of the other registers that have a target
	// of a model that belongs to this one.
	FenceFloor(register int) int64
}

// Config configures a Service. All fields but Control, Zones and Exposure are required.
type Config struct {
	Log       logr.Logger
	Registers Registers
	Weights   Weights
	// WeightsNamed is called with a version that is about to be acknowledged.
	WeightsNamed func(model string, version int64)
	// RecordInitialHolder is called with the lease of a register in which weights were named.
	RecordInitialHolder func(register int, initial messages.Lease)
	// TimeOfDay returns the fleet's time of day in microseconds, 0 if it is not known, and
	// whether the controllers have agreed on it.
	TimeOfDay func() (timeUs int64, agreed bool)
	// Table returns the active configuration, nil if there is none yet.
	Table func() *routeconfig.Table
	// Control is the address of this controller's calls, for callers that name no address.
	Control string
	// Zone is the zone of this machine; the keys of Zones are the zones that the settings list.
	Zone  string
	Zones map[string]string
	// Exposure limits the requests that a version gets before it has proved good.
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

// Service serves the calls of the operator.
type Service struct {
	config       Config
	acknowledged invariant.Newest // the newest configuration that was acknowledged here
}

// New returns a Service.
func New(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Service{config: config}, nil
}

// Acknowledged returns the newest version of the configuration that was acknowledged here.
func (s *Service) Acknowledged() int64 { return s.acknowledged.Load() }
