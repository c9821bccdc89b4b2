// The lease holder's plan: which window to close, which to report, and when to retry.

package usage

import "beechtide.org/beechtide/internal/messages"

// Times of a plan, in microseconds.
const (
	// SettleUs is the time after the end of a window at which it is closed. Reports of
	// routers arrive within less.
	SettleUs = int64(2_000_000)
	// IncompleteCloseUs is the time after the end of a window from which it is closed even if the
	// rows of a controller are missing.
	IncompleteCloseUs = int64(4_500_000)
	// MinCollectUs is the minimum time for which the holder tries to collect the rows of all
	// controllers before it closes a window without some of them.
	MinCollectUs = int64(1_500_000)
	// RefillUs is the time after the start of a controller by which the routers have sent it
	// again the rows that its previous process had.
	RefillUs = int64(2_000_000)
	// minBackoffUs and maxBackoffUs bound the backoff after a failed call, which doubles with
	// every consecutive failure.
	minBackoffUs = int64(200_000)
	maxBackoffUs = int64(2_000_000)
	// closeBackoffUs is the backoff after a window could not be closed.
	closeBackoffUs = int64(300_000)
)

// Config holds the window length and the source of jitter for backoffs.
type Config struct {
	LengthUs int64 // of a window
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// View is the input of Plan.Step.
type View struct {
	NowUs     int64 // time of the monotonic clock
	TimeUs    int64 // time of day; 0 if unknown
	Ledger    messages.UsageLedger
	HasCounts bool  // this controller's collector has a window with counts
	Oldest    int64 // the oldest such window
	IsHolder  bool
}

// Step is what the lease holder does next.
type Step struct {
	Close  int64                 // the window to close; 0 for none
	Report *messages.UsageWindow // the window to report; nil for none
}

// Plan is one controller's plan. A new process starts with an empty plan, so windows that
// its predecessor reported but that are still in the ledger are reported again with the
// same counts.
type Plan struct {
	config          Config
	reported        int64 // the newest window that the platform has accepted from this process
	emptyThrough    int64 // the newest window up to which no controller has a count
	nextCallUs      int64 // earliest time of the next call
	backoffUs       int64 // backoff of the last failed call; 0 after a success
	nextCloseUs     int64 // earliest time at which a window is closed
	attemptedWindow int64 // the window whose closing was last attempted
	firstAttemptUs  int64 // time of the first attempt to close it
	closing         bool  // a window is being closed
	reporting       bool  // a call to the platform is in progress
}

// NewPlan returns a plan.
func NewPlan(config Config) *Plan { return &Plan{config: config} }

// Step returns what to do next. It returns no window to close between the calls of
// Plan.BeginClose and Plan.EndClose, and none to report between Plan.BeginReport and Plan.EndReport.
func (p *Plan) Step(v View) Step {
	var step Step
	if !p.closing && v.NowUs >= p.nextCloseUs {
		step.Close = p.windowToClose(v)
	}
	if pending := Pending(v.Ledger, p.reported); !p.reporting && len(pending) > 0 && v.NowUs >= p.nextCallUs {
		step.Report = &pending[0]
	}
	return step
}

// HasWork reports whether the step has work for the holder.
func (s Step) HasWork() bool { return s.Close > 0 || s.Report != nil }

// windowToClose returns the window to close now; 0 if there is none.
func (p *Plan) windowToClose(v View) int64 {
	newestSettled := p.newestEndedWindow(v.TimeUs, SettleUs)
	switch {
	case v.TimeUs == 0, len(v.Ledger.Pending) >= MaxWindows:
		return 0
	case v.Ledger.Next > 0 && v.Ledger.Next <= newestSettled:
		return v.Ledger.Next
	case v.Ledger.Next > 0:
		return 0
	case v.HasCounts && v.Oldest <= newestSettled:
		return v.Oldest
	case v.IsHolder && newestSettled > p.emptyThrough:
		return newestSettled // other controllers may have counts of it or of an earlier window
	}
	return 0
}

// newestEndedWindow returns the newest window that ended at least agoUs before timeUs.
func (p *Plan) newestEndedWindow(timeUs, agoUs int64) int64 {
	return WindowOf(timeUs-agoUs, p.config.LengthUs) - 1
}

// MayCloseIncomplete reports whether a window may be closed although the rows of a controller are
// missing.
func (p *Plan) MayCloseIncomplete(window, timeUs, nowUs int64) bool {
	return window <= p.newestEndedWindow(timeUs, IncompleteCloseUs) && nowUs-p.firstAttemptUs >= MinCollectUs
}

// BeginClose records the start of closing a window.
func (p *Plan) BeginClose(window, nowUs int64) {
	p.closing = true
	if p.attemptedWindow != window {
		p.attemptedWindow, p.firstAttemptUs = window, nowUs
	}
}

// BeginReport records the start of a call that reports a window.
func (p *Plan) BeginReport() { p.reporting = true }

// EndClose records the end of an attempt to close a window, and whether it succeeded.
func (p *Plan) EndClose(done bool, nowUs int64) {
	p.closing = false
	if !done {
		p.nextCloseUs = nowUs + closeBackoffUs
	}
}

// RecordEmpty records that no controller has a count of a window or of an earlier one.
func (p *Plan) RecordEmpty(window int64) { p.emptyThrough = max(p.emptyThrough, window) }

// Reported returns the newest window that the platform has accepted from this process.
func (p *Plan) Reported() int64 { return p.reported }

// EndReport records the end of a call that reports a window, and whether the platform has
// accepted it.
func (p *Plan) EndReport(window int64, accepted bool, nowUs int64) {
	p.reporting = false
	if accepted {
		p.reported, p.backoffUs, p.nextCallUs = max(p.reported, window), 0, nowUs
		return
	}
	p.backoffUs = min(max(2*p.backoffUs, minBackoffUs), maxBackoffUs)
	p.nextCallUs = nowUs + p.backoffUs/2 + int64(float64(p.backoffUs/2)*p.config.Jitter())
}
