// The contact lease of a member with a majority of its group. The member sends
// requests to the others and holds the lease while the requests that a majority has
// answered were sent less than ContactUs ago. The lease is measured from the time a
// request was sent, because the sender does not observe when the other member handled
// it, only that this happened later. No message is needed for the lease to expire, so a
// member that was partitioned or paused finds it expired when it next reads its clock.
//
// The guarantee: if Holds is true at t, a majority of the group, counting the member
// itself, has handled a request of this member since t-ContactUs. If MayAnswer is true
// at t, so is Holds, and the work that produced the answer began after t-ContactUs: if
// that work is a read or change by a majority, the answer includes everything that was
// committed before t-ContactUs.

package lease

// ContactUs is the duration of the contact lease, in microseconds. Round trips start
// every 500 ms and take at most 450 ms, so the lease survives the loss of one. Machines
// count as connected 3 s after the core was last unstable: a partitioned member detects
// the partition within half of that, and the nodes connected to it have the other half
// to switch to another member.
const ContactUs = int64(1_500_000)

// Contact holds the state of one member's contact lease. Times are microseconds of the
// member's own monotonic clock, which is above zero from the start of the process on.
type Contact struct {
	Self string // the member's identity

	answeredSentUs  map[string]int64 // by member: send time of the newest request that it answered
	majorityBegunUs int64            // start of the newest work that a majority took part in; 0: none
}

// RecordAnswer records that a member has answered a request that was sent at sentUs.
func (c *Contact) RecordAnswer(member string, sentUs int64) {
	if c.answeredSentUs == nil {
		c.answeredSentUs = map[string]int64{}
	}
	for other, otherSentUs := range c.answeredSentUs {
		if sentUs-otherSentUs > ContactUs {
			delete(c.answeredSentUs, other)
		}
	}
	c.answeredSentUs[member] = max(c.answeredSentUs[member], sentUs)
}

// RecordMajorityWork records that a majority took part in work that began at begunUs.
func (c *Contact) RecordMajorityWork(begunUs int64) {
	c.majorityBegunUs = max(c.majorityBegunUs, begunUs)
}

// Holds reports whether the member holds the lease at nowUs.
func (c *Contact) Holds(group []string, nowUs int64) bool {
	if c.majorityBegunUs > 0 && nowUs-c.majorityBegunUs < ContactUs {
		return true
	}
	return Majority(group, func(member string) bool {
		if member == c.Self {
			return true
		}
		sentUs, answered := c.answeredSentUs[member]
		return answered && nowUs-sentUs < ContactUs
	})
}

// MayAnswer reports whether an answer may be sent at nowUs if the work that produced it
// began at begunUs. Holding the lease is not sufficient: a process that was paused in
// between may have a new lease by the time it sends the answer of the old work.
func (c *Contact) MayAnswer(group []string, begunUs, nowUs int64) bool {
	return nowUs-begunUs < ContactUs && c.Holds(group, nowUs)
}

// Majority reports whether counted is true for more than half of a group.
func Majority(group []string, counted func(member string) bool) bool {
	votes := 0
	for _, member := range group {
		if counted(member) {
			votes++
		}
	}
	return votes > len(group)/2
}
