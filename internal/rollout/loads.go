package rollout

// loadSlackUs is how much longer a load may appear than it is, in microseconds: reports
// are delayed and polled at intervals.
const loadSlackUs = int64(700_000)

// loadLimit estimates how many runners may load weights at once: loads take longer when
// more of them run than the site's storage sustains. The plan keeps to the limit unless
// a runner's turn has come by the schedule.
type loadLimit struct {
	running   int
	fastestUs int64
	most      int // 0 while no load was slow
}

// begun records that a load has begun.
func (l *loadLimit) begun() { l.running++ }

// ended records the end of a load that began at begunUs; 0 if its beginning was not seen.
func (l *loadLimit) ended(begunUs, nowUs int64) {
	if begunUs == 0 {
		return
	}
	tookUs, running := nowUs-begunUs, l.running
	l.running = max(l.running-1, 0)
	if l.fastestUs == 0 || tookUs < l.fastestUs {
		l.fastestUs = tookUs
	}
	if running > 1 && tookUs > 2*l.fastestUs+loadSlackUs {
		l.most = running - 1
	}
}

// limit returns how many of n runners may load at once.
func (l *loadLimit) limit(n int) int {
	if l.most == 0 {
		return n
	}
	return l.most
}
