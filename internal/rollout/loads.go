package rollout

// loadSlackUs is what a load may seem longer than it is: reports lag and are asked
// for now and then.
const loadSlackUs = int64(700_000)

// loadLimit learns how many runners may load at once: loads take longer when more
// run than the site permits. It bounds what the plan does while there is time.
type loadLimit struct {
	running   int
	fastestUs int64
	most      int // 0 while nothing was seen to slow loads down
}

// begun notes that a load has begun.
func (l *loadLimit) begun() { l.running++ }

// ended notes the end of a load that was seen to begin at begunUs.
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

// limit is how many of n runners may be out at once by what was seen.
func (l *loadLimit) limit(n int) int {
	if l.most == 0 {
		return n
	}
	return l.most
}
