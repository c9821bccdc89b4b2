// The plan of a graceful shutdown: what a draining router still forwards, and when it
// ends what is in flight. Pure: the time is an argument.

package router

import "math"

const (
	// noticeUs is how long the platform needs to notice that the router is not ready:
	// two missed probes of one a second, and some. Until then it sends connections.
	noticeUs = 2_600_000

	// exitMarginUs is how long before the end of the grace period the process ends by
	// itself. The platform's clock starts when it sends SIGTERM, and the process needs
	// a moment to end; a processor quota may stop it for a tenth of a second.
	exitMarginUs = 150_000

	// lastAnswersUs is how long before its end the router answers whatever has no
	// answer yet. No answer takes longer beyond the end of its request than lateUs.
	lastAnswersUs = lateUs
)

// shutdownPhase is how far a graceful shutdown has come.
type shutdownPhase int

const (
	phaseNotice  shutdownPhase = iota // connections are still accepted
	phaseDrain                        // only what has been accepted is served
	phaseAnswers                      // what has no answer yet gets one that says so
	phaseOver                         // the process ends
)

// shutdownPlan holds the moments of a graceful shutdown, in microseconds of the
// router's clock. A nil plan is that of a router that is not draining.
type shutdownPlan struct {
	noticedUs int64 // the platform sends no more connections
	answersUs int64 // the last requests are over
	overUs    int64 // the process ends
}

// newShutdownPlan plans a shutdown that began at nowUs and may take graceUs.
func newShutdownPlan(nowUs, graceUs int64) *shutdownPlan {
	overUs := nowUs + max(graceUs-exitMarginUs, 0)
	return &shutdownPlan{noticedUs: nowUs + noticeUs, answersUs: overUs - lastAnswersUs, overUs: overUs}
}

// phase tells how far the shutdown has come at nowUs.
func (p *shutdownPlan) phase(nowUs int64) shutdownPhase {
	switch {
	case nowUs >= p.overUs:
		return phaseOver
	case nowUs >= p.answersUs:
		return phaseAnswers
	case nowUs >= p.noticedUs:
		return phaseDrain
	}
	return phaseNotice
}

// forwards reports whether a request that is over at endUs at the latest may be
// forwarded: only what surely ends before the process does.
func (p *shutdownPlan) forwards(endUs int64) bool { return endUs <= p.lastEndUs() }

// lastEndUs is when the last requests are over.
func (p *shutdownPlan) lastEndUs() int64 {
	if p == nil {
		return math.MaxInt64
	}
	return p.answersUs
}
