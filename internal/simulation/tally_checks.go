package simulation

import "beechtide.org/beechtide/internal/tally"

// ackedAdd is an acknowledged add.
type ackedAdd struct {
	add             tally.Add
	atUs            int64
	by              *tallyReplica
	life            int
	duringPartition bool
	mayBeLost       bool // acknowledged during a partition by a replica that lost its disk soon after
}

// tallyChecks checks that no total counts an add twice, that a replica's reads include the adds
// that it acknowledged, and that after faults every replica has all adds.
type tallyChecks struct {
	history            *tallyHistory
	sentAdds           map[tally.Key]tally.Add
	ackedAdds          []*ackedAdd
	lastFaultEndUs     int64 // end of the last fault
	lastPartitionEndUs int64 // end of the last partition
	lostCopies         []lostCopy
}

// lostCopy is what a disk held when it was lost or, where there are no disks, the memory of a process.
type lostCopy struct {
	replica *tallyReplica
	held    tally.Vector
	atUs    int64
}

// tallyCopies are the disks that have an add, and their zones.
type tallyCopies struct {
	disks int
	zones map[string]bool
}

func (c *tallyCopies) add(zone string) {
	c.disks++
	if c.zones == nil {
		c.zones = map[string]bool{}
	}
	c.zones[zone] = true
}

func (c *tallyCopies) enough() bool { return c.disks > maxLostDisks && len(c.zones) > 1 }

func newTallyChecks(h *tallyHistory) *tallyChecks {
	return &tallyChecks{history: h, sentAdds: map[tally.Key]tally.Add{}}
}

func (c *tallyChecks) recordSent(add tally.Add) { c.sentAdds[add.Key] = add }

// maxStaleEvidenceUs is the longest time after the end of a partition in which an add may still be
// acknowledged on evidence of the partition: the longest call or witness request that starts just
// before the end, plus polling.
const maxStaleEvidenceUs = tallyWitnessWaitUs + 2*tallyPollUs

func (c *tallyChecks) recordAcked(add tally.Add, by *tallyReplica, number uint64) {
	nowUs := c.history.kernel.NowUs()
	whenCut := c.history.activePartitions > 0 || c.lastPartitionEndUs > 0 && nowUs <= c.lastPartitionEndUs+maxStaleEvidenceUs
	c.ackedAdds = append(c.ackedAdds, &ackedAdd{add: add, atUs: nowUs, by: by, life: by.starts, duringPartition: whenCut})
	if !whenCut || c.history.layout == tallyMixed && by.disk == nil {
		c.checkDisks(by, number)
		return
	}
	c.checkOthersRun(by, number)
}

// has reports whether a replica has the log of another one up to a number, on its disk or, where there are
// none, in the memory of its process.
func (r *tallyReplica) has(origin tally.Origin, number uint64) bool {
	return r.replica != nil && (r.disk != nil || r.process.Up()) && r.replica.Durable(origin) >= number
}

// copiesOf returns the copies of an add in the core, among them those that have been lost since:
// the acknowledgement of such a replica may have been on its way, and no page allows more than
// maxLostDisks to be lost before these have caught up.
func (c *tallyChecks) copiesOf(by *tallyReplica, number uint64) (copies tallyCopies) {
	origin := by.replica.Origin()
	for _, r := range c.history.core() {
		if r.has(origin, number) || c.lostWithin(r, origin, number, tallyCatchUpUs) {
			copies.add(r.zone)
		}
	}
	return copies
}

// lostWithin reports whether a replica has lost a copy of an add during the last withinUs.
func (c *tallyChecks) lostWithin(r *tallyReplica, origin tally.Origin, number uint64, withinUs int64) bool {
	for _, lost := range c.lostCopies {
		if lost.replica == r && lost.held[origin] >= number && lost.atUs >= c.history.kernel.NowUs()-withinUs {
			return true
		}
	}
	return false
}

// checkDisks checks that an add acknowledged without a partition, or by a replica without a disk beside
// others, is on enough disks, or in enough memories where there are no disks.
func (c *tallyChecks) checkDisks(by *tallyReplica, number uint64) {
	if copies := c.copiesOf(by, number); !copies.enough() {
		c.history.kernel.Fail("%s acknowledges an add on %d disks in %d zones, %d us after the last cut", by.addr, copies.disks, len(copies.zones), c.history.kernel.NowUs()-c.lastPartitionEndUs)
	}
}

