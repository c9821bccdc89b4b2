// The part of the judge that is about the configuration.

package soak

import (
	"net/http"
	"slices"
	"time"
)

func (j *judge) checkConfiguration() {
	j.checkChanges()
	for _, read := range j.Reads {
		j.checkRead(read)
	}
	j.checkFinalReads()
	j.checkProbes()
	for _, c := range j.Convergences {
		if !c.Complete {
			j.broken(RuleConfig, j.Calm, "%s doesn't serve by version %d after %s of calm", c.Node, c.Version, c.Took.Round(time.Millisecond))
		}
	}
}

// checkChanges looks for two changes that were acknowledged on one base, and for one that
// was refused when it was sent again.
func (j *judge) checkChanges() {
	digestOn := map[int64]string{} // of the change acknowledged on a base
	for _, c := range j.Changes {
		if c.Repeat && (c.Outcome == ChangeConflict || c.Outcome == ChangeRefused) {
			j.broken(RuleConfig, c.Ended, "version %d was acknowledged and, sent again, ended in a %s", c.Version, c.Outcome)
		}
		if c.Outcome == ChangeRefused {
			j.broken(RuleConfig, c.Ended, "version %d is valid and was refused", c.Version)
		}
		if c.Outcome != ChangeAcknowledged {
			continue
		}
		if other, taken := digestOn[c.Base]; taken && other != c.Digest {
			j.broken(RuleConfig, c.Ended, "version %d and another change were both acknowledged on version %d", c.Version, c.Base)
		}
		digestOn[c.Base] = c.Digest
	}
}

// checkRead judges a configuration that was read: it is one that was sent, and not older
// than what was acknowledged before.
func (j *judge) checkRead(read Read) {
	if read.Status == http.StatusNotFound && j.acknowledgedBefore(read.Sent) > 0 {
		j.broken(RuleConfig, read.Sent, "%s has no configuration", read.Node)
	}
	if read.Status != http.StatusOK {
		return
	}
	if newest := j.acknowledgedBefore(read.Sent); read.Version < newest {
		j.broken(RuleConfig, read.Sent, "%s gives version %d after %d was acknowledged", read.Node, read.Version, newest)
	}
	wasSent := slices.ContainsFunc(j.Changes, func(c Change) bool { return c.Version == read.Version && c.Digest == read.Digest })
	if !wasSent {
		j.broken(RuleConfig, read.Sent, "%s gives a version %d that nobody sent", read.Node, read.Version)
	}
	wasRejected := wasSent && !slices.ContainsFunc(j.Changes, func(c Change) bool {
		return c.Digest == read.Digest && (c.Outcome == ChangeAcknowledged || c.Outcome == ChangeUnknown)
	})
	if wasRejected {
		j.broken(RuleConfig, read.Sent, "%s gives version %d, which was rejected", read.Node, read.Version)
	}
}

// acknowledgedBefore is the newest version whose acknowledgement came before a moment.
func (j *judge) acknowledgedBefore(moment time.Time) int64 {
	var newest int64
	for _, c := range j.Changes {
		if c.Outcome == ChangeAcknowledged && c.Ended.Before(moment) {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// checkFinalReads wants the configuration from every controller at the end.
func (j *judge) checkFinalReads() {
	last := map[string]Read{}
	for _, read := range j.Reads {
		if read.Final {
			last[read.Node] = read
		}
	}
	for node, read := range last {
		if read.Status != http.StatusOK {
			j.broken(RuleConfig, read.Sent, "%s doesn't give the configuration at the end: status %d", node, read.Status)
		}
	}
}

// nodeLife is one life of a process.
type nodeLife struct {
	node string
	life int
}

// checkProbes looks for routers that go back within one life, and for refusals that no
// version calls for.
func (j *judge) checkProbes() {
	lives := map[nodeLife][]Probe{}
	for _, probe := range j.Probes {
		if probe.Status == http.StatusUnauthorized || probe.Status == http.StatusForbidden {
			j.broken(RuleDenied, probe.Ended, "%s answered %d to a key that every version has", probe.Node, probe.Status)
		}
		key := nodeLife{probe.Node, probe.Life}
		lives[key] = append(lives[key], probe)
	}
	for _, probes := range lives {
		slices.SortFunc(probes, func(a, b Probe) int { return a.Sent.Compare(b.Sent) })
		j.checkLife(probes)
	}
}

// checkLife goes through the probes of one life in order.
func (j *judge) checkLife(probes []Probe) {
	var newest Probe // by which the router has served
	for _, probe := range probes {
		after := !newest.Ended.IsZero() && probe.Sent.After(newest.Ended)
		switch {
		case probe.Status/100 == 2 && after && probe.Version < newest.Version:
			j.broken(RuleConfig, probe.Ended, "%s serves by version %d after it served by %d", probe.Node, probe.Version, newest.Version)
		case probe.Status/100 == 2 && probe.Version > newest.Version:
			newest = probe
		case probe.Status == http.StatusNotFound && after && probe.Version == newest.Version && probe.Newest == newest.Version:
			j.broken(RuleConfig, probe.Ended, "%s has no route of version %d, by which it served", probe.Node, probe.Version)
		}
	}
}
