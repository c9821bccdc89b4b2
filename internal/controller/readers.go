package controller

import (
	"context"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/runnerreader"
	"beechtide.org/beechtide/internal/membership"
	"beechtide.org/beechtide/internal/messages"
)

// newReaders creates the readers of the runners that are assigned to this controller.
func (c *Controller) newReaders() (*runnerreader.Readers, error) {
	return runnerreader.New(runnerreader.Config{
		Addr:          c.transport.Addr(),
		Clock:         c.clock,
		Log:           c.log,
		API:           c.runnerAPI,
		Controllers:   func() []messages.Peer { return membership.CountedControllers(c.monitor.Alive(messages.Controller)) },
		Members:       c.configMembers,
		PublishCached: c.publishCached,
		PublishReport: c.publishReport,
		Files:         c.notes(),
	})
}

// configMembers returns the addresses of the members of the configuration register's group.
func (c *Controller) configMembers() []string {
	value, _ := c.registers.Committed(consensus.ConfigRegister)
	var addrs []string
	for _, member := range value.Group {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// readRunners updates the set of runners that are read here, once there is a configuration.
func (c *Controller) readRunners(ctx context.Context) {
	if c.table.Load() != nil {
		c.readers.Update(ctx, c.readableRunners())
	}
}

// readableRunners returns the runners and stores that cache prefixes.
func (c *Controller) readableRunners() []messages.RunnerRecord {
	table := c.table.Load()
	var out []messages.RunnerRecord
	for _, runner := range c.registry.Snapshot().ByID {
		service := table.Service(runner.Service)
		if service != nil && service.Engine.CacheTokens > 0 && !runner.Stale {
			out = append(out, runner)
		}
	}
	for _, store := range table.CacheStoreServices {
		out = append(out, messages.RunnerRecord{ID: store.CacheStore, Addr: store.CacheStore, Zone: store.Zone})
	}
	return out
}