// checkOthersRun checks that an add acknowledged on fewer disks during a partition is missing only at
// replicas that run: what is without power may come back to find that the disks with the add are lost.
func (c *tallyChecks) checkOthersRun(by *tallyReplica, number uint64) {
	copies := c.copiesOf(by, number)
	if copies.enough() {
		return
	}
	origin, nowUs := by.replica.Origin(), c.history.kernel.NowUs()
	for _, r := range c.history.core() {
		if !r.has(origin, number) && r.process.RanUs() < nowUs-maxStaleEvidenceUs {
			c.history.kernel.Fail("%s acknowledges an add on %d disks in %d zones while %s is down", by.addr, copies.disks, len(copies.zones), r.addr)
		}
	}
}

// becameReady checks that a replica that starts to serve has all adds acknowledged before it
// started, if there was no other fault since then.
func (c *tallyChecks) becameReady(r *tallyReplica) {
	if c.history.activeFaults > 0 || c.lastFaultEndUs > r.bootUs {
		return
	}
	for _, a := range c.ackedAdds {
		if !a.mayBeLost && a.atUs < r.bootUs && !r.replica.Set().Contains(a.add.Key) {
			c.history.kernel.Fail("%s answers, and does not have an add that %s acknowledged at %d us", r.addr, a.by.addr, a.atUs)
		}
	}
}

// recordLostDisk records that a replica has lost its disk: adds that it acknowledged during a
// partition may be lost if the partition ended less than tallyMergeUs ago.
func (c *tallyChecks) recordLostDisk(r *tallyReplica) {
	if r.replica != nil && (r.disk != nil || c.history.layout == tallyNoDisks) {
		lost := lostCopy{replica: r, held: tally.Vector{}, atUs: c.history.kernel.NowUs()}
		for origin := range r.replica.Set().Vector() {
			lost.held[origin] = r.replica.Durable(origin)
		}
		c.lostCopies = append(c.lostCopies, lost)
	}
	recent := c.history.activePartitions > 0 || c.history.kernel.NowUs() < c.lastPartitionEndUs+tallyMergeUs
	for _, a := range c.ackedAdds {
		if a.by == r && a.duringPartition && recent {
			a.mayBeLost = true
		}
	}
}

// checkPeriodically checks every replica that serves requests, every 500 ms.
func (c *tallyChecks) checkPeriodically() {
	calm := c.history.activeFaults == 0
	for _, r := range c.history.replicas {
		if !r.process.Up() || r.replica == nil || !r.ready {
			continue
		}
		c.checkTotals(r)
		c.checkOwn(r)
		if calm {
			c.checkAll(r, max(c.lastFaultEndUs, 0)+tallyMergeUs)
		}
	}
	c.history.kernel.After(500*Millisecond, c.checkPeriodically)
}

// checkTotals checks that a replica's totals are the sums of the adds that it has.
func (c *tallyChecks) checkTotals(r *tallyReplica) {
	want := map[string]int64{}
	for key, add := range c.sentAdds {
		if r.replica.Set().Contains(key) {
			want[add.Tally] += add.Amount
		}
	}
	for name, total := range want {
		if got := r.replica.Set().Total(name); got != total {
			c.history.kernel.Fail("%s reads %d for %s; the adds that it has make %d", r.addr, got, name, total)
		}
	}
}

// checkOwn checks that a replica has all adds that it acknowledged since its start.
func (c *tallyChecks) checkOwn(r *tallyReplica) {
	for _, a := range c.ackedAdds {
		if a.by == r && a.life == r.starts && !r.replica.Set().Contains(a.add.Key) {
			c.history.kernel.Fail("%s does not have an add that it acknowledged at %d us in this life", r.addr, a.atUs)
		}
	}
}

// checkAll checks, from sinceUs on, that a replica has the adds that any replica acknowledged
// at least tallyMergeUs ago.
func (c *tallyChecks) checkAll(r *tallyReplica, sinceUs int64) {
	nowUs := c.history.kernel.NowUs()
	if nowUs < sinceUs {
		return
	}
	for _, a := range c.ackedAdds {
		if !a.mayBeLost && a.atUs <= nowUs-tallyMergeUs && !r.replica.Set().Contains(a.add.Key) {
			c.history.kernel.Fail("%s lacks an add that %s acknowledged at %d us", r.addr, a.by.addr, a.atUs)
		}
	}
}

// end checks every replica after all faults have been healed.
func (c *tallyChecks) end() {
	for _, r := range c.history.replicas {
		if !r.process.Up() || !r.ready {
			c.history.kernel.Fail("%s does not answer at the end", r.addr)
			continue
		}
		c.checkTotals(r)
		c.checkAll(r, 0)
	}
}

func (c *tallyChecks) counts() Counts {
	out := Counts{TallyHistories: 1, TallySent: int64(len(c.sentAdds)), TallyAcked: int64(len(c.ackedAdds))}
	for _, a := range c.ackedAdds {
		if a.duringPartition {
			out.TallyAckedCut++
		}
		if a.mayBeLost {
			out.TallyNotOwed++
		}
	}
	return out
}
