package doctor

import (
	"fmt"

	"beechtide.org/beechtide/internal/messages"
)

// Examine returns the problems found in the results, faults before warnings. A healthy
// system has no findings.
func Examine(results []NodeResult) []Finding {
	findings := examineReachability(results)
	if !anyAnswered(results) {
		return append(findings, Finding{Fault, "all", "no node answers", "check the seeds in the settings file and start a controller"})
	}
	if !anySeedAnswered(results) {
		findings = append(findings, Finding{Fault, "seeds", "no seed answers", "name running controllers as seeds: until then a node that starts cannot join"})
	}
	partitions := newPartitions(results)
	findings = append(findings, examineGroups(partitions, answeredMemberIDs(results))...)
	for _, result := range results {
		if result.Condition != nil {
			findings = append(findings, examineNode(result, partitions)...)
		}
	}
	return faultsFirst(findings)
}

// faultsFirst moves the faults before the warnings and preserves the order within each.
func faultsFirst(findings []Finding) []Finding {
	var faults, warnings []Finding
	for _, f := range findings {
		if f.Severity == Fault {
			faults = append(faults, f)
		} else {
			warnings = append(warnings, f)
		}
	}
	return append(faults, warnings...)
}

func anyAnswered(results []NodeResult) bool {
	for _, result := range results {
		if result.Condition != nil {
			return true
		}
	}
	return false
}

func anySeedAnswered(results []NodeResult) bool {
	for _, result := range results {
		if result.Seed && result.Condition != nil {
			return true
		}
	}
	return false
}

func answeredMemberIDs(results []NodeResult) map[string]bool {
	ids := map[string]bool{}
	for _, result := range results {
		if result.Condition != nil {
			ids[result.Condition.MemberID] = true
		}
	}
	return ids
}

func examineReachability(results []NodeResult) []Finding {
	var findings []Finding
	for _, result := range results {
		switch {
		case result.Condition != nil:
		case result.Seed:
			findings = append(findings, Finding{Warning, result.Addr, "seed does not answer", "start its controller, or name another seed in the settings"})
		default:
			findings = append(findings, Finding{Warning, result.Addr, "node that its peers know does not answer", "check that it runs and that its internal port can be reached from this machine"})
		}
	}
	return findings
}

// partition is one partition of the control state, merged from the conditions of the nodes
// that answered.
type partition struct {
	version      int64             // the newest version on any node
	group        []messages.Member // from the node with the newest version among those that report groups
	groupVersion int64
	hasGroup     bool // a node that reports groups answered; the group may be empty
}

// observe merges the version and group that one node reports for the partition.
func (p *partition) observe(version int64, groups [][]messages.Member, index int) {
	p.version = max(p.version, version)
	if index >= len(groups) {
		return // a router reports versions but no groups
	}
	if version > p.groupVersion || p.group == nil {
		p.group, p.groupVersion, p.hasGroup = groups[index], version, true
	}
}

func newPartitions(results []NodeResult) []partition {
	var partitions []partition
	for _, result := range results {
		if result.Condition == nil {
			continue
		}
		for index, version := range result.Condition.Versions {
			if index == len(partitions) {
				partitions = append(partitions, partition{})
			}
			partitions[index].observe(version, result.Condition.Groups, index)
		}
	}
	return partitions
}

func examineGroups(partitions []partition, answered map[string]bool) []Finding {
	var findings []Finding
	for index, p := range partitions {
		if !p.hasGroup {
			continue
		}
		subject := fmt.Sprintf("partition %d", index)
		missing := missingMembers(p.group, answered)
		aliveCount := len(p.group) - len(missing)
		switch {
		case len(p.group) == 0:
			findings = append(findings, Finding{Fault, subject, "no group is known", "if this is the first start, set bootstrap in the settings and start all seeds"})
		case aliveCount <= len(p.group)/2:
			findings = append(findings, Finding{Fault, subject, fmt.Sprintf("no majority: members %v do not answer", missing), "start as many of them as a majority needs, with their disks"})
		case len(missing) > 0:
			findings = append(findings, Finding{Warning, subject, fmt.Sprintf("members %v do not answer", missing), "start them again, or start a controller on a new machine"})
		}
	}
	return findings
}

func missingMembers(group []messages.Member, answered map[string]bool) []string {
	var missing []string
	for _, member := range group {
		if !answered[member.ID] {
			missing = append(missing, member.ID)
		}
	}
	return missing
}
