// Fleets: runners that beat at registrars, drain, leave, crash and come back at
// the same address, while registrars are cut off, frozen and restarted.
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
	k.RunUntil(fleetFaultsUs + calmUs)
	f.heal()
	k.RunUntil(k.NowUs() + listedUs)
	f.checkListed()
	k.RunUntil(k.NowUs() + unlistedUs - listedUs)
	f.checkUnlisted()
	f.checkListed()
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: Counts{Fleets: 1}}
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
	r.fleet.kernel.Note("%s begins", r.id())
	r.beat(r.life)
}

func (r *runner) id() string { return fmt.Sprintf("%s#%d", r.address, r.instance) }

// end is a crash, or the end after leaving.
func (r *runner) end() {
	r.fleet.kernel.Note("%s ends", r.id())
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
				to.heartbeat(record)
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
		k.After(calmUs+k.Between(0, fleetFaultsUs), func() { f.turn(r) })
	}
	faults := 1 + k.Below(4)
	if f.partial {
		faults = 1 + k.Below(2*len(f.registrars)) // so that some reach each other through two others only
	}
	for range faults {
		victim := f.registrars[k.Below(len(f.registrars))]
		forUs := k.Between(leastFault, mostFleetCut)
		strike := []func(*registrar, int64){f.cutOff, f.cutOff, f.cutOneWay, f.freeze, f.crash, f.lose}[k.Below(6)]
		if f.partial {
			strike = f.cutOne
		}
		k.After(calmUs+k.Between(0, fleetFaultsUs), func() { f.strike(strike, victim, forUs) })
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
		k.Note("%s drains", r.id())
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

// notePartition is called as links come and go.
func (f *fleet) notePartition() {
	if !f.connected() {
		f.partitionedAtUs = f.kernel.NowUs()
	}
}

// connected tells whether every two registrars have a way to each other, be it
// through others.
func (f *fleet) connected() bool {
	reached := map[*registrar]bool{f.registrars[0]: true}
	queue := []*registrar{f.registrars[0]}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range from.others() {
			whole := f.network.Link(from.addr, to.addr).Cuts+f.network.Link(to.addr, from.addr).Cuts == 0
			if whole && !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return len(reached) == len(f.registrars)
}

// cutOff parts a registrar from the others; some runners still reach it.
func (f *fleet) cutOff(victim *registrar, forUs int64) {
	f.kernel.Note("%s is cut off for %d us", victim.addr, forUs)
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
	f.kernel.Note("%s and %s are cut apart for %d us", victim.addr, other.addr, forUs)
	f.cutLinks(victim.addr, other.addr, forUs)
	f.cutLinks(other.addr, victim.addr, forUs)
	for _, r := range []*registrar{victim, other} {
		f.later(forUs, f.conclusionsOf(r))
		f.later(forUs, f.endedUnlistedAt(r))
	}
}

// endedUnlistedAt gives a check for the end of a cut that was alone, so that all
// registrars were in contact: instances that ended are stale or gone by then.
func (f *fleet) endedUnlistedAt(victim *registrar) func() {
	turns, alone := f.turns, f.active == 1
	return func() {
		if !alone || f.turns != turns {
			return
		}
		for _, instance := range f.gone {
			sinceUs := f.kernel.NowUs() - max(instance.atUs, f.partitionedAtUs)
			if sinceUs > staleUs && victim.listed(instance.id) {
				f.kernel.Fail("%s ended, %d us have passed without a partition, and it is listed at %s", instance.id, sinceUs, victim.addr)
			}
		}
	}
}

// conclusionsOf gives a check for the end of a cut: whoever was cut off drew no
// conclusions about runners that went on beating, wherever they were heard. It
// looks at cuts that were alone, since a runner that beats at a registrar which
// is itself cut off is silent to all others, and at partial cuts that left a way
// between all registrars.
func (f *fleet) conclusionsOf(victim *registrar) func() {
	begunUs, turns, alone := f.kernel.NowUs(), f.turns, f.active == 1
	undisturbed := func() bool {
		if f.partial {
			return f.partitionedAtUs < begunUs-listedUs
		}
		return alone && f.turns == turns
	}
	life, listed := victim.process.life, map[string]bool{}
	for _, r := range f.runners {
		listed[r.id()] = r.settled() && victim.process.Up() && victim.listed(r.id())
	}
	return func() {
		for _, r := range f.runners {
			if undisturbed() && victim.process.life == life && listed[r.id()] && r.settled() && !victim.listed(r.id()) {
				f.kernel.Fail("%s beats and is no longer listed at %s, which was cut off", r.id(), victim.addr)
			}
		}
	}
}

// settled tells that a runner beats, and has for long enough to be known.
func (r *runner) settled() bool {
	return r.state == beating && r.fleet.kernel.NowUs()-r.begunUs >= listedUs
}

func (f *fleet) cutOneWay(victim *registrar, forUs int64) {
	f.kernel.Note("%s does not hear the others for %d us", victim.addr, forUs)
	for _, other := range victim.others() {
		f.cutLinks(other.addr, victim.addr, forUs)
	}
}

func (f *fleet) freeze(victim *registrar, forUs int64) {
	f.kernel.Note("%s freezes for %d us", victim.addr, forUs)
	victim.process.Freeze()
	f.later(forUs, victim.process.Thaw)
}

func (f *fleet) crash(victim *registrar, forUs int64) {
	f.kernel.Note("%s crashes", victim.addr)
	victim.process.Stop()
	f.later(forUs, func() { f.restart(victim) })
}

// lose is a crash that takes along what the registrar would recall.
func (f *fleet) lose(victim *registrar, forUs int64) {
	victim.kept = nil
	f.crash(victim, forUs)
}

func (f *fleet) restart(victim *registrar) {
	if !victim.process.Up() {
		victim.boot()
	}
}

func (f *fleet) heal() {
	f.kernel.Note("everything heals")
	f.healed = true
	f.network.Heal()
	for _, r := range f.registrars {
		r.process.Thaw()
		f.restart(r)
	}
}

// checkListed has every runner that beats be listed at every registrar.
func (f *fleet) checkListed() {
	for _, r := range f.runners {
		for _, at := range f.registrars {
			if r.settled() && !at.listed(r.id()) {
				record, known := at.runners.Record(r.id())
				f.kernel.Fail("%s beats and is not listed at %s: known %v, %+v", r.id(), at.addr, known, record)
			}
		}
	}
}

// checkUnlisted has no runner that ended be listed anywhere.
func (f *fleet) checkUnlisted() {
	for _, instance := range f.gone {
		for _, at := range f.registrars {
			if at.listed(instance.id) {
				f.kernel.Fail("%s has ended and is listed at %s", instance.id, at.addr)
			}
		}
	}
}
