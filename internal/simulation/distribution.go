// Distribution: an operator's configurations on their way from the controllers to
// every router. The real order of configurations, replica, tree, decisions of
// subscribers and comparisons run; agreement between the controllers is taken as
// given, as the model "registers" plays it. Any step of any process may take long.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// The deployment's bounds, as the rules name them, and how long a history is.
const (
	convergeUs         = 2_500 * Millisecond
	contactBoundUs     = 4 * Second
	distributionUs     = 30 * Second
	distributionCalmUs = 12 * Second
	distributionCheck  = 50 * Millisecond
	mostStepUs         = 400 * Millisecond
	ordinaryStepUs     = 2 * Millisecond
	connectionBrokenUs = 1_500 * Millisecond
)

// release is a version of the register.
type release struct {
	version int64
	order   routeconfig.Submission
	entries map[string]string
	ackedUs int64 // 0 while nobody has acknowledged it
}

// distribution is everything in one history of configurations.
type distribution struct {
	kernel       *Kernel
	network      *Network
	controllers  []*source
	routers      []*sink
	releases     []*release // by version of the register, from 1 on
	chosen       messages.ConfigBody
	refused      map[int64]bool // versions of configurations that were refused
	slowSteps    int            // how many steps in a thousand take long
	coreUs       int64          // when a fault of the core last began or ended
	coreTroubles int            // controllers that are slowed now
	slowed       map[*Process]bool
	healed       bool
	defects      Defects
	counts       Counts
}

// PlayDistribution plays the configurations' history of a seed.
func PlayDistribution(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	d := &distribution{kernel: k, network: NewNetwork(k), refused: map[int64]bool{}, slowed: map[*Process]bool{}, defects: options.Defects}
	d.slowSteps = []int{0, 20, 60, 120, 250, 500}[k.Below(6)]
	for i := range 3 + k.Below(3) {
		d.controllers = append(d.controllers, newSource(d, i))
	}
	for i := range 6 + k.Below(15) {
		d.routers = append(d.routers, newSink(d, i))
	}
	for _, c := range d.controllers {
		c.boot()
	}
	d.release()
	for _, r := range d.routers {
		r.boot()
	}
	d.plan()
	d.watch()
	k.RunUntil(distributionUs)
	d.heal()
	k.RunUntil(distributionUs + distributionCalmUs)
	d.counts.Distributions = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: d.counts}
}

// step has something happen after the time that a step of a process takes.
func (d *distribution) step(p *Process, run func()) {
	p.After(d.stepUs(p), run)
}

func (d *distribution) stepUs(p *Process) int64 {
	if d.slowed[p] {
		return d.kernel.Between(0, 2*mostStepUs)
	}
	if d.kernel.Chance(d.slowSteps) {
		return d.kernel.Between(0, mostStepUs)
	}
	return d.kernel.Between(0, ordinaryStepUs)
}

// every repeats something in the present life of a process; each turn may be late.
func (d *distribution) every(p *Process, periodUs int64, run func()) {
	p.After(periodUs+d.stepUs(p), func() {
		run()
		d.every(p, periodUs, run)
	})
}

// call carries a question and its answer; ended is called once, with false where no
// answer came in time.
func (d *distribution) call(from *Process, fromAddr string, to *Process, toAddr string, waitUs int64, serve func() func(), ended func(bool)) {
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			ended(ok)
		}
	}
	d.network.Send(fromAddr, toAddr, func() {
		to.Deliver(func() {
			d.step(to, func() {
				receive := serve()
				if receive == nil {
					return
				}
				d.network.Send(toAddr, fromAddr, from.InLife(func() {
					d.step(from, func() {
						if !done {
							receive()
						}
						finish(true)
					})
				}))
			})
		})
	})
	from.After(waitUs, func() { finish(false) })
}

