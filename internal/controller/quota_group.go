package controller

import (
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/quotaowner"
	"beechtide.org/beechtide/internal/quota"
)

// newQuotaOwner returns this controller's part in the count of tenants' requests.
func (d *Controller) newQuotaOwner() (*quotaowner.Service, error) {
	return quotaowner.New(quotaowner.Config{
		Addr:    d.transport.Addr(),
		Bounds:  d.set.QuotaBounds(),
		Clock:   d.clock,
		Log:     d.log,
		Peers:   d.transport,
		Group:   func() quota.Group { return quotaGroup(d.registers) },
		Limited: d.limitsTenants,
	})
}

// quotaGroup returns the members of the configuration's register, who vote for the owners of
// counts.
func quotaGroup(registers *consensus.Registers) quota.Group {
	value, _ := registers.Committed(consensus.ConfigPart)
	group := quota.Group{Version: value.Version}
	for _, member := range value.Group {
		group.Members = append(group.Members, member.Addr)
	}
	slices.Sort(group.Members)
	return group
}

// limitsTenants reports whether the configuration in force limits any tenant.
func (d *Controller) limitsTenants() bool {
	table := d.table.Load()
	return table != nil && table.Limited
}
