// The part of the judge that is about the configuration.

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

// checkChanges looks for two changes that were acknowledged on one base, and for one that
// was refused when it was sent again.
func (e *evaluator) checkChanges() {
	digestOn := map[int64]string{} // of the change acknowledged on a base
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

// checkRead judges a configuration that was read: it is one that was sent, and not older
// than what was acknowledged before.
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

// acknowledgedBefore is the newest version whose acknowledgement came before a moment.
func (e *evaluator) acknowledgedBefore(moment time.Time) int64 {
	var newest int64
	for _, c := range e.Changes {
		if c.Outcome == ChangeAcknowledged && c.Ended.Before(moment) {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// checkFinalReads wants the configuration from every controller at the end.
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

// nodeIncarnation is one life of a process.
type nodeIncarnation struct {
	node        string
	incarnation int
}

// checkProbes looks for routers that go back within one life, and for refusals that no
// version calls for.
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

// checkIncarnation goes through the probes of one life in order.
func (e *evaluator) checkIncarnation(probes []Probe) {
	var newest Probe // by which the router has served
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
