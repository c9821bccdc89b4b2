// Evaluation of the configuration changes, reads and probes.

package soak

import (
	"net/http"
	"slices"
	"time"
)

func (e *evaluator) checkConfiguration() {
	e.checkChanges()
	for _, read := range e.Reads {
		e.checkRead(read)
	}
	e.checkFinalReads()
	e.checkProbes()
	for _, c := range e.Convergences {
		if !c.Complete {
			e.addViolation(RuleConfig, e.Calm, "%s doesn't serve by version %d after %s of calm", c.Node, c.Version, c.Took.Round(time.Millisecond))
		}
	}
}

// checkChanges reports two changes acknowledged on one base, a valid change that was refused,
// and a repeated change that was rejected after its acknowledgement.
func (e *evaluator) checkChanges() {
	digestOn := map[int64]string{} // digest of the acknowledged change by its base
	for _, c := range e.Changes {
		if c.Repeat && (c.Outcome == ChangeConflict || c.Outcome == ChangeRefused) {
			e.addViolation(RuleConfig, c.Ended, "version %d was acknowledged and, sent again, ended in a %s", c.Version, c.Outcome)
		}
		if c.Outcome == ChangeRefused {
			e.addViolation(RuleConfig, c.Ended, "version %d is valid and was refused", c.Version)
		}
		if c.Outcome != ChangeAcknowledged {
			continue
		}
		if other, taken := digestOn[c.Base]; taken && other != c.Digest {
			e.addViolation(RuleConfig, c.Ended, "version %d and another change were both acknowledged on version %d", c.Version, c.Base)
		}
		digestOn[c.Base] = c.Digest
	}
}

// checkRead checks that a configuration that was read had been submitted, was not rejected, and
// is not older than the newest version acknowledged before the read.
func (e *evaluator) checkRead(read Read) {
	if read.Status == http.StatusNotFound && e.acknowledgedBefore(read.Sent) > 0 {
		e.addViolation(RuleConfig, read.Sent, "%s has no configuration", read.Node)
	}
	if read.Status != http.StatusOK {
		return
	}
	if newest := e.acknowledgedBefore(read.Sent); read.Version < newest {
		e.addViolation(RuleConfig, read.Sent, "%s gives version %d after %d was acknowledged", read.Node, read.Version, newest)
	}
	wasSent := slices.ContainsFunc(e.Changes, func(c Change) bool { return c.Version == read.Version && c.Digest == read.Digest })
	if !wasSent {
		e.addViolation(RuleConfig, read.Sent, "%s gives a version %d that nobody sent", read.Node, read.Version)
	}
	wasRejected := wasSent && !slices.ContainsFunc(e.Changes, func(c Change) bool {
		return c.Digest == read.Digest && (c.Outcome == ChangeAcknowledged || c.Outcome == ChangeUnknown)
	})
	if wasRejected {
		e.addViolation(RuleConfig, read.Sent, "%s gives version %d, which was rejected", read.Node, read.Version)
	}
}

// acknowledgedBefore returns the newest version that was acknowledged before a time.
func (e *evaluator) acknowledgedBefore(moment time.Time) int64 {
	var newest int64
	for _, c := range e.Changes {
		if c.Outcome == ChangeAcknowledged && c.Ended.Before(moment) {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// checkFinalReads requires that every controller returns the configuration at the end.
func (e *evaluator) checkFinalReads() {
	last := map[string]Read{}
	for _, read := range e.Reads {
		if read.Final {
			last[read.Node] = read
		}
	}
	for node, read := range last {
		if read.Status != http.StatusOK {
			e.addViolation(RuleConfig, read.Sent, "%s doesn't give the configuration at the end: status %d", node, read.Status)
		}
	}
}

// nodeIncarnation identifies one incarnation of a process.
type nodeIncarnation struct {
	node        string
	incarnation int
}

// checkProbes reports routers whose version goes back within one incarnation, and denials of a
// key that every version contains.
func (e *evaluator) checkProbes() {
	probesByIncarnation := map[nodeIncarnation][]Probe{}
	for _, probe := range e.Probes {
		if probe.Status == http.StatusUnauthorized || probe.Status == http.StatusForbidden {
			e.addViolation(RuleDenied, probe.Ended, "%s answered %d to a key that every version has", probe.Node, probe.Status)
		}
		key := nodeIncarnation{probe.Node, probe.Life}
		probesByIncarnation[key] = append(probesByIncarnation[key], probe)
	}
	for _, probes := range probesByIncarnation {
		slices.SortFunc(probes, func(a, b Probe) int { return a.Sent.Compare(b.Sent) })
		e.checkIncarnation(probes)
	}
}

// checkIncarnation checks the probes of one incarnation in chronological order.
func (e *evaluator) checkIncarnation(probes []Probe) {
	var newest Probe // with the newest version that the router has served
	for _, probe := range probes {
		after := !newest.Ended.IsZero() && probe.Sent.After(newest.Ended)
		switch {
		case probe.Status/100 == 2 && after && probe.Version < newest.Version:
			e.addViolation(RuleConfig, probe.Ended, "%s serves by version %d after it served by %d", probe.Node, probe.Version, newest.Version)
		case probe.Status/100 == 2 && probe.Version > newest.Version:
			newest = probe
		case probe.Status == http.StatusNotFound && after && probe.Version == newest.Version && probe.Newest == newest.Version:
			e.addViolation(RuleConfig, probe.Ended, "%s has no route of version %d, by which it served", probe.Node, probe.Version)
		}
	}
}
