// Model of a process, which is up, down or frozen and has its own monotonic clock and
// a time of day that can step.

package simulation

// Process models the process of one machine across restarts. A life is the time from a
// start to a stop. Callbacks scheduled in one life never run in the next; those that
// become due while the process is frozen run at the thaw, in order.
type Process struct {
	kernel   *Kernel
	life     int64
	up       bool
	frozen   bool
	deferred []func()
	ranUs    int64 // virtual time at which the process ran last, if it is down or frozen

	ratePpm   int64 // rate error of the monotonic clock against virtual time
	bootUs    int64
	daySkewUs int64
}

// NewProcess returns a process that is down and whose clock has a small random rate error.
func NewProcess(k *Kernel) *Process {
	const maxRateErrorPpm = 200
	return &Process{kernel: k, ratePpm: k.Between(-maxRateErrorPpm, maxRateErrorPpm)}
}

// Up reports whether the process is running, frozen or not.
func (p *Process) Up() bool { return p.up }

// Start begins a new life and restarts the monotonic clock.
func (p *Process) Start() {
	p.life++
	p.up, p.frozen, p.deferred = true, false, nil
	p.bootUs = p.kernel.nowUs
}

// Stop ends the current life immediately and drops its callbacks.
func (p *Process) Stop() {
	p.ranUs = p.RanUs()
	p.life++
	p.up, p.frozen, p.deferred = false, false, nil
}

// Freeze defers all callbacks of the process until Thaw.
func (p *Process) Freeze() {
	p.ranUs = p.RanUs()
	p.frozen = p.up
}

// RanUs returns the virtual time at which the process ran last: now, unless it is down or frozen.
func (p *Process) RanUs() int64 {
	if p.up && !p.frozen {
		return p.kernel.nowUs
	}
	return p.ranUs
}

// Thaw ends a freeze and runs the deferred callbacks in order.
func (p *Process) Thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	deferred := p.deferred
	p.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// NowUs returns the monotonic clock, which starts at 1 in each life.
func (p *Process) NowUs() int64 {
	const million = 1_000_000
	elapsed := p.kernel.nowUs - p.bootUs
	return 1 + elapsed + elapsed*p.ratePpm/million
}

// StepTimeOfDay steps the time of day. Correctness must not depend on it.
func (p *Process) StepTimeOfDay(byUs int64) { p.daySkewUs += byUs }

// TimeOfDayUs returns the time of day as the process sees it.
func (p *Process) TimeOfDayUs() int64 { return p.kernel.nowUs + p.daySkewUs }

// InLife returns a callback that does nothing unless it runs in the current life.
func (p *Process) InLife(run func()) func() { return p.inLifeOf(p.life, run) }

func (p *Process) inLifeOf(life int64, run func()) func() {
	var runWhenAwake func()
	runWhenAwake = func() {
		switch {
		case p.life != life || !p.up:
		case p.frozen:
			p.deferred = append(p.deferred, runWhenAwake)
		default:
			run()
		}
	}
	return runWhenAwake
}

// Deliver runs a callback in the current life, after the thaw if the process is frozen.
func (p *Process) Deliver(run func()) { p.InLife(run)() }

// After schedules a callback that is dropped when the current life ends.
func (p *Process) After(delayUs int64, run func()) { p.kernel.After(delayUs, p.InLife(run)) }
