// Model "tallies": clients add to counters at replicas that are partitioned, killed, frozen,
// powered off and wiped. tally.Replica, tally.Set and tally.Log are the production code, the
// log on a simulated disk that can lose power; their driver in package controller is
// reimplemented here. In the variant "tallies-memory" replicas without a disk stand beside the
// others, or no replica has one.

package simulation

import (
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/simulation/disk"
	"beechtide.org/beechtide/internal/tally"
)

// Durations and sizes of a tally history.
const (
	tallyFaultsFrom = 4 * Second
	tallyFaultsUs   = 40 * Second
	tallyRecoveryUs = 8 * Second // after the last fault
	maxTallyFaultUs = 14 * Second
	tallyMergeUs    = 3 * Second // after the last fault, until every replica has all adds
	tallyCatchUpUs  = 6 * Second // after a disk loss, until the replica has caught up
	maxLostDisks    = 2          // disks that may be lost at once
	tallyCount      = 3
)

// tallyLayout says which replicas have a disk.
type tallyLayout int

const (
	tallyAllDisks tallyLayout = iota // two replicas with a disk in each zone
	tallyMixed                       // and one without a disk
	tallyNoDisks                     // two replicas without a disk in each zone
)

// tallyHistory is the state of one simulated history.
type tallyHistory struct {
	*injector
	defects  Defects
	zones    []string
	replicas []*tallyReplica
	routers  []*tallyRouter // one per zone
	checks   *tallyChecks
	serial   int
	layout   tallyLayout
	// activePartitions is the number of active faults that partition replicas; activeFaults
	// is the number of all active faults.
	activePartitions, activeFaults int
	nextLossUs                     int64 // time from which disks may be lost again
}

// PlayTallies simulates the tally history of a seed. One seed in eight has no faults.
func PlayTallies(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	return playTallies(newTallyHistory(k, options.Defects, 2+k.Below(3), tallyAllDisks), seed, tallyFaults)
}

// PlayTalliesWithMemory simulates the tally history of a seed with replicas without a disk beside
// those with one, and in one seed of four with no disks at all.
func PlayTalliesWithMemory(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	if k.Below(4) == 0 {
		return playTallies(newTallyHistory(k, options.Defects, 2+k.Below(3), tallyNoDisks), seed, tallyFaultsWithoutDisks)
	}
	return playTallies(newTallyHistory(k, options.Defects, 2+k.Below(3), tallyMixed), seed, tallyFaultsWithMemory)
}

// playTallies simulates the faults, heals them and checks the final state.
func playTallies(h *tallyHistory, seed uint64, faults []tallyFault) Result {
	k := h.kernel
	if k.Below(8) > 0 {
		h.scheduleFaults(faults)
	}
	k.RunUntil(tallyFaultsFrom + tallyFaultsUs)
	h.heal()
	k.RunUntil(k.NowUs() + tallyRecoveryUs)
	h.checks.end()
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: h.checks.counts()}
}

func newTallyHistory(k *Kernel, defects Defects, zones int, layout tallyLayout) *tallyHistory {
	h := &tallyHistory{layout: layout, injector: &injector{kernel: k, network: NewNetwork(k)}, defects: defects, nextLossUs: tallyFaultsFrom}
	h.checks = newTallyChecks(h)
	for z := range zones {
		zone := string(rune('a' + z))
		h.zones = append(h.zones, zone)
		h.routers = append(h.routers, &tallyRouter{history: h, addr: "router-" + zone, zone: zone, process: NewProcess(k)})
		for i := range 2 {
			addTallyReplica(h, zone, i+1, layout != tallyNoDisks)
		}
		if layout == tallyMixed {
			addTallyReplica(h, zone, 3, false)
		}
	}
	for _, r := range h.routers {
		r.process.Start()
	}
	for _, r := range h.replicas {
		r.boot()
	}
	for _, zone := range h.zones {
		k.After(2*Second, func() { h.generateAdds(zone) })
	}
	k.After(Second, h.checks.checkPeriodically)
	return h
}

func addTallyReplica(h *tallyHistory, zone string, number int, hasDisk bool) {
	machine := tallyMachine{addr: fmt.Sprint(zone, number), zone: zone}
	if hasDisk {
		machine.disk = disk.New(uint64(h.kernel.Between(0, 1<<40)))
	}
	h.replicas = append(h.replicas, &tallyReplica{tallyMachine: machine, history: h, process: NewProcess(h.kernel)})
}

// core returns the replicas that the deployment counts on: those with a disk or, where there are
// none, all.
func (h *tallyHistory) core() []*tallyReplica {
	if h.layout == tallyNoDisks {
		return h.replicas
	}
	return slices.DeleteFunc(slices.Clone(h.replicas), func(r *tallyReplica) bool { return r.disk == nil })
}

