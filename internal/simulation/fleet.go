// Models "runners" and "runners-partial": runners send heartbeats to registrars, drain, leave,
// crash and restart at the same address, while registrars are partitioned, frozen and restarted.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// Durations of a fleet history and bounds on its recovery: runners that send heartbeats are
// listed within listedUs, and runners that ended are unlisted within unlistedUs, after their
// silence has been detected.
const (
	fleetFaultsUs     = 40 * Second
	maxFleetFaultUs   = 25 * Second
	listedUs          = 5 * Second
	unlistedUs        = 20 * Second
	partialUnlistedUs = 10 * Second // bound like unlistedUs if only some links are cut
	responseTimeoutUs = Second
)

// beforeHistoryUs is a time before the start of every history.
const beforeHistoryUs = -fleetFaultsUs

// runner is an address in the fleet with successive runner instances.
type runner struct {
	fleet          *fleet
	address        string
	instance       int
	sequence       int64
	state          runnerState
	registrarIndex int // index of the registrar that receives its heartbeats
	generation     int // incremented at each start and end, which invalidates old timers
	startedUs      int64
}

type runnerState int

const (
	running runnerState = iota
	draining
	leaving
	ended
)

// fleet is the state of one simulated history of runners.
type fleet struct {
	kernel         *Kernel
	network        *Network
	registrars     []*registrar
	runners        []*runner
	endedInstances []endedInstance
	epoch          int64
	partial        bool
	activeFaults   int // active registrar faults
	faultEvents    int // number of starts and ends of registrar faults
	healed         bool

	partitionedAtUs int64 // last time at which some registrars had no path to each other
}

// endedInstance is a runner instance that has left or crashed.
type endedInstance struct {
	id   string
	atUs int64
}

// PlayFleet simulates the fleet history of a seed.
func PlayFleet(seed uint64, options Options) Result { return playFleet(seed, options, false) }

// PlayFleetPartial is PlayFleet with cuts between pairs of registrars only. A registrar that
// cannot reach the one that receives a runner's heartbeats must not consider the runner silent
// while there is a path through others.
func PlayFleetPartial(seed uint64, options Options) Result { return playFleet(seed, options, true) }

func playFleet(seed uint64, options Options, partial bool) Result {
	k := NewKernel(seed, options.Record)
	f := &fleet{kernel: k, network: NewNetwork(k), partial: partial, partitionedAtUs: beforeHistoryUs}
	for i := range 3 + 2*k.Below(2) {
		f.registrars = append(f.registrars, &registrar{fleet: f, addr: registrarName(i), process: NewProcess(k)})
	}
	for _, r := range f.registrars {
		r.boot()
	}
	for i := range 4 + k.Below(8) {
		r := &runner{fleet: f, address: fmt.Sprintf("runner-%d:1", i+1), registrarIndex: k.Below(len(f.registrars))}
		f.runners = append(f.runners, r)
		r.start()
	}
	f.scheduleEvents()
	k.RunUntil(fleetFaultsUs + calmPhaseUs)
	f.heal()
	k.RunUntil(k.NowUs() + listedUs)
	f.checkListed()
	k.RunUntil(k.NowUs() + unlistedUs - listedUs)
	f.checkUnlisted()
	f.checkListed()
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: Counts{RunnerHistories: 1}}
}

func (f *fleet) every(p *Process, periodUs int64, run func()) {
	p.After(f.kernel.Between(periodUs/2, periodUs), func() {
		run()
		f.every(p, periodUs, run)
	})
}

// start starts another instance at the address.
func (r *runner) start() {
	r.instance++
	r.sequence, r.state = 0, running
	r.generation++
	r.startedUs = r.fleet.kernel.NowUs()
	r.fleet.kernel.Log("%s begins", r.id())
	r.sendHeartbeat(r.generation)
}

func (r *runner) id() string { return fmt.Sprintf("%s#%d", r.address, r.instance) }

// endInstance ends the instance, by a crash or after it has left.
func (r *runner) endInstance() {
	r.fleet.kernel.Log("%s ends", r.id())
	r.fleet.endedInstances = append(r.fleet.endedInstances, endedInstance{r.id(), r.fleet.kernel.NowUs()})
	r.state = ended
	r.generation++
}

// sendHeartbeat sends a heartbeat, or a leave message if the runner is leaving, and switches to
// the next registrar if there is no response.
func (r *runner) sendHeartbeat(life int) {
	if r.generation != life {
		return
	}
	r.sequence++
	to, id, answered := r.fleet.registrars[r.registrarIndex], r.id(), false
	record := messages.RunnerRecord{ID: id, Service: "service", Addr: r.address, Capacity: 1, Seq: r.sequence, Draining: r.state == draining, Models: []messages.Target{}}
	leaves := r.state == leaving
	net := r.fleet.network
	net.Send(r.address, to.addr, func() {
		to.process.Deliver(func() {
			if leaves {
				to.leave(id)
			} else {
				to.receiveHeartbeat(record)
			}
			net.Send(to.addr, r.address, func() {
				if answered = true; leaves && r.generation == life {
					r.endInstance()
				}
			})
		})
	})
	r.fleet.kernel.After(responseTimeoutUs, func() {
		if !answered {
			r.registrarIndex = (r.registrarIndex + 1) % len(r.fleet.registrars)
		}
	})
	r.fleet.kernel.After(heartbeatUs, func() { r.sendHeartbeat(life) })
}

