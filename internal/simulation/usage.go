// Model "usage": routers count requests and the lease holder reports them to the platform, while
// holders fail, clocks jump and the platform loses responses. usage.Counter, Collector and Plan,
// clocksync.Clock and lease.Role are the production code; the register and the platform are
// modelled.

package simulation

import (
	"fmt"

	"beechtide.org/beechtide/internal/clocksync"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/usage"
)

// Durations and bounds of a usage history.
const (
	windowUs         = 5 * Second
	usageDelayUs     = 10 * Second // after the end of a window, until it must have been reported
	usageFaultsFrom  = 4 * Second  // by then processes have discovered each other
	usageFaultsUs    = 30 * Second
	usageRecoveryUs  = 25 * Second // after the last fault
	meterReportUs    = 400 * Millisecond
	meterCompareUs   = 500 * Millisecond
	meterQueryWaitUs = 700 * Millisecond
	usageStoreUs     = Second
	// Requests of the last usageLossUs may be on no controller's disk if there was no
	// controller fault for usageUndisturbedUs.
	usageLossUs        = 2 * Second
	usageUndisturbedUs = 8 * Second
	meterReceivers     = 2
	maxIdlePeriods     = 5 // periods without a change after which a report is sent anyway
	clockToleranceUs   = 60 * Millisecond
	maxClockJumpUs     = 2_500 * Millisecond
	requestEveryUs     = 20 * Millisecond // mean interval at one router
	usageTenants       = 4
	dayStartUs         = 1000 * windowUs // time of day at the start of a history
)

// timeOfDayUs returns the time of day by a machine's own clock.
func timeOfDayUs(p *Process) int64 { return dayStartUs + p.TimeOfDayUs() }

// usageHistory is the state of one simulated history.
type usageHistory struct {
	*injector
	group     *leaseGroup
	reporters []*reporter
	meters    []*meter
	platform  *platform
	checks    *usageChecks
	defects   Defects
	// disturbedUs is the start of the last kill or freeze of a controller. No fault lasts longer
	// than usageUndisturbedUs minus the recovery time.
	disturbedUs int64
}

// PlayUsage simulates the usage history of a seed.
func PlayUsage(seed uint64, options Options) Result {
	k := NewKernel(seed, options.Record)
	h := newUsageHistory(k, options.Defects, 3+2*k.Below(2), 3+k.Below(4))
	h.scheduleFaults()
	k.RunUntil(usageFaultsFrom + usageFaultsUs)
	h.heal()
	k.RunUntil(k.NowUs() + usageRecoveryUs)
	h.checks.checkComplete()
	counts := Counts{UsageHistories: 1, UsageWindows: int64(len(h.platform.accepted)), LeaseTakeovers: h.group.register.holderChanges}
	return Result{Seed: seed, Failure: k.failure, History: k.history, Counts: counts}
}

func newUsageHistory(k *Kernel, defects Defects, reporters, meters int) *usageHistory {
	h := &usageHistory{injector: &injector{kernel: k, network: NewNetwork(k)}, defects: defects}
	h.checks = &usageChecks{history: h, started: map[int64]map[string]int64{}, lost: map[int64]int64{}}
	h.platform = &platform{history: h, holders: map[int64]string{}, accepted: map[int64]map[string]int64{}, lastReportUs: map[string]int64{}}
	h.group = &leaseGroup{kernel: k, network: h.network, times: controllerLeaseTimes}
	if defects.ActWithoutWaiting {
		h.group.times.LeaseUs, h.group.times.InFlightUs = 0, 0
	}
	for i := range reporters {
		p := &reporter{history: h, leaseMember: h.group.add(fmt.Sprintf("c%d", i+1), NewProcess(k))}
		p.onLearn = func(body messages.LeaseBody) {
			if !defects.ReportWithoutAgreement {
				p.collector.DropClosed(body.Usage.Next)
			}
		}
		h.reporters = append(h.reporters, p)
	}
	for i := range meters {
		h.meters = append(h.meters, &meter{history: h, addr: fmt.Sprintf("m%d", i+1), process: NewProcess(k)})
	}
	for _, p := range h.reporters {
		p.boot()
	}
	for _, m := range h.meters {
		m.boot()
	}
	return h
}

