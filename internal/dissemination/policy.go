// The decisions of a subscriber, apart from its sockets: which parent is tried first,
// when one is left, and when missing state is requested again. Times are whole
// microseconds of a monotonic clock that starts above 0.

package dissemination

import "time"

// ParentPolicy says which parent a node takes and when it leaves one. The zero value
// is ready for use.
type ParentPolicy struct {
	shunned     string
	shunUntilUs int64
	leftCutUs   int64 // when a parent was last left for being cut off, 0 for never
}

// Order puts the wanted parents in the order in which they are tried.
func (p *ParentPolicy) Order(wanted []string, nowUs int64) []string {
	if len(wanted) > 1 && p.shuns(wanted[0], nowUs) {
		return append(append([]string{}, wanted[1:]...), wanted[0])
	}
	return wanted
}

func (p *ParentPolicy) shuns(parent string, nowUs int64) bool {
	return parent == p.shunned && nowUs < p.shunUntilUs
}

// LeaveSilent reports whether a parent is left that has been silent for so long.
func (p *ParentPolicy) LeaveSilent(parent string, silentUs, nowUs int64) bool {
	if silentUs <= silentFor.Microseconds() {
		return false
	}
	p.shunned, p.shunUntilUs = parent, nowUs+shunFor.Microseconds()
	return true
}

// LeaveCutOff reports whether a parent is left that says that the core is out of its
// reach.
func (p *ParentPolicy) LeaveCutOff(parent string, nowUs int64) bool {
	if p.leftCutUs != 0 && nowUs-p.leftCutUs <= shunCut.Microseconds() {
		return false
	}
	p.leftCutUs = nowUs
	p.shunned, p.shunUntilUs = parent, nowUs+shunCut.Microseconds()
	return true
}

// Moves reports whether another parent is wanted now.
func (p *ParentPolicy) Moves(wanted []string, parent string, nowUs int64) bool {
	return len(wanted) > 0 && wanted[0] != parent && !p.shuns(wanted[0], nowUs)
}

// retryRequestAfter is how long an answer may take before missing state is requested again.
const retryRequestAfter = 200 * time.Millisecond

// RequestPacer keeps a node from repeating a request before an answer can be there. The
// zero value is ready for use.
type RequestPacer struct {
	behind      bool // state is missing and has not been requested
	requestedUs int64
}

// Due reports whether to request now. behind says that state is missing; it is remembered
// where it is too early for a request.
func (p *RequestPacer) Due(behind bool, nowUs int64) bool {
	p.behind = p.behind || behind
	if !p.behind || p.requestedUs != 0 && nowUs-p.requestedUs < retryRequestAfter.Microseconds() {
		return false
	}
	p.behind, p.requestedUs = false, nowUs
	return true
}
