// Streams and connects across a cut: when a zone cannot be reached any more, streams that may be
// resumed are taken from its runners and go on at others, and connections in the making there are
// given up.

package router

import (
	"context"

	"beechtide.org/beechtide/internal/admission"
)

// connecting is a connection in the making to a runner.
type connecting struct {
	adm    *admission.Admission
	cancel context.CancelFunc
}

// leaveUnreachable gives up what goes on with runners that are out of reach.
func (c *Router) leaveUnreachable() {
	streams, dials := c.streams.snapshot(), c.connects.snapshot()
	if len(streams)+len(dials) == 0 {
		return
	}
	var left []*sentAttempt
	c.admissionMu.Lock()
	for _, s := range streams {
		if c.admission.LeavesUnreachable(s.adm) {
			left = append(left, s)
		}
	}
	for _, d := range dials {
		if c.admission.LeavesUnreachable(d.adm) {
			d.cancel()
		}
	}
	c.admissionMu.Unlock()
	c.streams.withdraw(left)
}

// watchStream lets a stream that has begun, and that another attempt may take up, be taken from
// its runner. The returned function ends that.
func (e *exchange) watchStream(sent *sentAttempt) (end func()) {
	if !e.sequence.MayRepeat(e.repeatRules()) {
		return func() {}
	}
	watched := e.c.streams.add(sent.adm, sent.link, true)
	return func() { e.c.streams.remove(watched) }
}
