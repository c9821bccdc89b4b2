package compliance

import (
	"fmt"

	"beechtide.org/beechtide/internal/api"
)

// Violation is an entry that violates a rule, and the reason.
type Violation struct {
	Entry  Entry
	Reason string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s seq %d attempt %s runner %s: %s", v.Entry.Node, v.Entry.Seq, v.Entry.Attempt, v.Entry.Runner, v.Reason)
}

// CheckTrail returns the violations of a trail: a regulated request that was sent to
// a runner that the configuration in force did not allow, that was sent after it was
// answered, that ended twice, or that has no end. Configurations are matched by
// version; an entry with another version cannot be checked and is a violation as
// well.
func CheckTrail(entries []Entry, configs []api.Configuration) []Violation {
	checker := newTrailChecker(configs)
	for _, e := range entries {
		checker.checkEntry(e)
	}
	checker.reportMissingEnds()
	return checker.violations
}

// trailChecker tracks the state of each request while it reads a trail.
type trailChecker struct {
	rules            map[int64]versionRules // by configuration version
	received         map[string]Entry       // the entry of each request's receipt, by attempt ID
	receivedAttempts []string               // attempt IDs in order of receipt
	ends             map[string]Step        // how each request ended, by attempt ID
	violations       []Violation
}

// versionRules are the rules of one configuration.
type versionRules struct {
	policies *Policies
	regimes  map[string]string // by tenant; empty or missing: not regulated
}

// newTrailChecker returns a checker for the configurations that compile. The versions
// of the others count as unknown.
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

func (t *trailChecker) addViolation(e Entry, reason string) {
	t.violations = append(t.violations, Violation{e, reason})
}

func (t *trailChecker) checkEntry(e Entry) {
	switch e.Step {
	case Received:
		t.onReceived(e)
	case Sent:
		t.onSent(e)
	case Answered, Rejected, Cut:
		t.onEnded(e)
	default:
		t.addViolation(e, fmt.Sprintf("unknown step %q", e.Step))
	}
}

func (t *trailChecker) onReceived(e Entry) {
	if _, known := t.received[e.Attempt]; !known {
		t.receivedAttempts = append(t.receivedAttempts, e.Attempt)
	}
	t.received[e.Attempt] = e
}

func (t *trailChecker) onSent(e Entry) {
	if reason := t.sendViolation(e); reason != "" {
		t.addViolation(e, reason)
	}
	if t.ends[e.Attempt] == Answered {
		t.addViolation(e, "sent after it was answered")
	}
}

func (t *trailChecker) onEnded(e Entry) {
	if earlier, ended := t.ends[e.Attempt]; ended {
		t.addViolation(e, fmt.Sprintf("ended twice: %s and %s", earlier, e.Step))
	}
	t.ends[e.Attempt] = e.Step
}

func (t *trailChecker) reportMissingEnds() {
	for _, attempt := range t.receivedAttempts {
		if _, ended := t.ends[attempt]; !ended {
			t.addViolation(t.received[attempt], "its end is missing")
		}
	}
}

// sendViolation returns why the configuration in force did not allow sending a
// request to a runner; empty if it did.
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
