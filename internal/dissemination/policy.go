// The decisions of a subscriber, without I/O: which parent is tried first, when a parent
// is left, and when missing state is requested again. Times are microseconds of a
// monotonic clock that starts above 0.

package dissemination

import "time"

// ParentPolicy decides which parent a node subscribes to and when it leaves one. After
// leaving a parent it avoids that parent for a while. The zero value is ready for use.
type ParentPolicy struct {
	avoided           string
	avoidUntilUs      int64
	lastCutOffLeaveUs int64 // when a parent was last left because it was cut off, 0 for never
}

// Order returns the parents in the order in which they are tried: as given, except that the
// first one is moved to the end while it is avoided.
func (p *ParentPolicy) Order(preferred []string, nowUs int64) []string {
	if len(preferred) > 1 && p.avoids(preferred[0], nowUs) {
		return append(append([]string{}, preferred[1:]...), preferred[0])
	}
	return preferred
}

func (p *ParentPolicy) avoids(parent string, nowUs int64) bool {
	return parent == p.avoided && nowUs < p.avoidUntilUs
}

// LeaveSilent reports whether to leave a parent that has been silent for silenceUs, and if so
// records it as avoided.
func (p *ParentPolicy) LeaveSilent(parent string, silentUs, nowUs int64) bool {
	if silentUs <= silenceTimeout.Microseconds() {
		return false
	}
	p.avoided, p.avoidUntilUs = parent, nowUs+avoidSilentFor.Microseconds()
	return true
}

// LeaveCutOff reports whether to leave a parent that reports that it cannot reach the core,
// and if so records it as avoided. It is true at most once in avoidCutOffFor.
func (p *ParentPolicy) LeaveCutOff(parent string, nowUs int64) bool {
	if p.lastCutOffLeaveUs != 0 && nowUs-p.lastCutOffLeaveUs <= avoidCutOffFor.Microseconds() {
		return false
	}
	p.lastCutOffLeaveUs = nowUs
	p.avoided, p.avoidUntilUs = parent, nowUs+avoidCutOffFor.Microseconds()
	return true
}

// ShouldMove reports whether another parent is preferred to the current one now.
func (p *ParentPolicy) ShouldMove(preferred []string, parent string, nowUs int64) bool {
	return len(preferred) > 0 && preferred[0] != parent && !p.avoids(preferred[0], nowUs)
}

// requestRetryInterval is the least time between two requests for missing state.
const requestRetryInterval = 200 * time.Millisecond

// RequestPacer limits the rate of requests for missing state, so that a node does not
// repeat one before the answer can have arrived. The zero value is ready for use.
type RequestPacer struct {
	behind      bool // state is missing and has not been requested
	requestedUs int64
}

// Due reports whether to send a request now. behind means that state is missing; it is
// remembered if it is too early for a request.
func (p *RequestPacer) Due(behind bool, nowUs int64) bool {
	p.behind = p.behind || behind
	if !p.behind || p.requestedUs != 0 && nowUs-p.requestedUs < requestRetryInterval.Microseconds() {
		return false
	}
	p.behind, p.requestedUs = false, nowUs
	return true
}
