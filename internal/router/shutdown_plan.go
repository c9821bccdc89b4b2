// The schedule of a graceful shutdown: which requests a draining router still forwards, and when
// it ends those in flight. The time is an argument; the plan reads no clock.

package router

import "math"

const (
	// noticeUs is how long the platform takes to notice that the router is not ready: two failed
	// readiness probes at one per second, plus a margin. Until then it routes new connections here.
	noticeUs = 2_600_000

	// exitMarginUs is how long before the end of the grace period the process exits. The grace
	// period starts when the platform sends SIGTERM, exiting takes time, and CPU throttling may
	// pause the process for 100 ms.
	exitMarginUs = 150_000

	// finalPhaseUs is how long before its end the router answers every request that has no
	// response yet. No response takes longer than lateReadUs past the request's deadline.
	finalPhaseUs = lateReadUs
)

// shutdownPhase is a phase of a graceful shutdown.
type shutdownPhase int

const (
	phaseNotice shutdownPhase = iota // connections are still accepted
	phaseDrain                       // only requests on accepted connections are served
	phaseFinal                       // requests without a response are answered with an error status
	phaseOver                        // the process ends
)

// shutdownPlan holds the times of a graceful shutdown, in microseconds of the router's clock. A
// nil plan is that of a router that is not draining.
type shutdownPlan struct {
	noticedUs int64 // the platform routes no more connections here
	finalUs   int64 // the last deadline of a forwarded request; phaseFinal begins
	overUs    int64 // the process ends
}

// newShutdownPlan returns the plan of a shutdown that began at nowUs and may take graceUs.
func newShutdownPlan(nowUs, graceUs int64) *shutdownPlan {
	overUs := nowUs + max(graceUs-exitMarginUs, 0)
	return &shutdownPlan{noticedUs: nowUs + noticeUs, finalUs: overUs - finalPhaseUs, overUs: overUs}
}

// phase returns the phase of the shutdown at nowUs.
func (p *shutdownPlan) phase(nowUs int64) shutdownPhase {
	switch {
	case nowUs >= p.overUs:
		return phaseOver
	case nowUs >= p.finalUs:
		return phaseFinal
	case nowUs >= p.noticedUs:
		return phaseDrain
	}
	return phaseNotice
}

// mayForward reports whether a request with this deadline may be forwarded: only if it is certain
// to end before the process does.
func (p *shutdownPlan) mayForward(deadlineUs int64) bool { return deadlineUs <= p.lastDeadlineUs() }

// lastDeadlineUs returns the latest deadline of a request that may be forwarded.
func (p *shutdownPlan) lastDeadlineUs() int64 {
	if p == nil {
		return math.MaxInt64
	}
	return p.finalUs
}