// reporter models the usage part of a controller.
type reporter struct {
	*leaseMember
	history    *usageHistory
	clock      clocksync.Clock
	collector  *usage.Collector
	plan       *usage.Plan
	starts     int64
	storedRows []messages.UsageRow // on disk
}

func (p *reporter) boot() {
	p.process.Start()
	p.starts++
	p.clock = clocksync.Clock{Votes: true}
	p.collector = usage.NewCollector()
	p.collector.Merge(p.storedRows)
	p.plan = usage.NewPlan(usage.Config{LengthUs: windowUs, Jitter: func() float64 { return float64(p.history.kernel.Below(1000)) / 1000 }})
	p.leaseMember.boot()
	p.clock.Observe(timeOfDayUs(p.process), p.nowUs())
	p.every(roleEveryUs, p.delayed(p.step))
	p.every(meterCompareUs, p.compareClocks)
	p.every(usageStoreUs, func() { p.storedRows = p.collector.Rows(0, 1<<62) })
}

// refilling reports whether the collector is still being refilled after a start, as in package
// controller.
func (p *reporter) refilling() bool { return p.nowUs() < usage.RefillUs }

// timeUs returns the time of day by this controller's synchronized clock.
func (p *reporter) timeUs() int64 {
	if p.history.defects.TrustOwnClock {
		return timeOfDayUs(p.process)
	}
	timeUs, _ := p.clock.TimeUs(p.nowUs())
	return timeUs
}

func (p *reporter) compareClocks() {
	for _, other := range p.history.reporters {
		if other == p {
			continue
		}
		sentUs, timeUs, agreed := p.nowUs(), int64(0), false
		p.callMember(other.leaseMember, func() { timeUs, agreed = other.clock.TimeUs(other.nowUs()) }, func() {
			p.clock.AddSample(other.addr, timeUs, agreed, sentUs, p.nowUs())
		})
	}
}

func (p *reporter) step() {
	p.clock.Observe(timeOfDayUs(p.process), p.nowUs())
	if p.knownVersion == 0 && p.group.register.version > 0 {
		// The controller that changed the register has not published the change. As a controller
		// completes rounds that another one left unfinished, the register is read.
		p.readRegister()
		return
	}
	oldest, counted := p.collector.Oldest()
	step := p.plan.Step(usage.View{
		NowUs: p.nowUs(), TimeUs: p.timeUs(), Ledger: p.knownBody.Usage, HasCounts: counted, Oldest: oldest,
		IsHolder: p.knownBody.Lease.Holder == p.member(),
	})
	grant := p.stepRole(step.HasWork(), p.step)
	if !grant.MayAct {
		return
	}
	if step.Close > 0 && !p.refilling() {
		p.plan.BeginClose(step.Close, p.nowUs())
		p.closeWindow(step.Close)
	}
	if step.Report != nil {
		p.plan.BeginReport()
		p.report(*step.Report, grant.Fence)
	}
}

// readRegister reads the register from a majority.
func (p *reporter) readRegister() {
	if p.roundActive {
		return
	}
	p.roundActive = true
	p.runRound(func(*messages.LeaseBody) bool { return false }, func(bool, messages.LeaseBody) { p.roundActive = false })
}

// closeWindow collects the rows of a window from all controllers and proposes their sums to the
// register.
func (p *reporter) closeWindow(window int64) {
	body, awaited, ended := p.knownBody, len(p.history.reporters)-1, false
	agree := func() {
		if ended {
			return
		}
		ended = true
		p.agree(body, window, awaited == 0)
	}
	for _, other := range p.history.reporters {
		if other == p {
			continue
		}
		var rows []messages.UsageRow
		refilling := false
		p.callMember(other.leaseMember, func() {
			rows, refilling = other.collector.Rows(body.Usage.Next, window), other.refilling()
		}, func() {
			p.collector.Merge(rows)
			if refilling {
				return
			}
			if awaited--; awaited == 0 {
				agree()
			}
		})
	}
	p.process.After(meterQueryWaitUs, agree)
}

