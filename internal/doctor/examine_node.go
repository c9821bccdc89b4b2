package doctor

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// Thresholds above which a node is reported.
const (
	slowDiskWriteUs = 250_000    // duration of a write to disk
	clockSkewUs     = 500_000    // difference between the node's and the doctor's time of day
	overdueUsageUs  = 15_000_000 // time since the end of the oldest unreported usage window
	// unreachableZoneUs is the time for which a zone has been unreachable.
	unreachableZoneUs = 3_000_000

	// A receiver requests a snapshot if updates of a stream are lost or do not
	// apply. A node is reported if it needed at least minSnapshots and more than
	// one for each changesPerSnapshot incremental updates.
	minSnapshots       = 20
	changesPerSnapshot = 50
)

// nodeExam collects the findings about one node.
type nodeExam struct {
	condition *messages.Condition
	findings  []Finding
}

// examineNode returns the problems found in a node's own condition.
func examineNode(result NodeResult, partitions []partition) []Finding {
	exam := &nodeExam{condition: result.Condition}
	exam.checkVersions(partitions)
	if exam.condition.Role == messages.Controller {
		exam.checkDisk()
		exam.checkRegistrations()
		exam.checkDuties()
		exam.checkTallies()
	}
	exam.checkZones()
	exam.checkStreams()
	exam.checkRunners()
	exam.checkInvariants()
	exam.checkClock(result.RequestedUs + result.RoundTripUs/2)
	return exam.findings
}

func (n *nodeExam) warn(problem, remedy string) {
	n.findings = append(n.findings, Finding{Warning, nodeName(n.condition), problem, remedy})
}

func (n *nodeExam) checkVersions(partitions []partition) {
	for index, version := range n.condition.Versions {
		if newest := partitions[index].version; version < newest {
			n.warn(fmt.Sprintf("partition %d is at version %d, other nodes have %d", index, version, newest),
				"run the doctor again; if this stays, check the links between this node and the controllers")
		}
	}
}

func (n *nodeExam) checkDisk() {
	c := n.condition
	if !c.HasDisk && isGroupMember(c) {
		n.warn("keeps the control state in memory only",
			"set dataDir in its settings, or make sure that a majority of members never stops at once")
	}
	if len(c.Unconfirmed) > 0 {
		n.warn(fmt.Sprintf("a repair waits for members %v to confirm that they hold the state on disk", c.Unconfirmed),
			"run the doctor again; if this stays, check the disks and links of these members")
	}
	switch {
	case c.SaveFault != "":
		n.warn("last write to disk failed: "+c.SaveFault,
			"free space on its disk or replace the disk; the other members decide without it meanwhile")
	case c.SaveUs > slowDiskWriteUs:
		n.warn(fmt.Sprintf("last write to disk took %d ms", c.SaveUs/1000), "check the health and the load of its disk")
	}
}

func (n *nodeExam) checkTallies() {
	t := n.condition.Partition.Tally
	if t.Full {
		n.warn("takes no new adds to tallies", "free space on its disk, or raise diskMb or memoryMb; the others take them meanwhile, if they have room")
	}
	if t.Unconfirmed > 0 && len(t.Unreachable) > 0 {
		n.warn(fmt.Sprintf("%d adds to tallies wait for disks; it does not reach %v", t.Unconfirmed, t.Unreachable), "start these controllers again, or mend the links to them")
	}
}

// checkZones reports zones that have been unreachable for at least unreachableZoneUs; a shorter
// time may be a restart.
func (n *nodeExam) checkZones() {
	for _, z := range n.condition.Partition.UnreachableZones {
		if z.SinceUs >= unreachableZoneUs {
			n.warn(fmt.Sprintf("has not reached zone %s for %d s", z.Zone, z.SinceUs/1_000_000), "check the links between the zones and the power of that one; see `beechtide doctor -partitions`")
		}
	}
}

func (n *nodeExam) checkRegistrations() {
	if n.condition.Runners == 0 {
		n.warn("knows no runner", "check that runners can reach its control address")
	}
}

// checkDuties reports usage windows that are overdue at the platform and calls that it did not
// accept, as reported by the holder of the duty.
func (n *nodeExam) checkDuties() {
	for _, duty := range n.condition.Duties {
		if duty.Holder != n.condition.MemberID {
			continue
		}
		if duty.OverdueUs > overdueUsageUs {
			n.warn(fmt.Sprintf("the oldest window of %s that the platform may not have ended %d s ago", duty.Name, duty.OverdueUs/1_000_000),
				"check that this node reaches the platform's address and that a majority of the controllers is connected; windows are reported later in turn")
		}
		if duty.LastCallUs > 0 && !duty.Accepted {
			n.warn(fmt.Sprintf("the last call to the platform for %s, under fence %d, was not accepted", duty.Name, duty.Fence),
				"see its log for the status; it is repeated")
		}
	}
}

func (n *nodeExam) checkStreams() {
	c := n.condition
	if c.Wholes >= minSnapshots && c.Wholes*changesPerSnapshot > c.Changes {
		n.warn(fmt.Sprintf("needed %d snapshots beside %d incremental updates", c.Wholes, c.Changes),
			"check its links and whether it keeps up: updates to it are lost or do not apply")
	}
	if c.Malformed > 0 {
		n.warn(fmt.Sprintf("received %d messages that it could not decode", c.Malformed),
			"check whether its peers run another release")
	}
}

func (n *nodeExam) checkRunners() {
	for _, id := range n.condition.Stale {
		n.warn("heartbeats of runner "+id+" are missing", "check that it runs; it is passed over until its heartbeats return")
	}
	for _, id := range n.condition.Unread {
		n.warn("cache events of runner "+id+" cannot be read",
			"check its /api/kv-events and concurrency in the configuration")
	}
	for _, id := range n.condition.Blind {
		n.warn("thresholds of runner "+id+" cannot fire as they should: no report, or its memory size is not known",
			"check its /api/report and cacheTokens in the configuration")
	}
}

// checkInvariants reports violated invariants.
func (n *nodeExam) checkInvariants() {
	for _, v := range n.condition.Violations {
		n.findings = append(n.findings, Finding{
			Fault, nodeName(n.condition),
			fmt.Sprintf("violated the invariant %s %d times since its start", v.Name, v.Count),
			"keep its log (beechtide doctor -rings) and metrics, and report both: this is a fault of the program",
		})
	}
}

// checkClock compares the node's time of day with the doctor's in the middle of the
// round trip, both in microseconds since 1970.
func (n *nodeExam) checkClock(doctorUs int64) {
	if skew := n.condition.TimeUs - doctorUs; skew > clockSkewUs || skew < -clockSkewUs {
		n.warn(fmt.Sprintf("time of day is %d ms off from this machine's", skew/1000),
			"set its clock; no decision depends on it, but the times in its log mislead")
	}
}

// isGroupMember reports whether a controller is a member of any partition's group.
func isGroupMember(c *messages.Condition) bool {
	for _, group := range c.Groups {
		for _, member := range group {
			if member.ID == c.MemberID {
				return true
			}
		}
	}
	return false
}
