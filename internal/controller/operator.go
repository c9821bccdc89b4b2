// The operator's calls (package operatorapi), and what this controller knows of their outcome.

package controller

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/operatorapi"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// usPerMs converts milliseconds into microseconds.
const usPerMs = int64(1000)

// contactRegisters are the registers; a read or change of the configuration's register that a majority
// has answered renews the lease of contact.
type contactRegisters struct {
	*consensus.Registers
	contact *contact
	clock   func() int64
}

// Read is a majority's read of a register.
func (r contactRegisters) Read(ctx context.Context, part int) (messages.Value, error) {
	begunUs := r.clock()
	value, err := r.Registers.Read(ctx, part)
	if err == nil && part == consensus.ConfigRegister {
		r.contact.vouched(begunUs)
	}
	return value, err
}

// Change is a change of a register that a majority decides on, also where it says no.
func (r contactRegisters) Change(ctx context.Context, part int, change consensus.Change) (messages.Value, error) {
	begunUs := r.clock()
	value, err := r.Registers.Change(ctx, part, change)
	unsure := errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, consensus.ErrNoGroup)
	if !unsure && part == consensus.ConfigRegister {
		r.contact.vouched(begunUs)
	}
	return value, err
}

// contactRegisters returns the registers whose answers renew the lease of contact.
func (c *Controller) contactRegisters() contactRegisters {
	return contactRegisters{c.registers, &c.contact, c.clock}
}

// newOperatorAPI returns what serves the operator.
func (c *Controller) newOperatorAPI() (*operatorapi.Service, error) {
	return operatorapi.New(operatorapi.Config{
		Log:                 c.log,
		Registers:           c.contactRegisters(),
		Weights:             c.rollouts,
		WeightsNamed:        func(model string, version int64) { c.targets.named(model, version, c.clock()) },
		RecordInitialHolder: c.leases.RecordInitialHolder,
		TimeOfDay:           func() (int64, bool) { return c.timeOfDay.TimeUs(c.clock()) },
		Table:               func() *routeconfig.Table { return c.table.Load() },
		Zone:                c.set.Zone,
		Zones:               c.set.Zones,
		Exposure:            c.exposure(),
	})
}

// exposure is how much a version may get that has not been shown good.
func (c *Controller) exposure() canary.Bounds {
	return canary.Bounds{Exposure: c.set.Bounds.Exposure, Slack: c.set.Bounds.ExposureSlack}
}

// serviceRollouts lists the newest rollout of each service, as far as this controller knows, in the
// order of the services' names.
func (c *Controller) serviceRollouts() []messages.ServiceRollout {
	var out []messages.ServiceRollout
	singleton.CommittedBodies(c.registers, func(_ int, body messages.LeaseBody) { out = append(out, body.Rollouts...) })
	slices.SortFunc(out, func(a, b messages.ServiceRollout) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// evacuatedZones lists the zones that are evacuated as far as this controller knows.
func (c *Controller) evacuatedZones() []string {
	var zones []string
	singleton.CommittedBodies(c.registers, func(_ int, body messages.LeaseBody) {
		for _, e := range body.Evacuations {
			if e.Evacuated {
				zones = append(zones, e.Zone)
			}
		}
	})
	slices.Sort(zones)
	return zones
}
