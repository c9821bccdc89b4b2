package tally

// Quorum is the number of disks, and of zones with such a disk, that must have an add before it is
// acknowledged.
type Quorum struct {
	Disks int
	Zones int
}

// QuorumFor returns the quorum that tolerates the loss of the given number of machines or zones.
func QuorumFor(machines, zones int) Quorum {
	return Quorum{Disks: max(machines, 0) + 1, Zones: max(zones, 0) + 1}
}

// copies counts the disks, and collects the zones, that have an add.
type copies struct {
	disks int
	zones map[string]bool
}

func (c *copies) add(zone string) {
	c.disks++
	if c.zones == nil {
		c.zones = map[string]bool{}
	}
	c.zones[zone] = true
}

func (q Quorum) satisfied(c copies) bool { return c.disks >= q.Disks && len(c.zones) >= q.Zones }
