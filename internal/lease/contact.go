// Contact is a member's lease of contact with a majority of a group. The member
// asks the others in round trips. It holds the lease while the questions that a
// majority has answered were sent less than ContactUs ago. The time counts from
// the sending: when the other one answered is not known here, only that it was
// later. Nothing has to arrive for the lease to lapse, so a member that is cut
// off or was frozen finds it lapsed at its next look at the clock.
//
// The guarantee: where Holds passes at t, a majority of the group, counting the
// member itself, has handled a question of this member since t-ContactUs. Where
// MayAnswer passes at t, so does Holds, and the work behind the answer began after
// t-ContactUs: with a read or change by a majority as that work, the answer lacks
// nothing that was committed before t-ContactUs.

package lease

// ContactUs is how long a majority's word counts. Round trips start every 500 ms
// and take 450 ms at most, so that one of them may be lost. Machines count as in
// touch 3 s after the core was last unsettled: a member that is cut off knows it
// by half of that, and the nodes below it have the other half to leave it.
const ContactUs = int64(1_500_000)

// Contact is one member's lease of contact. Times are of the member's own
// monotonic clock; the zero time is before the start.
type Contact struct {
	Self string // the member's identity

	sentUs    map[string]int64 // by member: when the newest answered question was sent
	vouchedUs int64            // when the newest work that a majority took part in began
}

// Answered notes that a member has answered a question sent at sentUs.
func (c *Contact) Answered(member string, sentUs int64) {
	if c.sentUs == nil {
		c.sentUs = map[string]int64{}
	}
	for m, us := range c.sentUs {
		if sentUs-us > ContactUs {
			delete(c.sentUs, m)
		}
	}
	c.sentUs[member] = max(c.sentUs[member], sentUs)
}

// Vouched notes that a majority took part in work that began at begunUs.
func (c *Contact) Vouched(begunUs int64) { c.vouchedUs = max(c.vouchedUs, begunUs) }

// Holds tells whether the member holds the lease at nowUs.
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

// MayAnswer tells whether an answer may leave at nowUs when the work behind it
// began at begunUs. A lease alone is not enough: a process that was frozen in the
// middle may get a new one before the old work's answer leaves.
func (c *Contact) MayAnswer(group []string, begunUs, nowUs int64) bool {
	return nowUs-begunUs < ContactUs && c.Holds(group, nowUs)
}

// Majority tells whether more than half of a group is counted.
func Majority(group []string, counted func(member string) bool) bool {
	votes := 0
	for _, member := range group {
		if counted(member) {
			votes++
		}
	}
	return votes > len(group)/2
}
