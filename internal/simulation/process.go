// Processes: up, down or frozen, each with a monotonic clock of its own and a
// time of day that steps.

package simulation

// Process is one run of a program after another at the same place. What was
// scheduled in one life never happens in the next; what comes while it is
// frozen happens at the thaw, in order.
type Process struct {
	kernel *Kernel
	life   int64
	up     bool
	frozen bool
	late   []func()

	ratePpm   int64 // how much faster than virtual time the clock runs
	bootUs    int64
	daySkewUs int64
}

// NewProcess is down, with a clock that runs a little wrong.
func NewProcess(k *Kernel) *Process {
	const mostWrongPpm = 200
	return &Process{kernel: k, ratePpm: k.Between(-mostWrongPpm, mostWrongPpm)}
}

// Up tells whether the process lives, frozen or not.
func (p *Process) Up() bool { return p.up }

// Start begins a life; its monotonic clock begins anew.
func (p *Process) Start() {
	p.life++
	p.up, p.frozen, p.late = true, false, nil
	p.bootUs = p.kernel.nowUs
}

// Stop ends a life at once.
func (p *Process) Stop() {
	p.life++
	p.up, p.frozen, p.late = false, false, nil
}

// Freeze holds everything up until Thaw.
func (p *Process) Freeze() { p.frozen = p.up }

// Thaw lets happen what came meanwhile.
func (p *Process) Thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	late := p.late
	p.late = nil
	for _, run := range late {
		run()
	}
}

// NowUs is the monotonic clock, which starts at 1 with each life.
func (p *Process) NowUs() int64 {
	const million = 1_000_000
	elapsed := p.kernel.nowUs - p.bootUs
	return 1 + elapsed + elapsed*p.ratePpm/million
}

// StepTimeOfDay jumps the time of day. Nothing may depend on it.
func (p *Process) StepTimeOfDay(byUs int64) { p.daySkewUs += byUs }

// TimeOfDayUs is what the process takes for the time of day.
func (p *Process) TimeOfDayUs() int64 { return p.kernel.nowUs + p.daySkewUs }

// InLife binds something to the present life: it happens in it or never.
func (p *Process) InLife(run func()) func() { return p.inLifeOf(p.life, run) }

func (p *Process) inLifeOf(life int64, run func()) func() {
	var whenAwake func()
	whenAwake = func() {
		switch {
		case p.life != life || !p.up:
		case p.frozen:
			p.late = append(p.late, whenAwake)
		default:
			run()
		}
	}
	return whenAwake
}

// Deliver has something happen in whatever life the process is in now.
func (p *Process) Deliver(run func()) { p.InLife(run)() }

// After is a timer that ends with the life that set it.
func (p *Process) After(delayUs int64, run func()) { p.kernel.After(delayUs, p.InLife(run)) }