// generateAdds sends an add from a client of a zone and schedules the next one.
func (h *tallyHistory) generateAdds(zone string) {
	h.serial++
	name, id := fmt.Sprint("t", h.kernel.Below(tallyCount)), fmt.Sprint(h.serial)
	call := &tallyCall{history: h, zone: zone, add: tally.Add{Tally: name, Key: tally.KeyOf(name, id), Amount: 1 + int64(h.kernel.Below(9))}}
	h.checks.recordSent(call.add)
	call.sendTry()
	h.kernel.After(h.kernel.Between(0, 400*Millisecond), func() { h.generateAdds(zone) })
}

// Clients retry after a second without a response.
const (
	maxTallyTries = 4
	tallyRetryUs  = Second
)

// tallyCall is a client's add with its retries.
type tallyCall struct {
	history      *tallyHistory
	zone         string
	add          tally.Add
	tries        int
	acknowledged bool // the client has received an acknowledgement
}

// sendTry sends the add to a replica, first mostly in the client's own zone.
func (c *tallyCall) sendTry() {
	if c.acknowledged || c.tries == maxTallyTries {
		return
	}
	c.tries++
	h, try := c.history, c.tries
	var near, far []*tallyReplica
	for _, r := range h.replicas {
		if r.zone == c.zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	from := near
	if c.tries > 2 || h.kernel.Chance(100) {
		from = far
	}
	r := from[h.kernel.Below(len(from))]
	client := "client-" + c.zone
	again := func() {
		if c.tries == try {
			c.sendTry()
		}
	}
	h.kernel.After(tallyRetryUs, again)
	h.network.Send(client, r.addr, func() {
		r.process.Deliver(func() {
			r.handleAdd(c.add, func(number uint64, ok bool) {
				if ok {
					h.checks.recordAcked(c.add, r, number)
				}
				h.network.Send(r.addr, client, func() {
					c.acknowledged = c.acknowledged || ok
					if !ok {
						again()
					}
				})
			})
		})
	})
}

// scheduleFaults schedules the faults at random times.
func (h *tallyHistory) scheduleFaults(faults []tallyFault) {
	k := h.kernel
	for range 2 + k.Below(8) {
		atUs := tallyFaultsFrom + k.Between(0, tallyFaultsUs-maxTallyFaultUs-Second)
		forUs := k.Between(100*Millisecond, maxTallyFaultUs)
		k.After(atUs, func() { faults[k.Below(len(faults))](h, forUs) })
	}
}

// tallyFault is a fault that lasts for about forUs.
type tallyFault func(h *tallyHistory, forUs int64)

// tallyFaults are the faults of a deployment with disks.
var tallyFaults = []tallyFault{
	(*tallyHistory).cutZone, (*tallyHistory).cutZone, (*tallyHistory).cutBridge, (*tallyHistory).cutReplicaOff, (*tallyHistory).cutCore,
	(*tallyHistory).killSome, (*tallyHistory).freezeOne, (*tallyHistory).powerOffSome, (*tallyHistory).powerOffAll,
	(*tallyHistory).powerOffZones, (*tallyHistory).powerOffZones,
	(*tallyHistory).loseDisks, (*tallyHistory).loseDisks, (*tallyHistory).loseZone, (*tallyHistory).stallDisk, (*tallyHistory).fillDisk,
}

// tallyFaultsWithMemory are the faults where some machines have no disk: any number of these may be
// lost, and the core may be killed while they run.
var tallyFaultsWithMemory = append(slices.Clone(tallyFaults),
	killTallyCore, killTallyCore, loseTallyMemory, loseTallyMemory)

// tallyFaultsWithoutDisks are the faults of a deployment without disks: what may be lost at once is
// bounded for every machine.
var tallyFaultsWithoutDisks = []tallyFault{
	(*tallyHistory).cutZone, (*tallyHistory).cutBridge, (*tallyHistory).cutReplicaOff, (*tallyHistory).cutCore,
	(*tallyHistory).freezeOne, (*tallyHistory).loseDisks, (*tallyHistory).loseZone,
}

// registerFault registers a fault that ends after forUs, unless all faults have been healed before.
func (h *tallyHistory) registerFault(forUs int64, end func()) {
	h.activeFaults++
	h.endFaultAfter(forUs, func() {
		h.activeFaults--
		h.checks.lastFaultEndUs = h.kernel.NowUs()
		end()
	})
}

// addrsOf returns the addresses of a zone's replicas and router.
func (h *tallyHistory) addrsOf(zone string) []string {
	var addrs []string
	for _, r := range h.replicas {
		if r.zone == zone {
			addrs = append(addrs, r.addr)
		}
	}
	return append(addrs, "router-"+zone)
}

// partition cuts the links between two sets of addresses, or those from the first to the second
// only if oneWay is set.
func (h *tallyHistory) partition(one, other []string, oneWay bool, forUs int64) {
	h.activePartitions++
	h.registerFault(forUs, func() {
		h.activePartitions--
		h.checks.lastPartitionEndUs = h.kernel.NowUs()
	})
	cut := h.cutBothWays
	switch {
	case oneWay:
		cut = h.cutOneWay
	case h.kernel.Chance(300):
		cut = h.cutRefusing
	}
	for _, a := range one {
		for _, b := range other {
			cut(a, b, forUs)
		}
	}
}

func (h *tallyHistory) cutZone(forUs int64) {
	zone := h.zones[h.kernel.Below(len(h.zones))]
	h.kernel.Log("zone %s is cut off for %d us", zone, forUs)
	var others []string
	for _, other := range h.zones {
		if other != zone {
			others = append(others, h.addrsOf(other)...)
			others = append(others, "client-"+other)
		}
	}
	h.partition(h.addrsOf(zone), others, h.kernel.Chance(200), forUs)
}

func (h *tallyHistory) cutBridge(forUs int64) {
	i := h.kernel.Below(len(h.zones))
	one, other := h.zones[i], h.zones[(i+1)%len(h.zones)]
	h.kernel.Log("zones %s and %s do not reach each other for %d us", one, other, forUs)
	h.partition(h.addrsOf(one), h.addrsOf(other), false, forUs)
}

// cutReplicaOff partitions one replica from the others; routers still reach it.
func (h *tallyHistory) cutReplicaOff(forUs int64) {
	r := h.someReplica()
	h.kernel.Log("%s is cut off from the other replicas for %d us", r.addr, forUs)
	var others []string
	for _, other := range h.replicas {
		if other != r {
			others = append(others, other.addr)
		}
	}
	h.partition([]string{r.addr}, others, h.kernel.Chance(300), forUs)
}

// cutCore partitions the replicas into two random groups; routers still reach all.
func (h *tallyHistory) cutCore(forUs int64) {
	h.kernel.Log("the replicas are cut into halves for %d us", forUs)
	var halves [2][]string
	for _, r := range h.replicas {
		half := h.kernel.Below(2)
		halves[half] = append(halves[half], r.addr)
	}
	h.partition(halves[0], halves[1], false, forUs)
}

func (h *tallyHistory) someReplica() *tallyReplica {
	return h.replicas[h.kernel.Below(len(h.replicas))]
}

func (h *tallyHistory) killSome(forUs int64) {
	perMille := []int{150, 600, 1000}[h.kernel.Below(3)]
	for _, r := range h.replicas {
		if h.kernel.Chance(perMille) {
			h.kill(r, min(forUs, 2*Second))
		}
	}
}

func (h *tallyHistory) kill(r *tallyReplica, forUs int64) {
	h.kernel.Log("%s is killed", r.addr)
	r.process.Stop()
	if r.disk != nil {
		r.disk.Restart()
	}
	h.registerFault(forUs, r.bootIfDown)
}

// killTallyCore kills all replicas with a disk at once and, in half of the cases, all others before the
// first of these is back.
func killTallyCore(h *tallyHistory, forUs int64) {
	forUs = min(forUs, Second)
	for _, r := range h.core() {
		h.kill(r, forUs)
	}
	if h.kernel.Chance(500) {
		h.kernel.After(h.kernel.Between(0, forUs), func() {
			if !h.healed {
				loseTallyMemory(h, Second)
			}
		})
	}
}

// loseTallyMemory kills all replicas without a disk.
func loseTallyMemory(h *tallyHistory, forUs int64) {
	for _, r := range h.replicas {
		if r.disk == nil {
			h.kill(r, min(forUs, 3*Second))
		}
	}
}

func (h *tallyHistory) freezeOne(forUs int64) {
	r := h.someReplica()
	h.kernel.Log("%s freezes for %d us", r.addr, forUs)
	r.process.Freeze()
	h.registerFault(forUs, r.process.Thaw)
}

func (h *tallyHistory) powerOff(r *tallyReplica, forUs int64) {
	h.kernel.Log("%s loses power for %d us", r.addr, forUs)
	r.process.Stop()
	r.dark = true
	if r.disk != nil {
		r.disk.LosePower()
	}
	h.registerFault(forUs, r.bootIfDown)
}

// powerOffSome powers off one replica, or all but one or two.
func (h *tallyHistory) powerOffSome(forUs int64) {
	if h.kernel.Chance(500) {
		h.powerOff(h.someReplica(), forUs)
		return
	}
	spared := 1 + h.kernel.Below(2)
	for _, i := range h.shuffledIndexes(len(h.replicas))[spared:] {
		h.powerOff(h.replicas[i], forUs)
	}
}

// powerOffZones powers off one zone or all but one, with their routers, at the same time or one after the
// other.
func (h *tallyHistory) powerOffZones(forUs int64) {
	count := 1
	if h.kernel.Chance(700) {
		count = len(h.zones) - 1
	}
	atOnce := h.kernel.Chance(500)
	for _, i := range h.shuffledIndexes(len(h.zones))[:count] {
		var delayUs int64
		if !atOnce {
			delayUs = h.kernel.Between(0, min(forUs/2, 2*Second))
		}
		h.kernel.After(delayUs, func() { powerOffZone(h, h.zones[i], h.routers[i], forUs-delayUs) })
	}
}

// powerOffZone powers off the replicas and the router of a zone.
func powerOffZone(h *tallyHistory, zone string, router *tallyRouter, forUs int64) {
	if h.healed {
		return
	}
	for _, r := range h.replicas {
		if r.zone == zone {
			h.powerOff(r, forUs)
		}
	}
	router.process.Stop()
	h.registerFault(forUs, router.startIfDown)
}

func (h *tallyHistory) powerOffAll(forUs int64) {
	for _, r := range h.replicas {
		h.powerOff(r, h.kernel.Between(100*Millisecond, min(forUs, 3*Second)))
	}
}

// shuffledIndexes returns the numbers below count in random order.
func (h *tallyHistory) shuffledIndexes(count int) []int {
	indexes := make([]int, count)
	for i := range indexes {
		indexes[i] = i
	}
	for i := range indexes {
		j := i + h.kernel.Below(count-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
	}
	return indexes
}

// loseDisks wipes the disks of maxLostDisks replicas; sometimes all others lose power at the
// same time.
func (h *tallyHistory) loseDisks(forUs int64) {
	core := h.core()
	var lost []*tallyReplica
	for _, i := range h.shuffledIndexes(len(h.replicas)) {
		if slices.Contains(core, h.replicas[i]) && len(lost) < maxLostDisks {
			lost = append(lost, h.replicas[i])
		}
	}
	h.loseDisksOf(lost, forUs)
}

// loseZone does the same to all replicas of a zone.
func (h *tallyHistory) loseZone(forUs int64) {
	zone := h.zones[h.kernel.Below(len(h.zones))]
	h.loseDisksOf(slices.DeleteFunc(slices.Clone(h.replicas), func(r *tallyReplica) bool { return r.zone != zone }), forUs)
}

func (h *tallyHistory) loseDisksOf(lost []*tallyReplica, forUs int64) {
	if h.kernel.NowUs() < h.nextLossUs || h.activeFaults > 0 && h.kernel.Chance(500) {
		return
	}
	h.nextLossUs = h.kernel.NowUs() + tallyFaultsUs // at most one loss per history
	powerOff := h.kernel.Chance(500) && h.layout != tallyNoDisks
	for _, r := range h.replicas {
		switch {
		case slices.Contains(lost, r):
			h.kernel.Log("%s loses its disk", r.addr)
			h.checks.recordLostDisk(r)
			r.process.Stop()
			r.dark = true
			if r.disk != nil {
				r.disk.Erase()
			}
			h.registerFault(min(forUs, 3*Second)+tallyCatchUpUs, func() {})
			h.endFaultAfter(min(forUs, 3*Second), r.bootIfDown)
		case powerOff:
			h.powerOff(r, min(forUs, 3*Second))
		}
	}
}

func (h *tallyHistory) stallDisk(forUs int64) {
	r := h.someReplica()
	if r.disk == nil {
		return
	}
	h.kernel.Log("the disk of %s stalls for %d us", r.addr, forUs)
	r.stalledUntilUs = h.kernel.NowUs() + forUs
	h.registerFault(forUs, func() {})
}

func (h *tallyHistory) fillDisk(forUs int64) {
	r := h.someReplica()
	if r.disk == nil {
		return
	}
	h.kernel.Log("the disk of %s is full for %d us", r.addr, forUs)
	r.disk.SetFull(true)
	h.registerFault(forUs, func() { r.disk.SetFull(false) })
}

func (h *tallyHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed = true
	h.activePartitions, h.activeFaults = 0, 0
	h.checks.lastFaultEndUs, h.checks.lastPartitionEndUs = h.kernel.NowUs(), h.kernel.NowUs()
	h.network.Heal()
	for _, r := range h.replicas {
		if r.disk != nil {
			r.disk.SetFull(false)
		}
		r.stalledUntilUs = 0
		r.process.Thaw()
		r.bootIfDown()
	}
	for _, r := range h.routers {
		r.startIfDown()
	}
}
