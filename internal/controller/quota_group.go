package controller

import (
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/quotaowner"
	"beechtide.org/beechtide/internal/quota"
)

// newQuotaOwner returns this controller's part in the count of tenants' requests.
func (c *Controller) newQuotaOwner() (*quotaowner.Service, error) {
	return quotaowner.New(quotaowner.Config{
		Addr:    c.transport.Addr(),
		Bounds:  c.set.QuotaBounds(),
		Clock:   c.clock,
		Log:     c.log,
		Peers:   c.transport,
		Group:   func() quota.Group { return quotaGroup(c.registers) },
		Limited: c.limitsTenants,
	})
}

// quotaGroup returns the members of the configuration's register, who vote for the owners of
// counts.
func quotaGroup(registers *consensus.Registers) quota.Group {
	value, _ := registers.Committed(consensus.ConfigRegister)
	group := quota.Group{Version: value.Version}
	for _, member := range value.Group {
		group.Members = append(group.Members, member.Addr)
	}
	slices.Sort(group.Members)
	return group
}

// limitsTenants reports whether the configuration in force limits any tenant.
func (c *Controller) limitsTenants() bool {
	table := c.table.Load()
	return table != nil && table.HasRateLimits
}