func (p *reporter) agree(body messages.LeaseBody, window int64, complete bool) {
	mayClose := complete || p.plan.MayCloseIncomplete(window, p.timeUs(), p.nowUs())
	oldest, counted := p.collector.Oldest()
	if body.Usage.Next == 0 && counted {
		window = min(window, oldest)
	}
	if body.Usage.Next == 0 && !counted && mayClose {
		p.plan.RecordEmpty(window)
		mayClose = false
	}
	if !mayClose {
		p.plan.EndClose(false, p.nowUs())
		return
	}
	counts, reported := p.collector.Total(window), p.plan.Reported()
	edit := func(b *messages.LeaseBody) bool {
		return b.Lease == body.Lease && usage.Close(&b.Usage, window, counts, reported)
	}
	p.runRound(edit, func(ok bool, _ messages.LeaseBody) { p.plan.EndClose(ok, p.nowUs()) })
}

// report sends a window to the platform, unless the confirmation of the lease has expired.
func (p *reporter) report(window messages.UsageWindow, fence int64) {
	answered := false
	answer := func(accepted bool) {
		if !answered {
			answered = true
			p.plan.EndReport(window.Window, accepted, p.nowUs())
		}
	}
	if p.history.defects.ReportWithoutAgreement {
		window.Counts = p.collector.Total(window.Window)
	}
	if !p.role.MayCall(fence, p.nowUs()) && !p.history.defects.ActWithoutWaiting {
		answer(false)
		return
	}
	p.recordFenceUsed(fence)
	p.process.After(3*Second, func() { answer(false) })
	p.history.platform.call(p, window, fence, func(status int) {
		if status == statusRefused {
			p.role.RecordRefusal(fence)
		}
		answer(status == statusAccepted)
	})
}

// meter models the usage part of a router.
type meter struct {
	history      *usageHistory
	addr         string
	process      *Process
	clock        clocksync.Clock
	counter      *usage.Counter
	starts       int
	receivers    map[string]*meterReceiver
	startTimesUs []int64 // start times of all requests of this process
	deferredUs   []int64 // start times of requests not yet assigned to a window
	bootUs       int64
}

// meterReceiver is the state of a router's reports to one controller.
type meterReceiver struct {
	life, change int64
	waiting      bool
	idle         int
}

func (m *meter) boot() {
	m.process.Start()
	m.starts++
	m.clock = clocksync.Clock{}
	m.clock.Observe(timeOfDayUs(m.process), m.process.NowUs())
	m.counter = usage.NewCounter(fmt.Sprintf("%s/%d", m.addr, m.starts))
	m.receivers, m.startTimesUs, m.deferredUs = map[string]*meterReceiver{}, nil, nil
	m.bootUs = m.history.kernel.NowUs()
	m.every(requestEveryUs, m.countRequest)
	m.every(meterReportUs, m.report)
	m.every(meterCompareUs, m.compareClocks)
}

func (m *meter) every(periodUs int64, run func()) {
	m.process.After(m.history.kernel.Between(periodUs/2, periodUs*3/2), func() {
		run()
		m.every(periodUs, run)
	})
}

func (m *meter) timeUs() int64 {
	if m.history.defects.TrustOwnClock {
		return timeOfDayUs(m.process)
	}
	timeUs, _ := m.clock.TimeUs(m.process.NowUs())
	return timeUs
}

// timeKnown reports whether the time of day has been synchronized, or usage.ClockWaitUs has passed.
func (m *meter) timeKnown() bool {
	_, agreed := m.clock.TimeUs(m.process.NowUs())
	return agreed || m.history.defects.TrustOwnClock || m.process.NowUs() > usage.ClockWaitUs
}

