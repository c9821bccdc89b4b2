// Fleets: runners that send heartbeats to registrars, drain, leave, crash and come
// back at the same address, while registrars are cut off, frozen and restarted.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// Bounds of a fleet's history, and of what it has to come back to: runners that
// beat are listed soon, those that ended are not once silence can tell.
const (
	fleetFaultsUs = 40 * Second
	mostFleetCut  = 25 * Second
	listedUs      = 5 * Second
	unlistedUs    = 20 * Second
	staleUs       = 10 * Second // the same where nothing but links to some is cut
	answerWaitUs  = Second
)

// never is a moment before every history.
const never = -fleetFaultsUs

// runner is one place in the fleet: an address with one instance after another.
type runner struct {
	fleet    *fleet
	address  string
	instance int
	sequence int64
	state    runnerState
	at       int // the registrar it beats at
	life     int // rises with each end, so that old timers find nothing
	begunUs  int64
}

type runnerState int

const (
	beating runnerState = iota
	draining
	leaving
	ended
)

// fleet is everything in one history of runners.
type fleet struct {
	kernel     *Kernel
	network    *Network
	registrars []*registrar
	runners    []*runner
	gone       []endedInstance
	epoch      int64
	partial    bool
	active     int // faults of registrars under way
	turns      int // how many of them have begun or ended
	healed     bool

	partitionedAtUs int64 // when some registrars last had no way to each other
}

// endedInstance is one that has left or crashed.
type endedInstance struct {
	id   string
	atUs int64
}

// PlayFleet plays the runners' history of a seed.
func PlayFleet(seed uint64, options Options) Result { return playFleet(seed, options, false) }

// PlayFleetPartial is PlayFleet with cuts between some registrars only: one that
// does not reach the registrar at which a runner beats must not take that runner
// for silent while there is a way through others.
func PlayFleetPartial(seed uint64, options Options) Result { return playFleet(seed, options, true) }

func playFleet(seed uint64, options Options, partial bool) Result {
	k := NewKernel(seed, options.Record)
	f := &fleet{kernel: k, network: NewNetwork(k), partial: partial, partitionedAtUs: never}
	for i := range 3 + 2*k.Below(2) {
		f.registrars = append(f.registrars, &registrar{fleet: f, addr: registrarName(i), process: NewProcess(k)})
	}
	for _, r := range f.registrars {
		r.boot()
	}
	for i := range 4 + k.Below(8) {
		r := &runner{fleet: f, address: fmt.Sprintf("runner-%d:1", i+1), at: k.Below(len(f.registrars))}
		f.runners = append(f.runners, r)
		r.begin()
	}
	f.plan()
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

// begin starts another instance at the address.
func (r *runner) begin() {
	r.instance++
	r.sequence, r.state = 0, beating
	r.life++
	r.begunUs = r.fleet.kernel.NowUs()
	r.fleet.kernel.Log("%s begins", r.id())
	r.beat(r.life)
}

func (r *runner) id() string { return fmt.Sprintf("%s#%d", r.address, r.instance) }

// end is a crash, or the end after leaving.
func (r *runner) end() {
	r.fleet.kernel.Log("%s ends", r.id())
	r.fleet.gone = append(r.fleet.gone, endedInstance{r.id(), r.fleet.kernel.NowUs()})
	r.state = ended
	r.life++
}

// beat sends a heartbeat, or the word of leaving, and goes on to another
// registrar where no answer comes.
func (r *runner) beat(life int) {
	if r.life != life {
		return
	}
	r.sequence++
	to, id, answered := r.fleet.registrars[r.at], r.id(), false
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
				if answered = true; leaves && r.life == life {
					r.end()
				}
			})
		})
	})
	r.fleet.kernel.After(answerWaitUs, func() {
		if !answered {
			r.at = (r.at + 1) % len(r.fleet.registrars)
		}
	})
	r.fleet.kernel.After(heartbeatUs, func() { r.beat(life) })
}

