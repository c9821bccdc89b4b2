package controller

import (
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/quotaowner"
	"beechtide.org/beechtide/internal/quota"
)

// newQuotaOwner creates the service that owns the rate-limit counts of a share of the tenants.
func (c *Controller) newQuotaOwner() (*quotaowner.Service, error) {
	return quotaowner.New(quotaowner.Config{
		Addr:          c.transport.Addr(),
		Bounds:        c.set.QuotaBounds(),
		Clock:         c.clock,
		Log:           c.log,
		Peers:         c.transport,
		Group:         func() quota.Group { return quotaGroup(c.registers) },
		HasRateLimits: c.limitsTenants,
	})
}

// quotaGroup returns the members of the configuration register's group, which vote for the owners
// of rate-limit counts.
func quotaGroup(registers *consensus.Registers) quota.Group {
	value, _ := registers.Committed(consensus.ConfigRegister)
	group := quota.Group{Version: value.Version}
	for _, member := range value.Group {
		group.Members = append(group.Members, member.Addr)
	}
	slices.Sort(group.Members)
	return group
}

// limitsTenants reports whether the active configuration has a rate limit for any tenant.
func (c *Controller) limitsTenants() bool {
	table := c.table.Load()
	return table != nil && table.HasRateLimits
}
