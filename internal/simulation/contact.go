// The contact lease, driven as in controller/contact.go: a controller answers operators only
// while a majority of the configuration register's group has handled one of its requests
// within the lease time.

package simulation

import (
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/history"
)

// contactSlackUs is the tolerance of the check for the clock error of a process within a
// lease time and for the age of the message that starts it.
const contactSlackUs = Millisecond

func (c *Controller) configGroup() []string {
	v, _ := c.committed(configPart)
	ids := make([]string, 0, len(v.Group))
	for _, m := range v.Group {
		ids = append(ids, m.ID)
	}
	return ids
}

// startingUp reports whether a controller has not yet run long enough to have acquired a lease.
func (c *Controller) startingUp() bool { return c.process.NowUs() < lease.ContactUs }

// serveInContact serves an operator's call under the contact lease, which it checks before
// the call and again before the answer.
func (c *Controller) serveInContact(call history.Call, answer func(history.Response)) {
	begunUs := c.process.NowUs()
	unchecked := c.cluster.defects.AnswerWithoutContactLease
	if !unchecked && !c.contact.Holds(c.configGroup(), begunUs) && !c.startingUp() {
		c.cluster.checks.counts.OutOfContact++
		answer(history.Response{})
		return
	}
	c.serve(call, func(a history.Response) {
		if a.Verdict != history.Unclear && !c.alreadyAccepted(call) {
			if !unchecked && !c.contact.MayAnswer(c.configGroup(), begunUs, c.process.NowUs()) {
				c.cluster.checks.counts.OutOfContact++
				answer(history.Response{})
				return
			}
			c.cluster.checks.checkContact(c)
		}
		answer(a)
	})
}

// alreadyAccepted reports whether this node has learned that the call's change was accepted, so that the answer needs no majority.
func (c *Controller) alreadyAccepted(call history.Call) bool {
	current, known := c.committed(configPart)
	return known && call.Kind == history.Replace && submissionOf(call).AcceptedIn(configOf(current))
}

// recordHandled records the virtual time at which a member has handled a request of this controller.
func (c *Controller) recordHandled(member string, life int64) {
	if life != c.process.life {
		return
	}
	c.handledUs[member] = c.cluster.kernel.NowUs()
}

// checkContact checks by virtual time that a majority of the group that the controller has
// learned has handled one of its requests within the lease time.
func (c *checks) checkContact(node *Controller) {
	nowUs := c.cluster.kernel.NowUs()
	met := lease.Majority(node.configGroup(), func(member string) bool {
		handledUs, ok := node.handledUs[member]
		return member == node.id || ok && nowUs-handledUs <= lease.ContactUs+contactSlackUs
	})
	if !met {
		c.cluster.kernel.Fail("%s answers an operator, and no majority has handled a request of it for %d us", node.addr, lease.ContactUs)
	}
}

// renewContact renews the contact lease after work on the configuration register in which a majority took part.
func (c *Controller) renewContact(part int, begunUs int64, err error) {
	if err == nil && part == configPart {
		c.contact.RecordMajorityWork(begunUs)
	}
}

// recordAnswer renews the contact lease with the response of a member.
func (c *Controller) recordAnswer(request messages.ConsensusRequest, r messages.ConsensusResponse, sentUs int64) {
	if request.To != "" && request.Step != messages.Commit && r.Verdict != messages.Stranger {
		c.contact.RecordAnswer(request.To, sentUs)
	}
}
