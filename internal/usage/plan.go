// The plan of the holder: which window to close, which to report, and when to try again.

package usage

import "beechtide.org/beechtide/internal/messages"

// Times of a plan, in microseconds.
const (
	// SettleUs is how long after its end a window is closed: reports of routers are on
	// their way for less.
	SettleUs = int64(2_000_000)
	// GiveUpUs is how long after its end a window is closed even if a controller has not
	// said what it has.
	GiveUpUs = int64(4_500_000)
	// TryUs is for how long the holder tries to hear of all controllers before it closes a
	// window without one of them.
	TryUs = int64(1_500_000)
	// RefillUs is how long after the start of a controller the routers have told it again
	// what an earlier process of it had.
	RefillUs = int64(2_000_000)
	// minPauseUs and maxPauseUs bound the pause after a call that failed; it doubles
	// with every failure in a row.
	minPauseUs = int64(200_000)
	maxPauseUs = int64(2_000_000)
	// closePauseUs is the pause after a window could not be closed.
	closePauseUs = int64(300_000)
)

// Config is the windows, and the randomness of pauses.
type Config struct {
	LengthUs int64
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// View is the input of a plan.
type View struct {
	NowUs    int64 // of the monotonic clock
	TimeUs   int64 // of day; 0 if it is not known
	Ledger   messages.UsageLedger
	Counted  bool  // this controller has counts of a window that has ended
	Oldest   int64 // the oldest such window
	IsHolder bool
}

// Step is what the holder does next. Either may be empty.
type Step struct {
	Close  int64                 // the window to be closed; 0: none
	Report *messages.UsageWindow // the window to be reported
}

// Plan is one controller's plan. It starts anew with a process; what a predecessor has
// reported is reported again exactly as it was.
type Plan struct {
	config    Config
	reported  int64 // the newest window that the platform has accepted from this process
	searched  int64 // the newest window up to which no count was found anywhere
	nextUs    int64 // no call before then
	pauseUs   int64
	closeUs   int64 // nothing is closed before then
	tried     int64 // the window that was last tried to be closed
	triedUs   int64 // since when
	closing   bool
	reporting bool
}

// NewPlan returns a plan.
func NewPlan(config Config) *Plan { return &Plan{config: config} }

// Step returns what to do next. Work that it has returned is under way until Closed or
// Answered.
func (p *Plan) Step(v View) Step {
	var step Step
	if !p.closing && v.NowUs >= p.closeUs {
		step.Close = p.due(v)
	}
	if pending := Pending(v.Ledger, p.reported); !p.reporting && len(pending) > 0 && v.NowUs >= p.nextUs {
		step.Report = &pending[0]
	}
	return step
}

// Needed reports whether a step has work for the holder.
func (s Step) Needed() bool { return s.Close > 0 || s.Report != nil }

// due returns the window that is to be closed now; 0 if there is none.
func (p *Plan) due(v View) int64 {
	last := p.ended(v.TimeUs, SettleUs)
	switch {
	case v.TimeUs == 0, len(v.Ledger.Pending) >= MaxWindows:
		return 0
	case v.Ledger.Next > 0 && v.Ledger.Next <= last:
		return v.Ledger.Next
	case v.Ledger.Next > 0:
		return 0
	case v.Counted && v.Oldest <= last:
		return v.Oldest
	case v.IsHolder && last > p.searched:
		return last // others may have counts of it or of an earlier one
	}
	return 0
}

// ended returns the newest window that has ended so long ago.
func (p *Plan) ended(timeUs, agoUs int64) int64 {
	return WindowOf(timeUs-agoUs, p.config.LengthUs) - 1
}

// MayClose reports whether a window may be closed although a controller has not said
// what it has.
func (p *Plan) MayClose(window, timeUs, nowUs int64) bool {
	return window <= p.ended(timeUs, GiveUpUs) && nowUs-p.triedUs >= TryUs
}

// Closing records that the closing of a window has begun.
func (p *Plan) Closing(window, nowUs int64) {
	p.closing = true
	if p.tried != window {
		p.tried, p.triedUs = window, nowUs
	}
}

// Reporting records that the call for a window has begun.
func (p *Plan) Reporting() { p.reporting = true }

// Closed records that the closing of a window has ended, and whether it was closed.
func (p *Plan) Closed(done bool, nowUs int64) {
	p.closing = false
	if !done {
		p.closeUs = nowUs + closePauseUs
	}
}

// Searched records that nobody has a count of a window or of an earlier one.
func (p *Plan) Searched(window int64) { p.searched = max(p.searched, window) }

// Reported returns the newest window that the platform has accepted from this process.
func (p *Plan) Reported() int64 { return p.reported }

// Answered records the outcome of a call: whether the platform has accepted the window.
func (p *Plan) Answered(window int64, accepted bool, nowUs int64) {
	p.reporting = false
	if accepted {
		p.reported, p.pauseUs, p.nextUs = max(p.reported, window), 0, nowUs
		return
	}
	p.pauseUs = min(max(2*p.pauseUs, minPauseUs), maxPauseUs)
	p.nextUs = nowUs + p.pauseUs/2 + int64(float64(p.pauseUs/2)*p.config.Jitter())
}
