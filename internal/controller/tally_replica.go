package controller

import (
	"slices"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/tallies"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/tally"
)

const (
	// tallyDiskBytesPerAdd and tallyMemoryBytesPerAdd are the maximum space of an add on disk and
	// in memory, including the temporary space that compaction needs.
	tallyDiskBytesPerAdd   = 32
	tallyMemoryBytesPerAdd = 64
	// tallyDiskFraction and tallyMemoryFraction are the fractions of the machine's disk and of the
	// process's memory that tallies may use.
	tallyDiskFraction   = 0.5
	tallyMemoryFraction = 0.3
	bytesPerMB          = 1 << 20
)

// maxTallyAdds returns how many adds a machine with these limits can store; 0 means unlimited.
func maxTallyAdds(limits settings.Limits) int {
	bound := int(float64(limits.DiskMb) * bytesPerMB * tallyDiskFraction / tallyDiskBytesPerAdd)
	memory := int(float64(limits.MemoryMb) * bytesPerMB * tallyMemoryFraction / tallyMemoryBytesPerAdd)
	if memory > 0 && (bound == 0 || memory < bound) {
		return memory
	}
	return bound
}

// openTallies opens the tally replica of this controller.
func (c *Controller) openTallies() (*tallies.Service, error) {
	return tallies.Open(tallies.Config{
		Zone:           c.set.Zone,
		DataDir:        c.set.DataDir,
		MaxAdds:        maxTallyAdds(c.set.Limits),
		Quorum:         tally.QuorumFor(c.set.Tolerance.Machines, c.set.Tolerance.Zones),
		CompareTimeout: compareTimeout,
		Clock:          c.clock,
		Log:            c.log,
		Peers:          c.transport,
		Replicas:       c.tallyReplicas,
		Core:           func() ([]string, bool) { return tallyCore(c.registers, c.transport.Addr()) },
		Routers:        func() []messages.Peer { return c.monitor.Alive(messages.Router) },
	})
}

// tallyReplicas returns the addresses of all other known controllers, sorted.
func (c *Controller) tallyReplicas() []string {
	addrs := append(c.knownControllers(), c.otherControllers()...)
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == c.transport.Addr() })
}

// tallyCore returns the addresses of the other members of the configuration's group, and false
// while no group is known.
func tallyCore(registers *consensus.Registers, self string) (members []string, known bool) {
	value, _ := registers.Committed(consensus.ConfigRegister)
	for _, m := range value.Group {
		if m.Addr != self {
			members = append(members, m.Addr)
		}
	}
	return members, len(value.Group) > 0
}
