// Setup of the operator's API (package operatorapi), and the committed state of rollouts and
// evacuations.

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

// contactRegisters wraps the registers: a read or change of the configuration register that a
// majority has answered renews the contact lease.
type contactRegisters struct {
	*consensus.Registers
	contact *contactLease
	clock   func() int64
}

// Read reads a register from a majority.
func (r contactRegisters) Read(ctx context.Context, register int) (messages.Value, error) {
	begunUs := r.clock()
	value, err := r.Registers.Read(ctx, register)
	if err == nil && register == consensus.ConfigRegister {
		r.contact.recordMajorityWork(begunUs)
	}
	return value, err
}

// Change changes a register. The contact lease is renewed also if the change is rejected, as long as
// a majority has decided on it.
func (r contactRegisters) Change(ctx context.Context, register int, change consensus.Change) (messages.Value, error) {
	begunUs := r.clock()
	value, err := r.Registers.Change(ctx, register, change)
	unsure := errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, consensus.ErrNoGroup)
	if !unsure && register == consensus.ConfigRegister {
		r.contact.recordMajorityWork(begunUs)
	}
	return value, err
}

// contactRegisters returns the registers, with calls that renew the contact lease.
func (c *Controller) contactRegisters() contactRegisters {
	return contactRegisters{c.registers, &c.contactLease, c.clock}
}

// newOperatorAPI creates the handlers of the operator's calls.
func (c *Controller) newOperatorAPI() (*operatorapi.Service, error) {
	return operatorapi.New(operatorapi.Config{
		Log:                 c.log,
		Registers:           c.contactRegisters(),
		Weights:             c.rollouts,
		WeightsNamed:        func(model string, version int64) { c.targets.recordNamed(model, version, c.clock()) },
		RecordInitialHolder: c.leases.RecordInitialHolder,
		TimeOfDay:           func() (int64, bool) { return c.timeOfDay.TimeUs(c.clock()) },
		Table:               func() *routeconfig.Table { return c.table.Load() },
		Control:             c.set.Listen.Control,
		Zone:                c.set.Zone,
		Zones:               c.set.Zones,
		Exposure:            c.exposure(),
	})
}

// exposure returns the bounds on the traffic of a version that is still under test.
func (c *Controller) exposure() canary.Bounds {
	return canary.Bounds{Exposure: c.set.Bounds.Exposure, Slack: c.set.Bounds.ExposureSlack}
}

// serviceRollouts returns the newest rollout of each service that is committed here, sorted by
// service name.
func (c *Controller) serviceRollouts() []messages.ServiceRollout {
	var out []messages.ServiceRollout
	singleton.CommittedBodies(c.registers, func(_ int, body messages.LeaseBody) { out = append(out, body.Rollouts...) })
	slices.SortFunc(out, func(a, b messages.ServiceRollout) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// committedEvacuations returns the newest order of each zone that is committed here.
func committedEvacuations(registers *consensus.Registers) []messages.Evacuation {
	var out []messages.Evacuation
	singleton.CommittedBodies(registers, func(_ int, body messages.LeaseBody) { out = append(out, body.Evacuations...) })
	return out
}

// evacuatedZones returns the evacuated zones, by the registers committed here, sorted.
func (c *Controller) evacuatedZones() []string {
	var zones []string
	for _, e := range committedEvacuations(c.registers) {
		if e.Evacuated {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
