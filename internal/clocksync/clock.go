// Package clocksync keeps the time of day of a node from the clocks of several.
//
// The time of day of a single machine may jump by seconds; its monotonic clock does not.
// A Clock therefore keeps the difference between the two (the offset), follows its own
// time of day only through small corrections, and compares itself with other nodes. A
// node whose offset differs from the median of the others takes the median. A difference
// between a machine's own time of day and the kept one that lasts for StepHoldUs is
// no jump any more but the time, and the node then votes for it.
//
// The error: a node whose own time of day agrees with the others uses its own, which is as
// good as its time service; any other has the error of the messages, half a round trip.
//
// Everything here is pure: times are whole microseconds given as arguments. A Clock is
// not safe for concurrent use.
package clocksync

import "slices"

// Bounds of a Clock, in microseconds.
const (
	// SlewUs is the largest change of the own time of day between two observations that
	// is followed at once.
	SlewUs = int64(20_000)
	// ToleranceUs is how far the own offset may be from the median, besides the error of
	// the samples, and still be used.
	ToleranceUs = int64(50_000)
	// StepHoldUs is for how long a jump of the own time of day is not believed.
	StepHoldUs = int64(60_000_000)
	// AgreeUs is how long after the start a node waits, where no other has compared its
	// time either, until it has heard of most others.
	AgreeUs = int64(1_500_000)
	// LoneUs is how long after the start a node waits, where no other has compared its time,
	// for two that say the same.
	LoneUs = int64(5_000_000)
	// SampleAgeUs is for how long a sample of another node counts.
	SampleAgeUs = int64(10_000_000)
)

// sample is the offset of another node, as seen from here.
type sample struct {
	offsetUs int64
	errorUs  int64
	atUs     int64
	agreed   bool
}

// Clock is the time of day of one node.
type Clock struct {
	// Votes says that this node's own offset counts beside those of others.
	Votes bool

	observed  bool
	startUs   int64 // of the first observation or sample
	started   bool
	offsetUs  int64 // time of day minus monotonic clock, as kept
	steppedUs int64 // since when the own time of day differs from it; 0 while it does not
	agreed    bool  // the offset has been compared with others
	samples   map[string]sample
}

// Observe takes this machine's time of day. It is called often, as between two calls only
// a small change is followed.
func (c *Clock) Observe(timeOfDayUs, nowUs int64) {
	c.start(nowUs)
	offsetUs := timeOfDayUs - nowUs
	switch {
	case !c.observed, c.starting(nowUs), abs(offsetUs-c.offsetUs) <= SlewUs:
		c.observed, c.offsetUs, c.steppedUs = true, offsetUs, 0
	case c.steppedUs == 0:
		c.steppedUs = nowUs
	case nowUs-c.steppedUs >= StepHoldUs:
		c.offsetUs, c.steppedUs = offsetUs, 0
	}
}

// start notes when the clock began.
func (c *Clock) start(nowUs int64) {
	if !c.started {
		c.started, c.startUs = true, nowUs
	}
}

// starting reports whether the node has not agreed on a time yet: its own may come back
// from a jump in which it started.
func (c *Clock) starting(nowUs int64) bool { return !c.agreed && nowUs-c.startUs < AgreeUs }

// Compare takes the time of day that another node has answered to a request that was
// sent and answered at these times of the monotonic clock here. agreed says that the other
// has compared it with further nodes.
func (c *Clock) Compare(node string, timeOfDayUs int64, agreed bool, sentUs, answeredUs int64) {
	if timeOfDayUs == 0 || answeredUs < sentUs {
		return
	}
	c.start(sentUs)
	if c.samples == nil {
		c.samples = map[string]sample{}
	}
	errorUs := (answeredUs - sentUs + 1) / 2
	next := sample{offsetUs: timeOfDayUs - sentUs - errorUs, errorUs: errorUs, atUs: answeredUs, agreed: agreed}
	if last, ok := c.samples[node]; ok && last.errorUs < errorUs && answeredUs-last.atUs < SampleAgeUs/2 && last.agreed == agreed && abs(last.offsetUs-next.offsetUs) <= last.errorUs+errorUs {
		return // the earlier one is more exact and not contradicted
	}
	c.samples[node] = next
	c.adopt(answeredUs)
}

// adopt compares the kept offset with the median of the others. Where none of them has
// compared its own, as after a start of all, that waits until most have been heard, and
// is not done again.
func (c *Clock) adopt(nowUs int64) {
	medianUs, errorUs, ok := c.median(nowUs)
	if !ok {
		return
	}
	if !c.anyAgreed(nowUs) && (c.agreed || c.starting(nowUs)) {
		return
	}
	if !c.anyAgreed(nowUs) && nowUs-c.startUs < LoneUs && !c.backed(medianUs, errorUs) {
		return
	}
	c.agreed = true
	if !c.observed || abs(c.offsetUs-medianUs) > errorUs+ToleranceUs {
		c.observed, c.offsetUs = true, medianUs
	}
}

// anyAgreed reports whether another node has compared its offset. It drops old samples.
func (c *Clock) anyAgreed(nowUs int64) bool {
	agreed := false
	for node, s := range c.samples {
		if nowUs-s.atUs >= SampleAgeUs {
			delete(c.samples, node)
			continue
		}
		agreed = agreed || s.agreed
	}
	return agreed
}

// median returns the median of the offsets that count, and the largest error among them.
// Nodes that have compared themselves count before those that have not.
func (c *Clock) median(nowUs int64) (offsetUs, errorUs int64, ok bool) {
	anyAgreed := c.Votes && c.agreed || c.anyAgreed(nowUs)
	var offsets []int64
	for _, s := range c.samples {
		if s.agreed == anyAgreed {
			offsets = append(offsets, s.offsetUs)
			errorUs = max(errorUs, s.errorUs)
		}
	}
	if len(offsets) == 0 {
		return 0, 0, false
	}
	if c.Votes && c.observed && c.agreed == anyAgreed {
		offsets = append(offsets, c.offsetUs)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], errorUs, true
}

// backed reports whether two nodes, this one included where it votes, have an offset. It is
// asked where none has compared its own: a single one may have started during a jump.
func (c *Clock) backed(offsetUs, errorUs int64) bool {
	same := 0
	for _, s := range c.samples {
		if abs(s.offsetUs-offsetUs) <= errorUs+ToleranceUs {
			same++
		}
	}
	if c.Votes && c.observed && abs(c.offsetUs-offsetUs) <= errorUs+ToleranceUs {
		same++
	}
	return same > 1
}

// TimeUs returns the time of day in microseconds since 1970; 0 if it is not known. agreed
// says that it has been compared with other nodes.
func (c *Clock) TimeUs(nowUs int64) (timeOfDayUs int64, agreed bool) {
	if !c.observed {
		return 0, false
	}
	return nowUs + c.offsetUs, c.agreed
}

func abs(x int64) int64 { return max(x, -x) }
