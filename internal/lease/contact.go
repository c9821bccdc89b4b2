// The contact lease of a member with a majority of its group. The member sends
// requests to the others and holds the lease while the requests that a majority has
// answered were sent less than ContactUs ago. The time counts from the sending of a
// request: when the other member handled it is not known here, only that it was later.
// Nothing has to arrive for the lease to expire, so a member that is partitioned or was
// paused finds it expired when it next reads its clock.
//
// The guarantee: if Holds is true at t, a majority of the group, counting the member
// itself, has handled a request of this member since t-ContactUs. If MayAnswer is true
// at t, so is Holds, and the work behind the answer began after t-ContactUs: where that
// work is a read or change by a majority, the answer includes everything that was
// committed before t-ContactUs.

package lease

// ContactUs is the duration of the contact lease, in microseconds. Round trips start
// every 500 ms and take 450 ms at most, so that one of them may be lost. Machines count
// as connected 3 s after the core was last unstable: a partitioned member notices
// within half of that, and the nodes below it have the other half to leave it.
const ContactUs = int64(1_500_000)

// Contact is one member's contact lease. Times are microseconds of the member's own
// monotonic clock; zero is before its start.
type Contact struct {
	Self string // the member's identity

	sentUs    map[string]int64 // by member: when the newest request it answered was sent
	vouchedUs int64            // when the newest work that a majority took part in began
}

// Answered records that a member has answered a request that was sent at sentUs.
func (c *Contact) Answered(member string, sentUs int64) {
	if c.sentUs == nil {
		c.sentUs = map[string]int64{}
	}
	for other, earlierUs := range c.sentUs {
		if sentUs-earlierUs > ContactUs {
			delete(c.sentUs, other)
		}
	}
	c.sentUs[member] = max(c.sentUs[member], sentUs)
}

// Vouched records that a majority took part in work that began at begunUs.
func (c *Contact) Vouched(begunUs int64) { c.vouchedUs = max(c.vouchedUs, begunUs) }

// Holds reports whether the member holds the lease at nowUs.
func (c *Contact) Holds(group []string, nowUs int64) bool {
	if c.vouchedUs > 0 && nowUs-c.vouchedUs < ContactUs {
		return true
	}
	return Majority(group, func(member string) bool {
		if member == c.Self {
			return true
		}
		sentUs, answered := c.sentUs[member]
		return answered && nowUs-sentUs < ContactUs
	})
}

// MayAnswer reports whether an answer may be sent at nowUs when the work behind it
// began at begunUs. The lease alone is not enough: a process that was paused in between
// may hold a new lease before the answer of the old work is sent.
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