// release is what an operator does: one more version of the configuration, by way of
// a controller that reaches most of the others. Some are invalid, some build on a
// version that has been overtaken; those must never be in force.
func (d *distribution) release() {
	at := d.controllers[d.kernel.Below(len(d.controllers))]
	if !at.process.Up() || at.process.frozen || !at.reachesMost() {
		return
	}
	version, base := d.chosen.Version+int64(1+d.kernel.Below(3)), d.chosen.Version
	raw := d.draw(version)
	switch {
	case len(d.releases) == 0:
	case d.kernel.Chance(100):
		raw = invalidConfiguration(version)
	case d.kernel.Chance(100) && base > 1:
		base--
	}
	order := routeconfig.ParseSubmission(raw)
	order.Base = base
	next, err := order.Apply(d.chosen)
	if err != nil {
		d.refused[version] = true
		d.counts.Refused++
		return
	}
	delete(d.refused, version)
	d.accept(at, next, order)
}

func invalidConfiguration(version int64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"bad","host":"h","prefix":"/bad/","kind":"idempotent","cutoffMs":1000,"service":"nowhere"}],"services":[]}`, version)
}

// draw makes a configuration of some routes of a fixed set, each to one of three
// services.
func (d *distribution) draw(version int64) []byte {
	const places = 12
	out := fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"}],"routes":[`, version)
	some := false
	for i := range places {
		if d.kernel.Chance(300) {
			continue
		}
		if some {
			out = append(out, ',')
		}
		some = true
		out = fmt.Appendf(out, `{"name":"r%d","host":"h","prefix":"/r%d/","kind":"idempotent","cutoffMs":1000,"service":"s%d"}`, i, i, d.kernel.Below(3))
	}
	return append(out, "]}"...)
}

// accept is a won round: most members have accepted the value, and the proposer
// learns it, acknowledges it and tells the others.
func (d *distribution) accept(at *source, next messages.ConfigBody, order routeconfig.Submission) {
	config, err := routeconfig.ParseAccepted(order.Raw)
	if err != nil {
		d.kernel.Fail("a configuration that was taken can't be read: %v", err)
		return
	}
	entries, err := routeconfig.Entries(config)
	if err != nil {
		d.kernel.Fail("a configuration that was taken can't be cut: %v", err)
		return
	}
	d.chosen = next
	r := &release{version: int64(len(d.releases)) + 1, order: order, entries: entries}
	d.releases = append(d.releases, r)
	d.counts.Taken++
	d.kernel.Note("%s: version %d, configuration %d, is chosen", at.addr, r.version, next.Version)
	for _, c := range d.controllers {
		if c.process.Up() && !c.process.frozen && (c == at || at.reaches(c)) {
			c.accepted(r)
		}
	}
	at.learn(r)
	for _, c := range d.controllers {
		if c != at {
			at.process.After(d.stepUs(at.process), func() {
				d.network.Send(at.addr, c.addr, func() { c.process.Deliver(func() { d.step(c.process, func() { c.learn(r) }) }) })
			})
		}
	}
	d.step(at.process, func() {
		r.ackedUs = d.kernel.NowUs()
		d.kernel.Note("%s acknowledges version %d", at.addr, r.version)
		if !d.healed && d.kernel.Chance(40) {
			d.strike(at, d.kernel.Between(Second, 8*Second))
		}
	})
}

// newestDue is the newest version that every router in touch has to have by now.
func (d *distribution) newestDue() int64 {
	newest := int64(0)
	for _, r := range d.releases {
		if r.ackedUs != 0 && d.kernel.NowUs()-r.ackedUs > convergeUs {
			newest = r.version
		}
	}
	return newest
}

// coreSettled tells whether the core has been without trouble for long enough.
func (d *distribution) coreSettled() bool {
	up := 0
	for _, c := range d.controllers {
		if c.process.Up() && !c.process.frozen && c.reachesMost() {
			up++
		}
	}
	return d.coreTroubles == 0 && up > len(d.controllers)/2 && d.kernel.NowUs()-d.coreUs > contactBoundUs
}

// watch checks again and again that every router in touch is where it has to be.
func (d *distribution) watch() {
	d.kernel.After(distributionCheck, func() {
		due := d.newestDue()
		if d.coreSettled() {
			for _, r := range d.routers {
				r.checkDue(due)
			}
		}
		d.watch()
	})
}
