// Model of the distribution of an operator's configurations from the controllers to every
// router. It runs the real ordering of configurations, replica, dissemination tree, parent
// policy and comparisons. Agreement between the controllers is assumed, as the model
// "registers" covers it. Any step of any process may take long.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// Bounds of the deployment, the length of a history, and the durations of steps.
const (
	convergeUs         = 2_500 * Millisecond
	contactBoundUs     = 4 * Second
	distributionUs     = 30 * Second
	distributionCalmUs = 12 * Second
	distributionCheck  = 50 * Millisecond
	maxSlowStepUs      = 400 * Millisecond
	maxOrdinaryStepUs  = 2 * Millisecond
	connectionBrokenUs = 1_500 * Millisecond
)

// release is one version of the configuration register.
type release struct {
	version    int64
	submission routeconfig.Submission
	entries    map[string]string
	ackedUs    int64 // 0 while nobody has acknowledged it
}

// distribution holds the state of one history of the distribution model.
type distribution struct {
	kernel            *Kernel
	network           *Network
	controllers       []*source
	routers           []*sink
	releases          []*release // by version of the register, from 1 on
	chosen            messages.ConfigBody
	rejected          map[int64]bool // versions of configurations that were rejected
	slowStepsPerMille int            // number of steps in a thousand that take long
	coreFaultUs       int64          // when a fault of the controllers or their links last began or ended
	activeCoreFaults  int            // number of faults that slow a controller now
	slowed            map[*Process]bool
	healed            bool
	defects           Defects
	counts            Counts
}

// PlayDistribution runs the history of configurations for a seed.
func PlayDistribution(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	d := &distribution{kernel: k, network: NewNetwork(k), rejected: map[int64]bool{}, slowed: map[*Process]bool{}, defects: options.Defects}
	d.slowStepsPerMille = []int{0, 20, 60, 120, 250, 500}[k.Below(6)]
	for i := range 3 + k.Below(3) {
		d.controllers = append(d.controllers, newSource(d, i))
	}
	for i := range 6 + k.Below(15) {
		d.routers = append(d.routers, newSink(d, i))
	}
	for _, c := range d.controllers {
		c.boot()
	}
	d.submitRelease()
	for _, r := range d.routers {
		r.boot()
	}
	d.schedule()
	d.checkPeriodically()
	k.RunUntil(distributionUs)
	d.heal()
	k.RunUntil(distributionUs + distributionCalmUs)
	d.counts.DistributionHistories = 1
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: d.counts}
}

// step runs a callback after the time that a step of a process takes.
func (d *distribution) step(p *Process, run func()) {
	p.After(d.stepUs(p), run)
}

func (d *distribution) stepUs(p *Process) int64 {
	if d.slowed[p] {
		return d.kernel.Between(0, 2*maxSlowStepUs)
	}
	if d.kernel.Chance(d.slowStepsPerMille) {
		return d.kernel.Between(0, maxSlowStepUs)
	}
	return d.kernel.Between(0, maxOrdinaryStepUs)
}

// every runs a callback periodically in the current life of a process. Each run may be late.
func (d *distribution) every(p *Process, periodUs int64, run func()) {
	p.After(periodUs+d.stepUs(p), func() {
		run()
		d.every(p, periodUs, run)
	})
}

// call sends a request and its response; ended is called once, with false if no response
// arrived in time.
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

// submitRelease submits one more version of the configuration at a controller, if that reaches a
// majority. Some versions are invalid and some have an outdated base; a rejected version
// must never be in force.
func (d *distribution) submitRelease() {
	at := d.controllers[d.kernel.Below(len(d.controllers))]
	if !at.process.Up() || at.process.frozen || !at.reachesMost() {
		return
	}
	version, base := d.chosen.Version+int64(1+d.kernel.Below(3)), d.chosen.Version
	raw := d.randomConfiguration(version)
	switch {
	case len(d.releases) == 0:
	case d.kernel.Chance(100):
		raw = invalidConfiguration(version)
	case d.kernel.Chance(100) && base > 1:
		base--
	}
	submission := routeconfig.ParseSubmission(raw)
	submission.Base = base
	next, err := submission.Apply(d.chosen)
	if err != nil {
		d.rejected[version] = true
		d.counts.ConfigsRejected++
		return
	}
	delete(d.rejected, version)
	d.accept(at, next, submission)
}

func invalidConfiguration(version int64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"bad","host":"h","prefix":"/bad/","kind":"idempotent","cutoffMs":1000,"service":"nowhere"}],"services":[]}`, version)
}

// randomConfiguration returns a random configuration: some routes of a fixed set, each to one of three
// services.
func (d *distribution) randomConfiguration(version int64) []byte {
	const maxRoutes = 12
	out := fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"}],"routes":[`, version)
	hasRoute := false
	for i := range maxRoutes {
		if d.kernel.Chance(300) {
			continue
		}
		if hasRoute {
			out = append(out, ',')
		}
		hasRoute = true
		out = fmt.Appendf(out, `{"name":"r%d","host":"h","prefix":"/r%d/","kind":"idempotent","cutoffMs":1000,"service":"s%d"}`, i, i, d.kernel.Below(3))
	}
	return append(out, "]}"...)
}

// accept models a successful round: the members that the proposer reaches have accepted the
// value, and the proposer learns it, sends it to the others and acknowledges it.
func (d *distribution) accept(at *source, next messages.ConfigBody, submission routeconfig.Submission) {
	config, err := routeconfig.ParseAccepted(submission.Raw)
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
	r := &release{version: int64(len(d.releases)) + 1, submission: submission, entries: entries}
	d.releases = append(d.releases, r)
	d.counts.ConfigsAccepted++
	d.kernel.Log("%s: version %d, configuration %d, is chosen", at.addr, r.version, next.Version)
	for _, c := range d.controllers {
		if c.process.Up() && !c.process.frozen && (c == at || at.reaches(c)) {
			c.recordAccepted(r)
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
		d.kernel.Log("%s acknowledges version %d", at.addr, r.version)
		if !d.healed && d.kernel.Chance(40) {
			d.stopOrFreeze(at, d.kernel.Between(Second, 8*Second))
		}
	})
}

// newestDue returns the newest version that every router in contact must have by now.
func (d *distribution) newestDue() int64 {
	newest := int64(0)
	for _, r := range d.releases {
		if r.ackedUs != 0 && d.kernel.NowUs()-r.ackedUs > convergeUs {
			newest = r.version
		}
	}
	return newest
}

// coreSettled reports whether the controllers and their links have been without a fault for long enough.
func (d *distribution) coreSettled() bool {
	up := 0
	for _, c := range d.controllers {
		if c.process.Up() && !c.process.frozen && c.reachesMost() {
			up++
		}
	}
	return d.activeCoreFaults == 0 && up > len(d.controllers)/2 && d.kernel.NowUs()-d.coreFaultUs > contactBoundUs
}

// checkPeriodically checks periodically that every router in contact has the version that is due.
func (d *distribution) checkPeriodically() {
	d.kernel.After(distributionCheck, func() {
		due := d.newestDue()
		if d.coreSettled() {
			for _, r := range d.routers {
				r.checkDue(due)
			}
		}
		d.checkPeriodically()
	})
}
