package doctor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/messages"
)

// Partitions returns lines about the state that is maintained through network partitions:
// the replicas of the tallies with their pending confirmations and unreachable peers,
// evacuated zones and the number of routers on which they are in force, runners that are
// warming up and the routers that send to them, and zones that routers cannot reach.
func Partitions(results []NodeResult) []string {
	return slices.Concat(tallyLines(results), evacuationLines(results), warmupLines(results), unreachableLines(results))
}

// Rollouts returns a line for the newest rollout of each service: its stage and the number of
// nodes that have it.
func Rollouts(results []NodeResult) []string {
	controllers, routers := conditionsOf(results, messages.Controller), conditionsOf(results, messages.Router)
	newest := map[string]messages.ServiceRollout{}
	for _, c := range slices.Concat(controllers, routers) {
		for _, r := range c.Partition.Rollouts {
			if current := newest[r.Service]; r.Number > current.Number || r.Number == current.Number && r.Stage >= current.Stage {
				newest[r.Service] = r
			}
		}
	}
	countMatching := func(nodes []*messages.Condition, r messages.ServiceRollout) (count int) {
		for _, c := range nodes {
			if slices.Contains(c.Partition.Rollouts, r) {
				count++
			}
		}
		return count
	}
	var lines []string
	for _, service := range slices.Sorted(maps.Keys(newest)) {
		r := newest[service]
		lines = append(lines, fmt.Sprintf("service %s to version %s: %s, %d in 1000 requests while it is tried; known to %d of %d controllers, in force on %d of %d routers",
			r.Service, r.Target, stageNames[r.Stage], r.SharePerMille, countMatching(controllers, r), len(controllers), countMatching(routers, r), len(routers)))
	}
	return lines
}

// stageNames are the printed names of the stages of a rollout (canary.Stage).
var stageNames = map[int]string{
	int(canary.Trial): "tried", int(canary.Shifting): "shifting", int(canary.Settled): "settled", int(canary.Reverted): "reverted",
}

// conditionsOf returns the conditions of the nodes of a role that answered, sorted by node.
func conditionsOf(results []NodeResult, role messages.Role) []*messages.Condition {
	var conditions []*messages.Condition
	for _, r := range results {
		if r.Condition != nil && r.Condition.Role == role {
			conditions = append(conditions, r.Condition)
		}
	}
	slices.SortFunc(conditions, func(a, b *messages.Condition) int { return strings.Compare(a.Node, b.Node) })
	return conditions
}

// tallyLines returns a line for each replica of the tallies. Replicas with the same adds have
// the same digest.
func tallyLines(results []NodeResult) []string {
	var lines []string
	for _, c := range conditionsOf(results, messages.Controller) {
		t := c.Partition.Tally
		line := fmt.Sprintf("tallies of %s: %d adds to %d tallies, digest %016x, %d bytes on disk", c.Node, t.Adds, t.Tallies, t.Digest, t.DiskBytes)
		if t.Unconfirmed > 0 {
			line += fmt.Sprintf(", %d wait for disks", t.Unconfirmed)
		}
		if t.Full {
			line += ", takes no more"
		}
		if t.Starting {
			line += ", still asks the others"
		}
		if len(t.Unreachable) > 0 {
			line += ", does not reach " + strings.Join(t.Unreachable, " ")
		}
		lines = append(lines, line)
	}
	return lines
}

// evacuationLines returns a line for each evacuated zone.
func evacuationLines(results []NodeResult) []string {
	controllers, routers := conditionsOf(results, messages.Controller), conditionsOf(results, messages.Router)
	countEvacuating := func(nodes []*messages.Condition, zone string) (count int) {
		for _, c := range nodes {
			if slices.Contains(c.Partition.Evacuated, zone) {
				count++
			}
		}
		return count
	}
	zones := map[string]bool{}
	for _, c := range slices.Concat(controllers, routers) {
		for _, zone := range c.Partition.Evacuated {
			zones[zone] = true
		}
	}
	var lines []string
	for zone := range zones {
		lines = append(lines, fmt.Sprintf("zone %s is evacuated: known to %d of %d controllers, in force on %d of %d routers", zone, countEvacuating(controllers, zone), len(controllers), countEvacuating(routers, zone), len(routers)))
	}
	slices.Sort(lines)
	return lines
}

// warmupLines returns a line for each runner that is warming up.
func warmupLines(results []NodeResult) []string {
	type warmup struct {
		leftUs  int64
		lenders int
		perS    float64
	}
	runners := map[string]warmup{}
	for _, c := range conditionsOf(results, messages.Router) {
		for _, w := range c.Partition.WarmingUp {
			known := runners[w.ID]
			known.leftUs = max(known.leftUs, w.LeftUs)
			if w.RatePerS > 0 {
				known.lenders++
				known.perS += w.RatePerS
			}
			runners[w.ID] = known
		}
	}
	var lines []string
	for id, w := range runners {
		lines = append(lines, fmt.Sprintf("runner %s warms up for %.1f s more: %d routers send to it, %.1f requests a second at most", id, float64(w.leftUs)/1e6, w.lenders, w.perS))
	}
	slices.Sort(lines)
	return lines
}

// unreachableLines returns a line for each pair of a zone with routers and a zone that they
// cannot reach.
func unreachableLines(results []NodeResult) []string {
	type pair struct{ from, to string }
	type seen struct {
		routers int
		sinceUs int64
	}
	pairs := map[pair]seen{}
	for _, c := range conditionsOf(results, messages.Router) {
		for _, z := range c.Partition.UnreachableZones {
			known := pairs[pair{c.Zone, z.Zone}]
			pairs[pair{c.Zone, z.Zone}] = seen{known.routers + 1, max(known.sinceUs, z.SinceUs)}
		}
	}
	var lines []string
	for p, s := range pairs {
		lines = append(lines, fmt.Sprintf("%d routers of zone %s have not reached zone %s for %.1f s", s.routers, p.from, p.to, float64(s.sinceUs)/1e6))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(a, b) })
	return lines
}
