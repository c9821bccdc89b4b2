// Package clocksync derives the time of day of a node from the clocks of several machines.
//
// The time of day of a single machine may jump by seconds; its monotonic clock does not.
// A Clock therefore maintains the difference between the two (the offset), follows its own
// time of day only through small corrections, and compares its offset with those of other
// nodes. A node whose offset differs from the median of the others adopts the median. If the
// machine's own time of day differs from the maintained one for StepHoldUs, the difference is
// no longer regarded as a jump: the offset is set to it, and counts as such in the median.
//
// The error: a node whose own time of day agrees with the others uses its own, which is as
// accurate as the machine's time service; any other node has the error of the messages, half a
// round trip.
//
// Clock is pure: times are integers in microseconds, passed as arguments. A Clock is not safe
// for concurrent use; Shared is.
package clocksync

import "slices"

// Bounds of a Clock, in microseconds.
const (
	// MaxSlewUs is the largest change of the own offset between two observations that is
	// followed at once.
	MaxSlewUs = int64(20_000)
	// ToleranceUs is the difference from the median, in addition to the error of the
	// samples, up to which a node continues to use its own offset.
	ToleranceUs = int64(50_000)
	// StepHoldUs is how long a jump of the own time of day must last until it is adopted.
	StepHoldUs = int64(60_000_000)
	// SyncWaitUs is how long after its start a node waits to collect samples of most other
	// nodes if none of them is synchronized.
	SyncWaitUs = int64(1_500_000)
	// SingleSourceWaitUs is how long after its start a node waits for two matching offsets if
	// no other node is synchronized; then it accepts a single one.
	SingleSourceWaitUs = int64(5_000_000)
	// MaxSampleAgeUs is the age at which a sample of another node expires.
	MaxSampleAgeUs = int64(10_000_000)
)

// sample is the offset of another node, relative to this node's monotonic clock.
type sample struct {
	offsetUs     int64
	errorUs      int64
	receivedUs   int64 // when the answer arrived
	synchronized bool  // the other node is synchronized
}

// Clock is the time of day of one node.
type Clock struct {
	// Votes is set if this node's own offset counts in the median beside those of others.
	Votes bool

	observed     bool
	startUs      int64 // time of the first observation or sample
	started      bool
	offsetUs     int64             // time of day minus monotonic clock, as maintained
	stepSinceUs  int64             // since when the machine's offset differs from it; 0: it does not
	synchronized bool              // the offset has been compared with others
	samples      map[string]sample // latest sample of each other node
}

// Observe records this machine's time of day. It must be called often, since only a small change
// between two calls is followed at once.
func (c *Clock) Observe(timeOfDayUs, nowUs int64) {
	c.markStarted(nowUs)
	offsetUs := timeOfDayUs - nowUs
	switch {
	case !c.observed, c.inStartPhase(nowUs), abs(offsetUs-c.offsetUs) <= MaxSlewUs:
		c.observed, c.offsetUs, c.stepSinceUs = true, offsetUs, 0
	case c.stepSinceUs == 0:
		c.stepSinceUs = nowUs
	case nowUs-c.stepSinceUs >= StepHoldUs:
		c.offsetUs, c.stepSinceUs = offsetUs, 0
	}
}

// markStarted records the time of the first observation or sample.
func (c *Clock) markStarted(nowUs int64) {
	if !c.started {
		c.started, c.startUs = true, nowUs
	}
}

// inStartPhase reports whether the clock started recently and is not synchronized yet. In this
// phase jumps are followed, since the machine's time of day may return from a jump that began
// before the start.
func (c *Clock) inStartPhase(nowUs int64) bool {
	return !c.synchronized && nowUs-c.startUs < SyncWaitUs
}

