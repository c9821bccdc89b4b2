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

// Witness is the evidence from other nodes (witnesses) about a peer that does not answer.
type Witness int

const (
	// WitnessUnknown is the state before witnesses were queried.
	WitnessUnknown Witness = iota
	// WitnessCut means that the network path to the peer is cut: a witness reaches the peer, or
	// no witness near it answers.
	WitnessCut
	// WitnessDown means that a witness near the peer does not reach it either.
	WitnessDown
)

// unreachableUs is for how long all calls to a peer must fail before it counts as unreachable, in
// microseconds. It is less than the second for which callers wait, so that an add that arrives at
// the beginning of a partition is acknowledged before its caller retries at another replica.
const unreachableUs = 600_000

// failedCall is a call to a peer that has failed.
type failedCall struct {
	sentUs, endedUs int64
	// slow is set if the timeout of the call is too long for it to be evidence of a partition.
	slow bool
	// refused is set if the peer's machine refused the connection.
	refused bool
}

// callHistory tracks the results of calls to a peer.
type callHistory struct {
	failingSinceUs int64 // start of the first failed call since the last success
	failing        bool
	lastFailedUs   int64 // end of the last failed call
	lastSentUs     int64 // latest start of a failed call that is not slow
	refused        bool  // the last failed call was refused: the path is whole, and the peer is down
}

func (r *callHistory) recordAnswer() { r.failing = false }

func (r *callHistory) recordFailure(call failedCall) {
	if !r.failing {
		r.failing, r.failingSinceUs = true, call.sentUs
	}
	r.lastFailedUs, r.refused = call.endedUs, call.refused
	if !call.slow {
		r.lastSentUs = max(r.lastSentUs, call.sentUs)
	}
}

// unreachable reports whether all calls have failed for at least unreachableUs. Callers must use
// shorter call timeouts and must not record a failed call that ended far later, as after a pause of
// this process: one such call is no evidence, at least two failed calls are required.
func (r *callHistory) unreachable() bool {
	return r.failing && r.lastFailedUs-r.failingSinceUs >= unreachableUs
}
