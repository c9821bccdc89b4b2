// The singleton roles of this controller (package singleton): which tasks it may hold the lease
// for, and what the doctor is told of them.

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

// hasDuty reports whether the platform has given the core a duty.
func hasDuty(set settings.Settings, duty string) bool {
	return set.Cloud.Address != "" && slices.Contains(set.Cloud.Duties, duty)
}

// reportsUsage reports whether the platform is to be told the usage.
func reportsUsage(set settings.Settings) bool {
	return hasDuty(set, usagereport.Duty) && set.Bounds.UsageWindowS > 0
}

// notes returns the small files on disk, nil on a machine without one.
func (d *Controller) notes() singleton.Notes {
	if d.disk == nil {
		return nil
	}
	return d.disk
}

// newSingletons makes the leases and the tasks under them.
func (d *Controller) newSingletons() (err error) {
	if d.leases, err = d.newLeases(); err != nil {
		return err
	}
	if d.platform, err = d.newPlatformClient(); err != nil {
		return err
	}
	if d.rollouts, err = d.newWeightRollout(); err != nil {
		return err
	}
	services, err := d.newServiceRollout()
	if err != nil {
		return err
	}
	tasks := []singleton.Task{d.rollouts, services}
	if hasDuty(d.set, scaling.Duty) {
		if d.scaler, err = d.newScaler(); err != nil {
			return err
		}
		tasks = append(tasks, d.scaler)
	}
	if reportsUsage(d.set) {
		if d.usage, err = d.newUsageReporter(); err != nil {
			return err
		}
		tasks = append(tasks, d.usage)
	}
	d.tasks = singleton.NewRunner(d.leases, tasks...)
	return nil
}

func (d *Controller) newLeases() (*singleton.Leases, error) {
	return singleton.NewLeases(singleton.Config{
		Addr:       d.transport.Addr(),
		LeaseUs:    int64(d.set.Bounds.LeaseMs) * usPerMs,
		Clock:      d.clock,
		Log:        d.log,
		Registers:  d.registers,
		Membership: d.monitor,
		Notes:      d.notes(),
		IsCut:      d.stability.isCut,
		HasContact: d.hasContact,
	})
}

func (d *Controller) newPlatformClient() (*platform.Client, error) {
	return platform.New(platform.Config{
		Holder: d.set.Node,
		Addr:   func() string { return *d.platformAddr.Load() },
		Fences: d.leases,
		HTTP:   d.connPool,
		Clock:  d.clock,
		Log:    d.log,
	})
}

func (d *Controller) newWeightRollout() (*weightrollout.Driver, error) {
	return weightrollout.New(weightrollout.Config{
		VersionUs: int64(d.set.Bounds.VersionMs) * usPerMs,
		Clock:     d.clock,
		Log:       d.log,
		Registers: d.registers,
		Fences:    d.leases,
		Targets:   &d.targets,
		Runners:   d.registry,
		API:       runnerapi.New(d.connPool),
		ServiceOf: d.serviceOfModel,
		Publish:   d.publishRunners,
	})
}

// serviceOfModel returns the service whose runners carry a model; empty where none does.
func (d *Controller) serviceOfModel(model string) string {
	table := d.table.Load()
	if table == nil {
		return ""
	}
	return table.ServiceOfModel(model)
}

func (d *Controller) newServiceRollout() (*servicerollout.Driver, error) {
	return servicerollout.New(servicerollout.Config{
		Bounds:    d.exposure(),
		Log:       d.log,
		Leases:    d.leases,
		TimeOfDay: func() (int64, bool) { return d.timeOfDay.TimeUs(d.clock()) },
		Runners:   func() *registry.Snapshot { return d.registry.Snapshot() },
		ReadLoads: d.feed.readLoads,
	})
}

func (d *Controller) newScaler() (*scaling.Scaler, error) {
	return scaling.New(scaling.Config{
		Self:              d.registers.ID(),
		Clock:             d.clock,
		Log:               d.log,
		Leases:            d.leases,
		Platform:          d.platform,
		Table:             func() *routeconfig.Table { return d.table.Load() },
		Runners:           func() *registry.Snapshot { return d.registry.Snapshot() },
		ReadLoads:         d.feed.readLoads,
		InContact:         d.inContact,
		StableForUs:       func() int64 { return d.stability.stableForUs(d.clock()) },
		RolloutUnfinished: d.rollouts.Unfinished,
	})
}

func (d *Controller) newUsageReporter() (*usagereport.Reporter, error) {
	return usagereport.New(usagereport.Config{
		WindowUs:  (time.Duration(d.set.Bounds.UsageWindowS) * time.Second).Microseconds(),
		Clock:     d.clock,
		Log:       d.log,
		Registers: d.registers,
		Leases:    d.leases,
		Platform:  d.platform,
		Transport: d.transport,
		Peers:     d.otherControllers,
		TimeUs: func() int64 {
			timeUs, _ := d.timeOfDay.TimeUs(d.clock())
			return timeUs
		},
		Notes: d.notes(),
	})
}

// otherControllers returns the addresses of the other controllers that are alive.
func (d *Controller) otherControllers() []string {
	var addrs []string
	for _, peer := range d.monitor.Alive(messages.Controller) {
		if peer.Addr != d.transport.Addr() {
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

// dutyConditions are the duties at the platform, for the doctor.
func (d *Controller) dutyConditions() []messages.DutyCondition {
	var out []messages.DutyCondition
	if d.usage != nil {
		duty := d.dutyCondition(usagereport.Duty, usagereport.Part)
		duty.OverdueUs = d.usage.Unreported().Microseconds()
		out = append(out, duty)
	}
	if d.scaler != nil {
		out = append(out, d.dutyCondition(scaling.Duty, scaling.Part))
	}
	return out
}

func (d *Controller) dutyCondition(name string, part int) messages.DutyCondition {
	duty := messages.DutyCondition{Name: name}
	value, _ := d.registers.Committed(part)
	if body, err := messages.DecodeLeaseBody(value); err == nil {
		duty.Holder, duty.Fence = body.Lease.Holder, body.Lease.Fence
	}
	if last := d.platform.Last(part); last.SentUs > 0 {
		duty.LastCallUs, duty.Accepted = d.clock()-last.SentUs, last.Answer == platform.Accepted
	}
	return duty
}
