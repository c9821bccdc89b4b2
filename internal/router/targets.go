// Target weights versions: what this router receives about named versions, their ages,
// and contact with the controllers that send them.

package router

import "beechtide.org/beechtide/internal/messages"

// takeTargetAges takes the ages that came with a feed. A feed that a controller
// sent which has the core in reach also shows that this node is in contact.
func (c *Router) takeTargetAges(f messages.Feed, nowUs int64) {
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	c.admission.ObserveTargets(f.TargetAges, nowUs)
	if !f.CutOff && !f.FromRelay {
		c.admission.Contact(nowUs)
	}
}

// takeVersions takes the same from a controller's answer to a call.
func (c *Router) takeVersions(m messages.Versions) {
	c.takeTargetAges(messages.Feed{TargetAges: m.TargetAges, CutOff: m.CutOff}, c.clock())
}

// assumeTargets notes named versions that may have come without their ages.
func (c *Router) assumeTargets(named []messages.Target, nowUs int64) {
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	for _, t := range named {
		c.admission.AssumeTarget(t.Model, t.Version, nowUs)
	}
}
