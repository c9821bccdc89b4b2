// Absent runners. An instance that answers 421 at its address is not there: it has
// ended, and the address belongs to another one now. It leaves the candidates at the
// first such response, because it would look the least loaded of all for as long as it
// is listed. It comes back by a newer registration (higher sequence, or another
// address), or when a probe finds it there. A 421 may also mean that the runner's
// weights have another version than the request expected; a probe tells the two apart,
// and until then only a part of a service's runners may be out at once, so that many
// such responses do not empty a service. A confirmed absence is reported to other
// nodes as a hint.

package admission

import (
	"beechtide.org/beechtide/internal/messages"
)

// Values of the absence.
const (
	unprovenPart = 0.5        // of a service's runners, how many may be out before a probe has spoken
	probeFirstUs = 250_000    // pause after the first probe that did not find the instance
	probeMostUs  = 16_000_000 // and at most; it doubles with each
	provenUs     = 2_000_000  // how long a probe that found the instance vouches for it
	turnedAwayUs = 150_000    // how long a runner that turned a request away has no place
	hintsAtOnce  = 64         // runners that wait to be told to others
	probesAtOnce = 8          // probes handed out at one time
)

// Presence is what a probe found at a runner's address.
type Presence int

// What a probe may find.
const (
	Unknown   Presence = iota // no answer, or one that names nobody
	Here                      // the instance itself
	Elsewhere                 // another instance
	Unprobed                  // the service has no probe: a request has to find out
)

// absence is what is known of a runner's being there.
type absence struct {
	out      bool
	proven   bool   // it is not only a 421 that may have meant the weights
	sequence int64  // of the registration held when it left
	addr     string // of that registration
	probeUs  int64  // when the next probe is due
	pauseUs  int64
	foundUs  int64 // when a probe last found it; 0: never
}

// hear takes the runner's registration. One that is newer than the one the
// runner left by ends the absence, unless it only says that the runner is silent.
func (a *absence) hear(n messages.RunnerRecord) {
	if !a.out {
		return
	}
	if n.Addr != a.addr || n.Seq > a.sequence && !n.Stale {
		*a = absence{}
		return
	}
	a.sequence = max(a.sequence, n.Seq)
}

// WrongInstance notes that a runner answered 421. expected tells whether the
// request named a version of the weights, so that the answer may be about that.
// It tells whether the runner has left the choice by it.
func (a *Admitter) WrongInstance(adm *Admission, expected bool, nowUs int64) bool {
	p := a.pool(adm.service)
	r := p.runners[adm.Runner.ID]
	if r == nil || r.absence.out {
		return false
	}
	if r.note.Seq > adm.Runner.Seq || r.note.Addr != adm.Runner.Addr {
		return false // it has registered anew since the request was on its way
	}
	vouched := r.absence.foundUs > 0 && nowUs-r.absence.foundUs < provenUs
	if expected && (vouched || !p.mayDoubt()) {
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+turnedAwayUs)
		return false
	}
	pauseUs := r.absence.pauseUs
	r.absence = absence{out: true, proven: !expected, sequence: r.note.Seq, addr: r.note.Addr, pauseUs: pauseUs, probeUs: nowUs + pauseUs}
	if !expected {
		a.surelyAbsent(r.note.ID)
	}
	return true
}

// mayDoubt tells whether one more runner may leave on an unproven word.
func (p *pool) mayDoubt() bool {
	unproven := 0
	for _, id := range p.order {
		if a := &p.runners[id].absence; a.out && !a.proven {
			unproven++
		}
	}
	return unproven < max(int(unprovenPart*float64(len(p.order))), 1)
}

// Absent tells whether the runner of an admission has left the choice since.
func (a *Admitter) Absent(adm *Admission) bool {
	r := a.pool(adm.service).runners[adm.Runner.ID]
	return r != nil && r.absence.out
}

// DueProbes gives the registrations of absent runners whose probe is due, and
// whether any runner is absent at all.
func (a *Admitter) DueProbes(nowUs int64) (due []messages.RunnerRecord, any bool) {
	for _, p := range a.pools {
		for _, id := range p.order {
			r := p.runners[id]
			if !r.absence.out {
				continue
			}
			any = true
			if r.absence.probeUs > nowUs || len(due) >= probesAtOnce {
				continue
			}
			r.absence.pauseUs = min(max(2*r.absence.pauseUs, probeFirstUs), probeMostUs)
			r.absence.probeUs = nowUs + r.absence.pauseUs
			due = append(due, r.note)
		}
	}
	return due, any
}

// Found takes what a probe found at the address of a runner. It tells whether the
// runner's absence has become sure by it.
func (a *Admitter) Found(n messages.RunnerRecord, what Presence, nowUs int64) (sure bool) {
	r := a.pool(n.Service).runners[n.ID]
	if r == nil || !r.absence.out || r.note.Addr != n.Addr {
		return false
	}
	switch what {
	case Here:
		r.absence = absence{foundUs: nowUs}
		r.avoidUntilUs = max(r.avoidUntilUs, nowUs+turnedAwayUs)
	case Unprobed:
		r.absence.out = r.absence.pauseUs <= probeFirstUs // the first look is at once
	case Elsewhere:
		if !r.absence.proven {
			r.absence.proven = true
			a.surelyAbsent(n.ID)
			return true
		}
	}
	return false
}

// surelyAbsent forgets what the runner kept and notes it for others.
func (a *Admitter) surelyAbsent(id string) {
	a.Index.Reset(id)
	if len(a.absent) < hintsAtOnce {
		a.absent = append(a.absent, id)
	}
}

// TakeAbsent gives the runners that were surely not at their address and have
// not been given before.
func (a *Admitter) TakeAbsent() []string {
	ids := a.absent
	a.absent = nil
	return ids
}