// scheduleEvents schedules the events of runners and the faults of registrars at random times.
func (f *fleet) scheduleEvents() {
	k := f.kernel
	for range 3 + k.Below(8) {
		// The first runner only sends heartbeats: without any heartbeat, a registrar cannot
		// conclude from silence that runners have ended.
		r := f.runners[1+k.Below(len(f.runners)-1)]
		k.After(calmPhaseUs+k.Between(0, fleetFaultsUs), func() { f.applyLifecycleEvent(r) })
	}
	faults := 1 + k.Below(4)
	if f.partial {
		faults = 1 + k.Below(2*len(f.registrars)) // enough that some reach each other only through two others
	}
	for range faults {
		victim := f.registrars[k.Below(len(f.registrars))]
		forUs := k.Between(minFaultUs, maxFleetFaultUs)
		strike := []func(*registrar, int64){f.cutOff, f.cutOff, f.cutOneWay, f.freeze, f.crash, f.crashAndLoseState}[k.Below(6)]
		if f.partial {
			strike = f.cutPair
		}
		k.After(calmPhaseUs+k.Between(0, fleetFaultsUs), func() { f.injectFault(strike, victim, forUs) })
	}
}

func (f *fleet) injectFault(fault func(*registrar, int64), victim *registrar, forUs int64) {
	if f.healed {
		return
	}
	f.activeFaults++
	f.faultEvents++
	fault(victim, forUs)
	f.endFaultAfter(forUs, func() {
		f.activeFaults--
		f.faultEvents++
	})
}

// applyLifecycleEvent applies a random lifecycle event to a runner.
func (f *fleet) applyLifecycleEvent(r *runner) {
	k := f.kernel
	if f.healed {
		return
	}
	switch {
	case r.state == ended:
		r.start()
	case r.state == running && k.Chance(400):
		k.Log("%s drains", r.id())
		r.state = draining
		k.After(k.Between(0, 3*Second), func() {
			if r.state == draining {
				r.state = leaving
			}
		})
	case k.Chance(500):
		r.endInstance()
		k.After(k.Between(Millisecond, 10*Second), func() {
			if r.state == ended {
				r.start()
			}
		})
	default:
		r.state = leaving
	}
}

func (f *fleet) endFaultAfter(forUs int64, end func()) {
	f.kernel.After(forUs, func() {
		if !f.healed {
			end()
		}
	})
}

func (f *fleet) cutLink(from, to string, forUs int64) {
	l := f.network.Link(from, to)
	l.Cuts++
	f.recordPartition()
	f.endFaultAfter(forUs, func() {
		f.recordPartition()
		l.Cuts--
	})
}

// cutOff partitions a registrar from the others; about half of the runners still reach it.
func (f *fleet) cutOff(victim *registrar, forUs int64) {
	f.kernel.Log("%s is cut off for %d us", victim.addr, forUs)
	for _, other := range victim.others() {
		f.cutLink(victim.addr, other.addr, forUs)
		f.cutLink(other.addr, victim.addr, forUs)
	}
	for _, r := range f.runners {
		if f.kernel.Chance(500) {
			f.cutLink(r.address, victim.addr, forUs)
		}
	}
	f.endFaultAfter(forUs, f.liveRunnersListedCheck(victim))
}

// cutPair cuts the links between two registrars; both still reach the others.
func (f *fleet) cutPair(victim *registrar, forUs int64) {
	others := victim.others()
	other := others[f.kernel.Below(len(others))]
	f.kernel.Log("%s and %s are cut apart for %d us", victim.addr, other.addr, forUs)
	f.cutLink(victim.addr, other.addr, forUs)
	f.cutLink(other.addr, victim.addr, forUs)
	for _, r := range []*registrar{victim, other} {
		f.endFaultAfter(forUs, f.liveRunnersListedCheck(r))
		f.endFaultAfter(forUs, f.endedUnlistedCheck(r))
	}
}

// isSettled reports whether a runner has been sending heartbeats for at least listedUs.
func (r *runner) isSettled() bool {
	return r.state == running && r.fleet.kernel.NowUs()-r.startedUs >= listedUs
}

func (f *fleet) cutOneWay(victim *registrar, forUs int64) {
	f.kernel.Log("%s does not hear the others for %d us", victim.addr, forUs)
	for _, other := range victim.others() {
		f.cutLink(other.addr, victim.addr, forUs)
	}
}

func (f *fleet) freeze(victim *registrar, forUs int64) {
	f.kernel.Log("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	f.endFaultAfter(forUs, victim.process.Thaw)
}

func (f *fleet) crash(victim *registrar, forUs int64) {
	f.kernel.Log("%s crashes", victim.addr)
	victim.process.Stop()
	f.endFaultAfter(forUs, func() { f.restart(victim) })
}

// crashAndLoseState crashes a registrar and deletes its stored state.
func (f *fleet) crashAndLoseState(victim *registrar, forUs int64) {
	victim.onDisk = nil
	f.crash(victim, forUs)
}

func (f *fleet) restart(victim *registrar) {
	if !victim.process.Up() {
		victim.boot()
	}
}

func (f *fleet) heal() {
	f.kernel.Log("everything heals")
	f.healed = true
	f.network.Heal()
	for _, r := range f.registrars {
		r.process.Thaw()
		f.restart(r)
	}
}
