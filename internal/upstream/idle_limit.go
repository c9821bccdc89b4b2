package upstream

// Start value, bounds and adaptation rates of the learned idle limits.
const (
	idleLimitStartUs = 1_500_000
	idleLimitMinUs   = 50_000
	idleLimitMaxUs   = 30_000_000

	// idleLimitCut is the fraction of a dead connection's idle time that becomes the new
	// limit, if that is lower than the old one.
	idleLimitCut = 0.6
	// idleLimitGain is the fraction of the difference between the limit and a longer idle
	// time that is added to the limit when the connection was still alive.
	idleLimitGain = 0.02
	// repeatableFactor multiplies the limit for repeatable requests.
	repeatableFactor = 2
)

// idleLimits holds, by service, the longest idle time after which a connection is reused.
// A runner may drop an idle connection without closing it, and earlier than it announces;
// a request sent on that connection is lost. A limit falls when a reused connection was
// dead, and rises in small steps when one with a longer idle time was alive. It is not
// safe for concurrent use.
type idleLimits map[string]float64 // microseconds

// limitUs returns the current limit of a service.
func (l idleLimits) limitUs(service string) float64 {
	if us, ok := l[service]; ok {
		return us
	}
	return idleLimitStartUs
}

// limitFor returns the limit for a request, which is higher if the request is repeatable.
func (l idleLimits) limitFor(service string, repeatable bool) int64 {
	limitUs := l.limitUs(service)
	if repeatable {
		limitUs *= repeatableFactor
	}
	return int64(limitUs)
}

// recordDead lowers the limit after a connection with the given idle time was dead.
func (l idleLimits) recordDead(service string, idleUs int64) {
	l[service] = max(min(l.limitUs(service), idleLimitCut*float64(idleUs)), idleLimitMinUs)
}

// recordAlive raises the limit if a connection with a longer idle time was alive.
func (l idleLimits) recordAlive(service string, idleUs int64) {
	limitUs := l.limitUs(service)
	if float64(idleUs) > limitUs {
		l[service] = min(limitUs+idleLimitGain*(float64(idleUs)-limitUs), idleLimitMaxUs)
	}
}
