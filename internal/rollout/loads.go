package rollout

// loadMeasurementErrorUs is the maximum error of a measured load time, in microseconds:
// reports are delayed and polled at intervals, so that a load may appear longer than it is.
const loadMeasurementErrorUs = int64(700_000)

// loadLimit estimates how many runners may load weights at once: loads take longer when
// more of them run than the site's storage sustains. The plan exceeds the limit only for
// a runner whose scheduled time has come.
type loadLimit struct {
	running       int
	fastestUs     int64
	maxConcurrent int // 0 until a load was slow
}

// loadBegan records the start of a load.
func (l *loadLimit) loadBegan() { l.running++ }

// loadEnded records the end of a load that began at beganUs; 0 if its start was not
// observed.
func (l *loadLimit) loadEnded(beganUs, nowUs int64) {
	if beganUs == 0 {
		return
	}
	tookUs, running := nowUs-beganUs, l.running
	l.running = max(l.running-1, 0)
	if l.fastestUs == 0 || tookUs < l.fastestUs {
		l.fastestUs = tookUs
	}
	if running > 1 && tookUs > 2*l.fastestUs+loadMeasurementErrorUs {
		l.maxConcurrent = running - 1
	}
}

// limit returns how many of n runners may load at once.
func (l *loadLimit) limit(n int) int {
	if l.maxConcurrent == 0 {
		return n
	}
	return l.maxConcurrent
}
