// Absent runners. A response 421 from a runner's address usually means that the instance
// has ended and the address belongs to another one. The runner is excluded from the
// candidates at the first such response, because it would appear to be the least loaded
// one for as long as it is registered. It becomes a candidate again with a newer
// registration (higher sequence or another address), or when a probe finds it there.
//
// A 421 may also mean that the runner's weights have another version than the request
// named. A probe distinguishes the two. Until then, only a share of a service's runners
// may be excluded at a time, so that many such responses do not exclude all of them. A
// confirmed absence is reported to the other nodes as a hint.

package admission

import (
	"beechtide.org/beechtide/internal/messages"
)

// Limits of absences and their probes. Times are in microseconds.
const (
	maxUnconfirmedShare = 0.5        // share of a service's runners that may be excluded without confirmation
	probeBackoffUs      = 250_000    // backoff after the first probe that does not find the instance
	maxProbeBackoffUs   = 16_000_000 // maximum backoff; it doubles with each probe
	presenceValidUs     = 2_000_000  // how long the result of a probe that found the instance is valid
	rejectionBackoffUs  = 150_000    // how long a runner is avoided after it rejected a request
	maxPendingHints     = 64         // maximum number of absent runners waiting to be reported to other nodes
	maxProbesPerCall    = 8          // maximum number of probes returned by one call of DueProbes
)

// Presence is what a probe found at a runner's address.
type Presence int

// Results of a probe.
const (
	PresenceUnknown   Presence = iota // no response, or one that does not identify an instance
	PresenceConfirmed                 // the instance itself
	PresenceMismatch                  // another instance
	PresenceUnprobed                  // the service has no probe: the next request shows whether the instance is present
)

// absence records whether a runner is excluded because it is missing at its address, and
// when to probe it.
type absence struct {
	excluded    bool
	confirmed   bool   // not only by a 421 that may have been caused by the weights version
	sequence    int64  // of the registration at the time of the 421
	addr        string // of that registration
	nextProbeUs int64  // when the next probe is due
	backoffUs   int64
	lastFoundUs int64 // when a probe last found the instance; 0: never
}

// observe applies the runner's current registration. A registration that is newer than
// the one at the time of the 421 ends the absence, unless it only marks the runner as
// stale.
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

// RecordWrongInstance records that a runner responded with 421. versionNamed is true if the
// request named a weights version, which may have caused the response. It reports whether
// the runner is now excluded from the candidates.
func (a *Admitter) RecordWrongInstance(adm *Admission, versionNamed bool, nowUs int64) bool {
	p := a.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	if r == nil || r.absence.excluded {
		return false
	}
	if r.record.Seq > adm.Runner.Seq || r.record.Addr != adm.Runner.Addr {
		return false // it has registered again since the request was admitted
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

// mayExcludeUnconfirmed reports whether one more runner may be excluded without
// confirmation of its absence.
func (p *pool) mayExcludeUnconfirmed() bool {
	unconfirmed := 0
	for _, id := range p.order {
		if a := &p.runners[id].absence; a.excluded && !a.confirmed {
			unconfirmed++
		}
	}
	return unconfirmed < max(int(maxUnconfirmedShare*float64(len(p.order))), 1)
}

// RunnerAbsent reports whether the runner of an admission has been excluded as absent.
func (a *Admitter) RunnerAbsent(adm *Admission) bool {
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

// RecordProbe applies the result of a probe at a runner's address. It reports whether the
// result has confirmed the runner's absence.
func (a *Admitter) RecordProbe(n messages.RunnerRecord, presence Presence, nowUs int64) (confirmed bool) {
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

// confirmAbsent clears the cached prefixes of a runner from the index, and queues the
// runner to be reported to the other nodes.
func (a *Admitter) confirmAbsent(id string) {
	a.Index.Reset(id)
	if len(a.confirmedAbsent) < maxPendingHints {
		a.confirmedAbsent = append(a.confirmedAbsent, id)
	}
}

// TakeConfirmedAbsent returns, and clears, the runners whose absence has been confirmed since the
// last call.
func (a *Admitter) TakeConfirmedAbsent() []string {
	ids := a.confirmedAbsent
	a.confirmedAbsent = nil
	return ids
}