// countRequest counts a request that starts now.
func (m *meter) countRequest() {
	tenant := fmt.Sprintf("t%d", m.history.kernel.Below(usageTenants))
	if m.timeKnown() {
		m.counter.Add(usage.WindowOf(m.timeUs(), windowUs), tenant)
	} else {
		m.counter.Defer(tenant, m.process.NowUs())
		m.deferredUs = append(m.deferredUs, m.history.kernel.NowUs())
	}
	m.startTimesUs = append(m.startTimesUs, m.history.kernel.NowUs())
	m.history.checks.recordStarted(tenant)
}

func (m *meter) compareClocks() {
	m.clock.Observe(timeOfDayUs(m.process), m.process.NowUs())
	other := m.history.reporters[m.history.kernel.Below(len(m.history.reporters))]
	sentUs, timeUs, agreed := m.process.NowUs(), int64(0), false
	m.callController(other, func() { timeUs, agreed = other.clock.TimeUs(other.nowUs()) }, func() {
		m.clock.AddSample(other.addr, timeUs, agreed, sentUs, m.process.NowUs())
	})
}

func (m *meter) callController(of *reporter, there, answered func()) {
	net, back := m.history.network, m.process.InLife(answered)
	net.Send(m.addr, of.addr, func() {
		of.process.Deliver(func() {
			there()
			net.Send(of.addr, m.addr, back)
		})
	})
}

// report sends changed counts to the first running controllers, as many as receivers returns.
func (m *meter) report() {
	if m.counter.HasDeferred() && m.timeKnown() {
		sinceUs := m.process.NowUs()
		m.counter.CountDeferred(func(atUs int64) int64 { return usage.WindowOf(m.timeUs()-sinceUs+atUs, windowUs) })
		m.deferredUs = nil
	}
	sent := 0
	for _, p := range m.history.reporters {
		if !p.process.Up() || sent == m.history.receivers() {
			continue
		}
		sent++
		m.reportTo(p)
	}
}

func (h *usageHistory) receivers() int {
	if h.defects.CountAtOneController {
		return 1
	}
	return meterReceivers
}

func (m *meter) reportTo(p *reporter) {
	r := m.receivers[p.addr]
	if r == nil {
		r = &meterReceiver{}
		m.receivers[p.addr] = r
	}
	if r.waiting {
		return
	}
	rows, newest := m.counter.RowsSince(r.change)
	r.idle++
	if len(rows) == 0 && r.idle < maxIdlePeriods {
		return
	}
	r.waiting, r.idle = true, 0
	m.process.After(350*Millisecond, func() { r.waiting = false })
	life := int64(0)
	m.callController(p, func() {
		p.collector.Merge(rows)
		life = p.starts
	}, func() {
		if r.life != 0 && r.life != life && !m.history.defects.NeverResend {
			newest = 0
		}
		r.life, r.change = life, newest
	})
}

// scheduleFaults schedules the faults at random times.
func (h *usageHistory) scheduleFaults() {
	k := h.kernel
	for range 2 + k.Below(6) {
		atUs, forUs := usageFaultsFrom+k.Between(0, usageFaultsUs-8*Second), k.Between(minFaultUs, 6*Second)
		k.After(atUs, func() { usageFaults[k.Below(len(usageFaults))](h, forUs) })
	}
}

// usageFaults are the faults that plan chooses from; each lasts for about forUs.
var usageFaults = []func(h *usageHistory, forUs int64){
	(*usageHistory).killHolder, (*usageHistory).freezeHolder, (*usageHistory).cutHolderOff, (*usageHistory).cutFromPlatform,
	(*usageHistory).killHalf, (*usageHistory).jumpClocks, (*usageHistory).slowPlatform, (*usageHistory).killAllControllers,
}

