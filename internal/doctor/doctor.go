// Package doctor detects common faults of a running system and suggests a remedy for
// each to the operator.
//
// Collect requests the condition of the nodes over the transport; Examine derives
// findings from the results. Examine is pure: it reads no clock and sends nothing, and
// returns the same findings for the same results. Duties, Quotas, Retired, Partitions and
// Rollouts format parts of the results as lines of text. The package has no state and
// starts no goroutine; everything runs on the caller's goroutine.
package doctor

import (
	"cmp"
	"fmt"
	"slices"

	"beechtide.org/beechtide/internal/messages"
)

// Severity is the severity of a finding. Its text is part of the JSON output.
type Severity string

const (
	// Warning is a problem that does not impair the operation of the system.
	Warning Severity = "warning"
	// Fault is a problem that prevents a part of the system from working.
	Fault Severity = "fault"
)

// Finding is one problem and its remedy.
type Finding struct {
	Severity Severity `json:"severity"`
	Subject  string   `json:"about"` // the node, partition or file that has the problem
	Problem  string   `json:"what"`
	Remedy   string   `json:"do"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s; %s", f.Severity, f.Subject, f.Problem, f.Remedy)
}

// Exit statuses of the doctor command; 2 is for wrong use of the command line.
const (
	statusHealthy = 0
	statusWarning = 1
	statusFault   = 3
)

// ExitStatus returns the exit status of the doctor command for the findings: 0 for
// none, 1 for warnings only, 3 if there is a fault.
func ExitStatus(findings []Finding) int {
	status := statusHealthy
	for _, f := range findings {
		if f.Severity == Fault {
			return statusFault
		}
		status = statusWarning
	}
	return status
}

// Duties returns a line for each duty at the platform and for each zone for which runners
// are ordered, as reported by the controllers that hold the leases.
func Duties(results []NodeResult) []string {
	var lines []string
	for _, result := range results {
		c := result.Condition
		if c == nil {
			continue
		}
		for _, duty := range c.Duties {
			if duty.Holder == c.MemberID {
				lines = append(lines, dutyLine(c.Node, duty))
			}
		}
		for _, z := range c.Scaling {
			lines = append(lines, fmt.Sprintf("%s in %s: %d runners present, %d ordered, %.1f busy by demand, last order for %q", z.Service, z.Zone, z.Present, z.Ordered, z.Demand, z.Reason))
		}
	}
	return lines
}

// Quotas returns a line for each tenant with a limit whose requests are counted, as
// reported by the controllers that own the counts, sorted.
func Quotas(results []NodeResult) []string {
	var lines []string
	for _, result := range results {
		c := result.Condition
		if c == nil {
			continue
		}
		for _, q := range c.Quotas {
			successor := cmp.Or(q.Successor, "nobody")
			lines = append(lines, fmt.Sprintf("%s: counted by %s, successor %s, limit %.1f/s, %.1f tokens left, %d granted, %d denied", q.Tenant, c.Node, successor, q.RatePerS, q.Level, q.Granted, q.Denied))
		}
	}
	slices.Sort(lines)
	return lines
}

// Retired returns a line for each model and version bound with retired weights: the number
// of routers on which they are retired, of how many that answered, since when, and the
// runners and parts of prompts that remain.
func Retired(results []NodeResult) []string {
	type summary struct {
		nodes, runners, parts int
		sinceUs               int64
	}
	summaries, routers := map[messages.Target]*summary{}, 0
	for _, result := range results {
		c := result.Condition
		if c == nil || c.Role != messages.Router {
			continue
		}
		routers++
		for _, r := range c.Retired {
			key := messages.Target{Model: r.Model, Version: r.Before}
			if summaries[key] == nil {
				summaries[key] = &summary{}
			}
			s := summaries[key]
			s.nodes++
			s.runners, s.parts, s.sinceUs = max(s.runners, r.Runners), max(s.parts, r.Parts), max(s.sinceUs, r.SinceUs)
		}
	}
	var lines []string
	for key, s := range summaries {
		lines = append(lines, fmt.Sprintf("%s below %d: retired on %d of %d routers, first %.0f s ago; %d runners still have such weights, with %d parts of prompts", key.Model, key.Version, s.nodes, routers, float64(s.sinceUs)/1e6, s.runners, s.parts))
	}
	slices.Sort(lines)
	return lines
}

func dutyLine(node string, duty messages.DutyCondition) string {
	line := fmt.Sprintf("%s: held by %s under fence %d", duty.Name, node, duty.Fence)
	if duty.LastCallUs > 0 {
		line += fmt.Sprintf(", last call %.1f s ago, accepted: %t", float64(duty.LastCallUs)/1e6, duty.Accepted)
	}
	if duty.OverdueUs > 0 {
		line += fmt.Sprintf(", oldest window not reported ended %.1f s ago", float64(duty.OverdueUs)/1e6)
	}
	return line
}

// roleName returns the name of a role for the operator. The text of messages.Role is
// fixed by the wire format and differs from it.
func roleName(role messages.Role) string {
	switch role {
	case messages.Controller:
		return "controller"
	case messages.Router:
		return "router"
	default:
		return string(role)
	}
}

// nodeName returns the name and role of the node that a condition is from.
func nodeName(c *messages.Condition) string { return c.Node + " " + roleName(c.Role) }
