// The lease of contact: a controller answers operators only while a majority of the
// configuration's group has handled a request of it within the lease, as
// controller/contact.go drives it.

package simulation

import (
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/simulation/history"
)

// contactSlackUs is by how much the clock of a process may run wrong within a lease, and how
// old the word behind its start may be.
const contactSlackUs = Millisecond

func (c *Controller) configGroup() []string {
	v, _ := c.committed(configPart)
	ids := make([]string, 0, len(v.Group))
	for _, m := range v.Group {
		ids = append(ids, m.ID)
	}
	return ids
}

// startingUp is true while a controller has not had the time to come by a lease.
func (c *Controller) startingUp() bool { return c.process.NowUs() < lease.ContactUs }

// serveInContact serves a call of an operator under the lease, and checks that again as the
// answer leaves.
func (c *Controller) serveInContact(call history.Call, answer func(history.Response)) {
	begunUs := c.process.NowUs()
	unchecked := c.cluster.defects.AnswerOutOfContact
	if !unchecked && !c.contact.Holds(c.configGroup(), begunUs) && !c.startingUp() {
		c.cluster.checks.counts.OutOfContact++
		answer(history.Response{})
		return
	}
	c.serve(call, func(a history.Response) {
		if a.Verdict != history.Unclear && !c.alreadyTaken(call) {
			if !unchecked && !c.contact.MayAnswer(c.configGroup(), begunUs, c.process.NowUs()) {
				c.cluster.checks.counts.OutOfContact++
				answer(history.Response{})
				return
			}
			c.cluster.checks.answersInContact(c)
		}
		answer(a)
	})
}

// alreadyTaken reports whether a call needs no majority, as this node knows that it was taken.
func (c *Controller) alreadyTaken(call history.Call) bool {
	cur, known := c.committed(configPart)
	return known && call.Kind == history.Replace && submissionOf(call).AcceptedIn(configOf(cur))
}

// handledBy notes that a controller has handled a request of this one, by true time.
func (c *Controller) handledBy(member string, life int64) {
	if life != c.process.life {
		return
	}
	c.handledUs[member] = c.cluster.kernel.NowUs()
}

// answersInContact checks, by true time, that a majority of the group that the controller knows
// has handled a request of it within the lease.
func (c *checks) answersInContact(node *Controller) {
	nowUs := c.cluster.kernel.NowUs()
	met := lease.Majority(node.configGroup(), func(member string) bool {
		handledUs, ok := node.handledUs[member]
		return member == node.id || ok && nowUs-handledUs <= lease.ContactUs+contactSlackUs
	})
	if !met {
		c.cluster.kernel.Fail("%s answers an operator, and no majority has handled a request of it for %d us", node.addr, lease.ContactUs)
	}
}

// vouch notes work on the configuration's register that a majority took part in.
func (c *Controller) vouch(part int, begunUs int64, err error) {
	if err == nil && part == configPart {
		c.contact.RecordMajorityWork(begunUs)
	}
}

// answeredBy renews the lease with the response of a member.
func (c *Controller) answeredBy(request messages.ConsensusRequest, r messages.ConsensusResponse, sentUs int64) {
	if request.To != "" && request.Step != messages.Commit && r.Verdict != messages.Stranger {
		c.contact.RecordAnswer(request.To, sentUs)
	}
}
