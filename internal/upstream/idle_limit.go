package upstream

// Bounds of a learned idle limit, and how fast it adapts.
const (
	idleLimitStartUs = 1_500_000
	idleLimitMinUs   = 50_000
	idleLimitMaxUs   = 30_000_000

	// idleLimitCut is the part of a dead connection's idle time that stays the limit.
	idleLimitCut = 0.6
	// idleLimitGain is how much of the difference to a longer idle time that turned out
	// well is added to the limit.
	idleLimitGain = 0.02
	// repeatableFactor is how many times the limit a connection for a repeatable request
	// may have been idle.
	repeatableFactor = 2
)

// idleLimits are the longest idle times, by service, after which a connection is still
// trusted. A runner may drop an idle connection without closing it, and earlier than it
// announces; what is sent over it then is lost. A limit falls when an idle connection
// turned out dead, and rises in small steps when one idle for longer was alive. It is
// not safe for concurrent use.
type idleLimits map[string]float64 // microseconds

// limitUs returns the limit of a service.
func (l idleLimits) limitUs(service string) float64 {
	if us, ok := l[service]; ok {
		return us
	}
	return idleLimitStartUs
}

// limitFor returns the limit for a request that is repeatable, or is not.
func (l idleLimits) limitFor(service string, repeatable bool) int64 {
	limitUs := l.limitUs(service)
	if repeatable {
		limitUs *= repeatableFactor
	}
	return int64(limitUs)
}

// recordDead records that a connection was dead after an idle time.
func (l idleLimits) recordDead(service string, idleUs int64) {
	l[service] = max(min(l.limitUs(service), idleLimitCut*float64(idleUs)), idleLimitMinUs)
}

// recordAlive records that a connection was alive after an idle time.
func (l idleLimits) recordAlive(service string, idleUs int64) {
	limitUs := l.limitUs(service)
	if float64(idleUs) > limitUs {
		l[service] = min(limitUs+idleLimitGain*(float64(idleUs)-limitUs), idleLimitMaxUs)
	}
}