// AddSample records the time of day that another node returned in its answer to a request. The
// request was sent at sentUs and answered at answeredUs, by this node's monotonic clock.
// synchronized is true if the other node has compared its offset with further nodes.
func (c *Clock) AddSample(node string, timeOfDayUs int64, synchronized bool, sentUs, answeredUs int64) {
	if timeOfDayUs == 0 || answeredUs < sentUs {
		return
	}
	c.markStarted(sentUs)
	if c.samples == nil {
		c.samples = map[string]sample{}
	}
	errorUs := (answeredUs - sentUs + 1) / 2
	next := sample{offsetUs: timeOfDayUs - sentUs - errorUs, errorUs: errorUs, receivedUs: answeredUs, synchronized: synchronized}
	if last, ok := c.samples[node]; ok && last.errorUs < errorUs && answeredUs-last.receivedUs < MaxSampleAgeUs/2 && last.synchronized == synchronized && abs(last.offsetUs-next.offsetUs) <= last.errorUs+errorUs {
		return // the earlier sample is more accurate, and consistent with this one
	}
	c.samples[node] = next
	c.syncToMedian(answeredUs)
}

// syncToMedian compares the maintained offset with the median and adopts the median if the
// difference exceeds the sample error plus ToleranceUs. If no other node is synchronized, as after
// a start of all nodes, it first waits for SyncWaitUs to collect samples, and it has no effect
// any more once this node is synchronized.
func (c *Clock) syncToMedian(nowUs int64) {
	medianUs, errorUs, ok := c.median(nowUs)
	if !ok {
		return
	}
	if !c.anySynchronized(nowUs) && (c.synchronized || c.inStartPhase(nowUs)) {
		return
	}
	if !c.anySynchronized(nowUs) && nowUs-c.startUs < SingleSourceWaitUs && !c.corroborated(medianUs, errorUs) {
		return
	}
	c.synchronized = true
	if !c.observed || abs(c.offsetUs-medianUs) > errorUs+ToleranceUs {
		c.observed, c.offsetUs = true, medianUs
	}
}

// anySynchronized reports whether another node is synchronized. It deletes expired samples.
func (c *Clock) anySynchronized(nowUs int64) bool {
	found := false
	for node, s := range c.samples {
		if nowUs-s.receivedUs >= MaxSampleAgeUs {
			delete(c.samples, node)
			continue
		}
		found = found || s.synchronized
	}
	return found
}

// median returns the median of the offsets and the largest error among their samples. If there is
// a synchronized node, only the offsets of synchronized nodes are used.
func (c *Clock) median(nowUs int64) (offsetUs, errorUs int64, ok bool) {
	onlySynchronized := c.Votes && c.synchronized || c.anySynchronized(nowUs)
	var offsets []int64
	for _, s := range c.samples {
		if s.synchronized == onlySynchronized {
			offsets = append(offsets, s.offsetUs)
			errorUs = max(errorUs, s.errorUs)
		}
	}
	if len(offsets) == 0 {
		return 0, 0, false
	}
	if c.Votes && c.observed && c.synchronized == onlySynchronized {
		offsets = append(offsets, c.offsetUs)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], errorUs, true
}

// corroborated reports whether the offset matches those of at least two nodes, including this one
// if Votes is set. This is required for SingleSourceWaitUs while no other node is synchronized,
// since a single node may have started during a jump of its clock.
func (c *Clock) corroborated(offsetUs, errorUs int64) bool {
	matching := 0
	for _, s := range c.samples {
		if abs(s.offsetUs-offsetUs) <= errorUs+ToleranceUs {
			matching++
		}
	}
	if c.Votes && c.observed && abs(c.offsetUs-offsetUs) <= errorUs+ToleranceUs {
		matching++
	}
	return matching > 1
}

// TimeUs returns the time of day in microseconds since 1970, or 0 if it is not known yet.
// synchronized reports whether the offset has been compared with other nodes.
func (c *Clock) TimeUs(nowUs int64) (timeOfDayUs int64, synchronized bool) {
	if !c.observed {
		return 0, false
	}
	return nowUs + c.offsetUs, c.synchronized
}

func abs(x int64) int64 { return max(x, -x) }
