package compliance

import (
	"fmt"

	"beechtide.org/beechtide/internal/api"
)

// Violation is an entry that a correct trail does not hold.
type Violation struct {
	Entry  Entry
	Reason string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s seq %d attempt %s runner %s: %s", v.Entry.Node, v.Entry.Seq, v.Entry.Attempt, v.Entry.Runner, v.Reason)
}

// CheckTrail names each violation: a regulated request sent to a runner that
// the configuration in force did not allow, one that ended twice, one without
// an end. Configurations are matched by their version; an entry whose version is
// not among them cannot be checked and is a violation as well.
func CheckTrail(entries []Entry, configs []api.Configuration) []Violation {
	checker := newTrailChecker(configs)
	for _, e := range entries {
		checker.check(e)
	}
	checker.checkAllEnded()
	return checker.violations
}

// trailChecker follows the requests of a trail from entry to entry.
type trailChecker struct {
	rules      map[int64]versionRules // by version of the configuration
	received   map[string]Entry       // entry of each request, by its name
	order      []string               // names of requests, in order of arrival
	ends       map[string]Step        // how each request ended, by its name
	violations []Violation
}

// versionRules are the rules of one configuration.
type versionRules struct {
	policies *Policies
	regimes  map[string]string // by tenant; empty or missing: not regulated
}

// newTrailChecker takes the configurations that compile; an entry of any other
// is one of an unknown version.
func newTrailChecker(configs []api.Configuration) *trailChecker {
	rules := map[int64]versionRules{}
	for _, config := range configs {
		policies, err := Compile(config)
		if err != nil {
			continue
		}
		regimes := map[string]string{}
		for _, tenant := range config.Tenants {
			regimes[tenant.Name] = tenant.Regime
		}
		rules[config.Version] = versionRules{policies, regimes}
	}
	return &trailChecker{rules: rules, received: map[string]Entry{}, ends: map[string]Step{}}
}

func (t *trailChecker) report(e Entry, reason string) {
	t.violations = append(t.violations, Violation{e, reason})
}

func (t *trailChecker) check(e Entry) {
	switch e.Step {
	case Asked:
		t.onReceived(e)
	case Sent:
		t.onSent(e)
	case Answered, Rejected, Cut:
		t.onEnded(e)
	default:
		t.report(e, fmt.Sprintf("unknown step %q", e.Step))
	}
}

func (t *trailChecker) onReceived(e Entry) {
	if _, known := t.received[e.Attempt]; !known {
		t.order = append(t.order, e.Attempt)
	}
	t.received[e.Attempt] = e
}

func (t *trailChecker) onSent(e Entry) {
	if reason := t.sendViolation(e); reason != "" {
		t.report(e, reason)
	}
	if t.ends[e.Attempt] == Answered {
		t.report(e, "sent after it was answered")
	}
}

func (t *trailChecker) onEnded(e Entry) {
	if earlier, ended := t.ends[e.Attempt]; ended {
		t.report(e, fmt.Sprintf("ended twice: %s and %s", earlier, e.Step))
	}
	t.ends[e.Attempt] = e.Step
}

func (t *trailChecker) checkAllEnded() {
	for _, name := range t.order {
		if _, ended := t.ends[name]; !ended {
			t.report(t.received[name], "its end is missing")
		}
	}
}

// sendViolation tells what is wrong with sending a request to a runner, or ""
// where the configuration in force allowed it.
func (t *trailChecker) sendViolation(e Entry) string {
	rules, known := t.rules[e.Version]
	if !known {
		return fmt.Sprintf("configuration %d is not at hand", e.Version)
	}
	regime := rules.regimes[e.Tenant]
	if regime != e.Regime {
		return fmt.Sprintf("tenant %s has regime %q in version %d, not %q", e.Tenant, regime, e.Version, e.Regime)
	}
	if regime == "" {
		return ""
	}
	certificate, ok := rules.policies.Allows(regime, Runner{ID: e.Runner, Service: e.Service, Zone: e.Zone})
	if !ok {
		return fmt.Sprintf("not certified for %s in version %d", regime, e.Version)
	}
	if certificate != e.Certificate {
		return fmt.Sprintf("names certificate %d, version %d has %d", e.Certificate, e.Version, certificate)
	}
	return ""
}
