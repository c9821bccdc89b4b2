package tally

// Quorum is on how many disks an add is to be before it is acknowledged.
type Quorum struct {
	Disks int
	Zones int
}

// QuorumFor returns the quorum that outlasts the loss of so many machines, or so many zones.
func QuorumFor(machines, zones int) Quorum {
	return Quorum{Disks: max(machines, 0) + 1, Zones: max(zones, 0) + 1}
}

// copies counts the disks that have an add.
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

// Witness is what other nodes say of a peer that does not answer.
type Witness int

const (
	// WitnessUnknown is before anybody was asked.
	WitnessUnknown Witness = iota
	// WitnessCut says that the way to the peer is cut: others reach it, or nobody near it
	// answers.
	WitnessCut
	// WitnessDown says that a node near the peer does not reach it either.
	WitnessDown
)

// unreachableUs is for how long all calls to a peer fail before it counts as unreachable, in
// microseconds. It is below the second for which callers wait: an add that came at the
// beginning of a partition is acknowledged before its caller goes on to another replica.
const unreachableUs = 600_000

// reachability is what the calls to a peer say of the way there.
type reachability struct {
	failingSinceUs int64 // when the first failed call after the last success began
	failing        bool
	lastFailedUs   int64
	lastSentUs     int64 // when the newest failed call began
}

func (r *reachability) answered() { r.failing = false }

// failed records a call that began at sentUs and failed at nowUs.
func (r *reachability) failed(sentUs, nowUs int64) {
	if !r.failing {
		r.failing, r.failingSinceUs = true, sentUs
	}
	r.lastFailedUs = nowUs
	r.lastSentUs = max(r.lastSentUs, sentUs)
}

// unreachable reports whether every call has failed for long enough. Two calls at least have:
// one that ended late, as after a pause of this process, shows nothing.
func (r *reachability) unreachable() bool {
	return r.failing && r.lastFailedUs-r.failingSinceUs >= unreachableUs
}