// plan draws what happens to runners and registrars.
func (f *fleet) plan() {
	k := f.kernel
	for range 3 + k.Below(8) {
		// The first one only beats: where nobody is heard, silence says nothing.
		r := f.runners[1+k.Below(len(f.runners)-1)]
		k.After(calmPhaseUs+k.Between(0, fleetFaultsUs), func() { f.turn(r) })
	}
	faults := 1 + k.Below(4)
	if f.partial {
		faults = 1 + k.Below(2*len(f.registrars)) // so that some reach each other through two others only
	}
	for range faults {
		victim := f.registrars[k.Below(len(f.registrars))]
		forUs := k.Between(minFaultUs, mostFleetCut)
		strike := []func(*registrar, int64){f.cutOff, f.cutOff, f.cutOneWay, f.freeze, f.crash, f.lose}[k.Below(6)]
		if f.partial {
			strike = f.cutOne
		}
		k.After(calmPhaseUs+k.Between(0, fleetFaultsUs), func() { f.strike(strike, victim, forUs) })
	}
}

func (f *fleet) strike(fault func(*registrar, int64), victim *registrar, forUs int64) {
	if f.healed {
		return
	}
	f.active++
	f.turns++
	fault(victim, forUs)
	f.later(forUs, func() {
		f.active--
		f.turns++
	})
}

// turn is the next thing in a runner's life.
func (f *fleet) turn(r *runner) {
	k := f.kernel
	if f.healed {
		return
	}
	switch {
	case r.state == ended:
		r.begin()
	case r.state == beating && k.Chance(400):
		k.Log("%s drains", r.id())
		r.state = draining
		k.After(k.Between(0, 3*Second), func() {
			if r.state == draining {
				r.state = leaving
			}
		})
	case k.Chance(500):
		r.end()
		k.After(k.Between(Millisecond, 10*Second), func() {
			if r.state == ended {
				r.begin()
			}
		})
	default:
		r.state = leaving
	}
}

func (f *fleet) later(forUs int64, end func()) {
	f.kernel.After(forUs, func() {
		if !f.healed {
			end()
		}
	})
}

func (f *fleet) cutLinks(from, to string, forUs int64) {
	l := f.network.Link(from, to)
	l.Cuts++
	f.notePartition()
	f.later(forUs, func() {
		f.notePartition()
		l.Cuts--
	})
}

// cutOff parts a registrar from the others; some runners still reach it.
func (f *fleet) cutOff(victim *registrar, forUs int64) {
	f.kernel.Log("%s is cut off for %d us", victim.addr, forUs)
	for _, other := range victim.others() {
		f.cutLinks(victim.addr, other.addr, forUs)
		f.cutLinks(other.addr, victim.addr, forUs)
	}
	for _, r := range f.runners {
		if f.kernel.Chance(500) {
			f.cutLinks(r.address, victim.addr, forUs)
		}
	}
	f.later(forUs, f.conclusionsOf(victim))
}

// cutOne parts two registrars; both see the others.
func (f *fleet) cutOne(victim *registrar, forUs int64) {
	others := victim.others()
	other := others[f.kernel.Below(len(others))]
	f.kernel.Log("%s and %s are cut apart for %d us", victim.addr, other.addr, forUs)
	f.cutLinks(victim.addr, other.addr, forUs)
	f.cutLinks(other.addr, victim.addr, forUs)
	for _, r := range []*registrar{victim, other} {
		f.later(forUs, f.conclusionsOf(r))
		f.later(forUs, f.endedUnlistedAt(r))
	}
}

// settled tells that a runner beats, and has for long enough to be known.
func (r *runner) settled() bool {
	return r.state == beating && r.fleet.kernel.NowUs()-r.begunUs >= listedUs
}

func (f *fleet) cutOneWay(victim *registrar, forUs int64) {
	f.kernel.Log("%s does not hear the others for %d us", victim.addr, forUs)
	for _, other := range victim.others() {
		f.cutLinks(other.addr, victim.addr, forUs)
	}
}

func (f *fleet) freeze(victim *registrar, forUs int64) {
	f.kernel.Log("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	f.later(forUs, victim.process.Thaw)
}

func (f *fleet) crash(victim *registrar, forUs int64) {
	f.kernel.Log("%s crashes", victim.addr)
	victim.process.Stop()
	f.later(forUs, func() { f.restart(victim) })
}

// lose is a crash that takes along what the registrar would recall.
func (f *fleet) lose(victim *registrar, forUs int64) {
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
