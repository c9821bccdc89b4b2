// Absent runners. If the address of an instance answers 421, the instance has ended and
// the address belongs to another one now. It leaves the candidates at the first such
// response, because it would look the least loaded of all for as long as it is listed.
// It returns with a newer registration (higher sequence, or another address), or when a
// probe finds it there. A 421 may also mean that the runner's
// weights have another version than the request expected; a probe tells the two apart,
// and until then only a part of a service's runners may be out at once, so that many
// such responses do not empty a service. A confirmed absence is reported to other
// nodes as a hint.

package admission

import (
	"beechtide.org/beechtide/internal/messages"
)

// Limits of absences and their probes. Times are in microseconds.
const (
	maxUnconfirmedShare = 0.5        // part of a service's runners that may be absent without confirmation
	probeBackoffUs      = 250_000    // backoff after the first probe that did not find the instance
	maxProbeBackoffUs   = 16_000_000 // maximum backoff; it doubles with each probe
	presenceValidUs     = 2_000_000  // how long the result of a probe that found the instance is valid
	rejectionBackoffUs  = 150_000    // how long a runner that rejected a request gets no other
	maxPendingHints     = 64         // absent runners that wait to be reported to other nodes
	maxProbesPerCall    = 8          // probes returned by one call of DueProbes
)

// Presence is what a probe found at a runner's address.
type Presence int

// What a probe may find.
const (
	PresenceUnknown   Presence = iota // no answer, or one that names nobody
	PresenceConfirmed                 // the instance itself
	PresenceMismatch                  // another instance
	PresenceUnprobed                  // the service has no probe: a request has to find out
)

// absence is whether a runner is missing at its address, and when to probe it.
type absence struct {
	excluded    bool
	confirmed   bool   // confirmed: not only a 421 that may have been about the weights
	sequence    int64  // of the registration at the time of the 421
	addr        string // of that registration
	nextProbeUs int64  // when the next probe is due
	backoffUs   int64
	lastFoundUs int64 // when a probe last found it; 0: never
}

// observe records the runner's registration. One that is newer than the registration at
// the time of the 421 ends the absence, unless it only marks the runner as stale.
func (a *absence) observe(n messages.RunnerRecord) {
	if !a.excluded {
		return
	}
	if n.Addr != a.addr || n.Seq > a.sequence && !n.Stale {
		*a = absence{}
		return
	}
	a.sequence = max(a.sequence, n.Seq)
}

// WrongInstance records that a runner answered 421. expected says whether the request
// named a version of the weights, so that the answer may be about that. It reports
// whether the runner has left the candidates.
func (a *Admitter) WrongInstance(adm *Admission, versionNamed bool, nowUs int64) bool {
	p := a.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	if r == nil || r.absence.excluded {
		return false
	}
	if r.record.Seq > adm.Runner.Seq || r.record.Addr != adm.Runner.Addr {
		return false // it has registered again since the request was sent
	}
	recentlyFound := r.absence.lastFoundUs > 0 && nowUs-r.absence.lastFoundUs < presenceValidUs
	if versionNamed && (recentlyFound || !p.mayExcludeUnconfirmed()) {
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+rejectionBackoffUs)
		return false
	}
	backoffUs := r.absence.backoffUs
	r.absence = absence{excluded: true, confirmed: !versionNamed, sequence: r.record.Seq, addr: r.record.Addr, backoffUs: backoffUs, nextProbeUs: nowUs + backoffUs}
	if !versionNamed {
		a.confirmAbsent(r.record.ID)
	}
	return true
}

// mayExcludeUnconfirmed reports whether one more runner may leave the candidates without
// confirmation.
func (p *pool) mayExcludeUnconfirmed() bool {
	unconfirmed := 0
	for _, id := range p.order {
		if a := &p.runners[id].absence; a.excluded && !a.confirmed {
			unconfirmed++
		}
	}
	return unconfirmed < max(int(maxUnconfirmedShare*float64(len(p.order))), 1)
}

// Absent reports whether the runner of an admission has left the candidates since.
func (a *Admitter) Absent(adm *Admission) bool {
	r := a.pool(adm.service).runners[adm.Runner.ID]
	return r != nil && r.absence.excluded
}

// DueProbes returns the registrations of absent runners whose probe is due, and whether
// any runner is absent.
func (a *Admitter) DueProbes(nowUs int64) (due []messages.RunnerRecord, anyAbsent bool) {
	for _, p := range a.pools {
		for _, id := range p.order {
			r := p.runners[id]
			if !r.absence.excluded {
				continue
			}
			anyAbsent = true
			if r.absence.nextProbeUs > nowUs || len(due) >= maxProbesPerCall {
				continue
			}
			r.absence.backoffUs = min(max(2*r.absence.backoffUs, probeBackoffUs), maxProbeBackoffUs)
			r.absence.nextProbeUs = nowUs + r.absence.backoffUs
			due = append(due, r.record)
		}
	}
	return due, anyAbsent
}

// Found records what a probe found at the address of a runner. It reports whether that
// has confirmed the runner's absence.
func (a *Admitter) Found(n messages.RunnerRecord, presence Presence, nowUs int64) (confirmed bool) {
	r := a.pool(n.Service).runners[n.ID]
	if r == nil || !r.absence.excluded || r.record.Addr != n.Addr {
		return false
	}
	switch presence {
	case PresenceConfirmed:
		r.absence = absence{lastFoundUs: nowUs}
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+rejectionBackoffUs)
	case PresenceUnprobed:
		r.absence.excluded = r.absence.backoffUs <= probeBackoffUs // the first attempt is immediate
	case PresenceMismatch:
		if !r.absence.confirmed {
			r.absence.confirmed = true
			a.confirmAbsent(n.ID)
			return true
		}
	}
	return false
}

// confirmAbsent clears the cached prefixes of a runner, and queues the runner to be
// reported to other nodes.
func (a *Admitter) confirmAbsent(id string) {
	a.Index.Reset(id)
	if len(a.confirmedAbsent) < maxPendingHints {
		a.confirmedAbsent = append(a.confirmedAbsent, id)
	}
}

// TakeAbsent returns the runners whose absence was confirmed since the last call.
func (a *Admitter) TakeAbsent() []string {
	ids := a.confirmedAbsent
	a.confirmedAbsent = nil
	return ids
}