func (h *usageHistory) chooseController() *reporter {
	if holder := h.group.holder(); holder != nil && h.kernel.Chance(800) {
		return h.reporters[holder.index]
	}
	return h.reporters[h.kernel.Below(len(h.reporters))]
}

func (h *usageHistory) kill(p *reporter, forUs int64) {
	h.disturbedUs = h.kernel.NowUs()
	h.kernel.Log("%s is killed for %d us", p.addr, forUs)
	p.process.Stop()
	h.endFaultAfter(forUs, func() { h.restart(p) })
}

func (h *usageHistory) restart(p *reporter) {
	if !p.process.Up() {
		p.boot()
	}
}

func (h *usageHistory) killHolder(forUs int64) { h.kill(h.chooseController(), forUs) }

func (h *usageHistory) killAllControllers(forUs int64) {
	for _, p := range h.reporters {
		h.kill(p, min(forUs, Second))
	}
}

// killHalf kills about half of the controllers and routers at once.
func (h *usageHistory) killHalf(forUs int64) {
	for _, m := range h.meters {
		if !h.kernel.Chance(500) || !m.process.Up() {
			continue
		}
		h.kernel.Log("%s is killed", m.addr)
		h.checks.recordKilled(m)
		m.process.Stop()
		h.endFaultAfter(min(forUs, 2*Second), func() { h.restartMeter(m) })
	}
	for _, p := range h.reporters {
		if h.kernel.Chance(500) {
			h.kill(p, min(forUs, 2*Second))
		}
	}
}

func (h *usageHistory) restartMeter(m *meter) {
	if !m.process.Up() {
		m.boot()
	}
}

func (h *usageHistory) freezeHolder(forUs int64) {
	p := h.chooseController()
	h.disturbedUs = h.kernel.NowUs()
	h.kernel.Log("%s freezes for %d us", p.addr, forUs)
	p.process.Freeze()
	h.endFaultAfter(forUs, func() { h.thaw(p) })
}

func (h *usageHistory) thaw(p *reporter) {
	p.thawedUs = h.kernel.NowUs()
	p.process.Thaw()
}

func (h *usageHistory) cutHolderOff(forUs int64) {
	p := h.chooseController()
	h.kernel.Log("%s is cut off from the controllers for %d us", p.addr, forUs)
	for _, other := range h.reporters {
		if other != p {
			h.cutBothWays(p.addr, other.addr, forUs)
		}
	}
}

func (h *usageHistory) cutFromPlatform(forUs int64) {
	p := h.chooseController()
	h.kernel.Log("%s is cut off from the platform for %d us", p.addr, forUs)
	h.cutBothWays(p.addr, platformAddr, forUs)
}

// jumpClocks steps the time of day of some machines, and back after forUs.
func (h *usageHistory) jumpClocks(forUs int64) {
	k := h.kernel
	byUs := k.Between(-maxClockJumpUs, maxClockJumpUs)
	k.Log("clocks jump by %d us for %d us", byUs, forUs)
	jump := func(p *Process) {
		p.StepTimeOfDay(byUs)
		k.After(forUs, func() { p.StepTimeOfDay(-byUs) })
	}
	for i, p := range h.reporters {
		if i%2 == 1 { // fewer than half
			jump(p.process)
		}
	}
	for _, m := range h.meters {
		if k.Chance(300) {
			jump(m.process)
		}
	}
}

func (h *usageHistory) slowPlatform(forUs int64) {
	h.kernel.Log("the platform is slow and loses answers for %d us", forUs)
	h.platform.activeFaults++
	h.endFaultAfter(forUs, func() { h.platform.activeFaults-- })
}

func (h *usageHistory) heal() {
	h.kernel.Log("everything heals")
	h.healed = true
	h.network.Heal()
	h.platform.activeFaults = 0
	for _, p := range h.reporters {
		h.thaw(p)
		h.restart(p)
	}
	for _, m := range h.meters {
		h.restartMeter(m)
	}
}
