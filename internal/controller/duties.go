// The singleton tasks (package singleton) whose leases this controller may hold, and their
// condition for the doctor command.

package controller

import (
	"slices"
	"time"

	"beechtide.org/beechtide/internal/controller/platform"
	"beechtide.org/beechtide/internal/controller/runnerapi"
	"beechtide.org/beechtide/internal/controller/scaling"
	"beechtide.org/beechtide/internal/controller/servicerollout"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/controller/usagereport"
	"beechtide.org/beechtide/internal/controller/weightrollout"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/registry"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/statesync"
)

// hasDuty reports whether the settings assign a duty at the platform to the core.
func hasDuty(set settings.Settings, duty string) bool {
	return set.Cloud.Address != "" && slices.Contains(set.Cloud.Duties, duty)
}

// reportsUsage reports whether the core sends usage reports to the platform.
func reportsUsage(set settings.Settings) bool {
	return hasDuty(set, usagereport.DutyName) && set.Bounds.UsageWindowS > 0
}

// notes returns the store for small files on disk, or nil without a data directory.
func (c *Controller) notes() singleton.FileStore {
	if c.disk == nil {
		return nil
	}
	return c.disk
}

// newSingletons creates the leases and the tasks that run under them.
func (c *Controller) newSingletons() (err error) {
	if c.leases, err = c.newLeases(); err != nil {
		return err
	}
	if c.platform, err = c.newPlatformClient(); err != nil {
		return err
	}
	if c.rollouts, err = c.newWeightRollout(); err != nil {
		return err
	}
	services, err := c.newServiceRollout()
	if err != nil {
		return err
	}
	tasks := []singleton.Task{c.rollouts, services}
	if hasDuty(c.set, scaling.DutyName) {
		if c.scaler, err = c.newScaler(); err != nil {
			return err
		}
		tasks = append(tasks, c.scaler)
	}
	if reportsUsage(c.set) {
		if c.usage, err = c.newUsageReporter(); err != nil {
			return err
		}
		tasks = append(tasks, c.usage)
	}
	c.tasks = singleton.NewScheduler(c.leases, tasks...)
	return nil
}

func (c *Controller) newLeases() (*singleton.Leases, error) {
	return singleton.NewLeases(singleton.Config{
		Addr:       c.transport.Addr(),
		LeaseUs:    int64(c.set.Bounds.LeaseMs) * usPerMs,
		Clock:      c.clock,
		Log:        c.log,
		Registers:  c.registers,
		Membership: c.monitor,
		Files:      c.notes(),
		IsCut:      c.stability.isCut,
		HasContact: c.hasContact,
	})
}

func (c *Controller) newPlatformClient() (*platform.Client, error) {
	return platform.New(platform.Config{
		Holder: c.set.Node,
		Addr:   func() string { return *c.platformAddr.Load() },
		Fences: c.leases,
		HTTP:   c.connPool,
		Clock:  c.clock,
		Log:    c.log,
	})
}

func (c *Controller) newWeightRollout() (*weightrollout.Driver, error) {
	return weightrollout.New(weightrollout.Config{
		VersionUs: int64(c.set.Bounds.VersionMs) * usPerMs,
		Clock:     c.clock,
		Log:       c.log,
		Registers: c.registers,
		Fences:    c.leases,
		Targets:   &c.targets,
		Runners:   c.registry,
		API:       runnerapi.New(c.connPool),
		ServiceOf: c.serviceOfModel,
		Publish:   c.publishRunners,
	})
}

// serviceOfModel returns the service whose runners serve a model, or "" if there is none.
func (c *Controller) serviceOfModel(model string) string {
	table := c.table.Load()
	if table == nil {
		return ""
	}
	return table.ServiceOfModel(model)
}

func (c *Controller) newServiceRollout() (*servicerollout.Driver, error) {
	return servicerollout.New(servicerollout.Config{
		Bounds:    c.exposure(),
		Log:       c.log,
		Leases:    c.leases,
		TimeOfDay: func() (int64, bool) { return c.timeOfDay.TimeUs(c.clock()) },
		Runners:   func() *registry.Snapshot { return c.registry.Snapshot() },
		ReadLoads: c.feed.readLoads,
	})
}

func (c *Controller) newScaler() (*scaling.Scaler, error) {
	return scaling.New(scaling.Config{
		Self:              c.registers.ID(),
		Clock:             c.clock,
		Log:               c.log,
		Leases:            c.leases,
		Platform:          c.platform,
		Table:             func() *routeconfig.Table { return c.table.Load() },
		Runners:           func() *registry.Snapshot { return c.registry.Snapshot() },
		ReadLoads:         c.feed.readLoads,
		InContact:         c.inContact,
		StableForUs:       func() int64 { return c.stability.stableForUs(c.clock()) },
		RolloutUnfinished: c.rollouts.Unfinished,
	})
}

func (c *Controller) newUsageReporter() (*usagereport.Reporter, error) {
	return usagereport.New(usagereport.Config{
		WindowUs:  (time.Duration(c.set.Bounds.UsageWindowS) * time.Second).Microseconds(),
		Clock:     c.clock,
		Log:       c.log,
		Registers: c.registers,
		Leases:    c.leases,
		Platform:  c.platform,
		Transport: c.transport,
		Peers:     c.otherControllers,
		TimeUs: func() int64 {
			timeUs, _ := c.timeOfDay.TimeUs(c.clock())
			return timeUs
		},
		Files: c.notes(),
	})
}

// otherControllers returns the addresses of the other controllers that are alive.
func (c *Controller) otherControllers() []string {
	var addrs []string
	for _, peer := range c.monitor.Alive(messages.Controller) {
		if peer.Addr != c.transport.Addr() {
			addrs = append(addrs, peer.Addr)
		}
	}
	return addrs
}

// readLoads calls read with the sum of the loads of all routers, under the mutex of the feed.
func (f *feed) readLoads(read func(loads *statesync.Loads)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.aggregate.Total)
}

// dutyConditions returns the state of the duties at the platform for the doctor command.
func (c *Controller) dutyConditions() []messages.DutyCondition {
	var out []messages.DutyCondition
	if c.usage != nil {
		duty := c.dutyCondition(usagereport.DutyName, usagereport.RegisterIndex)
		duty.OverdueUs = c.usage.UnreportedAge().Microseconds()
		out = append(out, duty)
	}
	if c.scaler != nil {
		out = append(out, c.dutyCondition(scaling.DutyName, scaling.RegisterIndex))
	}
	return out
}

func (c *Controller) dutyCondition(name string, register int) messages.DutyCondition {
	duty := messages.DutyCondition{Name: name}
	value, _ := c.registers.Committed(register)
	if body, err := messages.DecodeLeaseBody(value); err == nil {
		duty.Holder, duty.Fence = body.Lease.Holder, body.Lease.Fence
	}
	if last := c.platform.Last(register); last.SentUs > 0 {
		duty.LastCallUs, duty.Accepted = c.clock()-last.SentUs, last.Outcome == platform.Accepted
	}
	return duty
}
