package doctor

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

func TestPartitionsListsReplicasEvacuationsWarmUpsAndZones(t *testing.T) {
	controller := func(node string, p messages.PartitionCondition) NodeResult {
		return NodeResult{Condition: &messages.Condition{Node: node, Role: messages.Controller, Partition: p}}
	}
	router := func(node string, p messages.PartitionCondition) NodeResult {
		return NodeResult{Condition: &messages.Condition{Node: node, Role: messages.Router, Zone: "a", Partition: p}}
	}
	lines := Partitions([]NodeResult{
		controller("c2", messages.PartitionCondition{Evacuated: []string{"b"}, Tally: messages.TallyCondition{Adds: 7, Tallies: 2, Digest: 10, DiskBytes: 300, Unconfirmed: 1, Full: true, Starting: true, Unreachable: []string{"10.0.0.3:1"}}}),
		controller("c1", messages.PartitionCondition{Tally: messages.TallyCondition{Adds: 8, Tallies: 2, Digest: 11, DiskBytes: 310}}),
		{},
		router("r1", messages.PartitionCondition{Evacuated: []string{"b"}, WarmingUp: []messages.WarmupCondition{{ID: "i-1", LeftUs: 2_000_000, RatePerS: 0.95}}, UnreachableZones: []messages.UnreachableZone{{Zone: "b", SinceUs: 3_000_000}}}),
		router("r2", messages.PartitionCondition{WarmingUp: []messages.WarmupCondition{{ID: "i-1", LeftUs: 2_100_000}}, UnreachableZones: []messages.UnreachableZone{{Zone: "b", SinceUs: 2_500_000}}}),
	})
	must.Eq(t, []string{
		"tallies of c1: 8 adds to 2 tallies, digest 000000000000000b, 310 bytes on disk",
		"tallies of c2: 7 adds to 2 tallies, digest 000000000000000a, 300 bytes on disk, 1 wait for disks, takes no more, still asks the others, does not reach 10.0.0.3:1",
		"zone b is evacuated: known to 1 of 2 controllers, in force on 1 of 2 routers",
		"runner i-1 warms up for 2.1 s more: 1 routers send to it, 0.9 requests a second at most",
		"2 routers of zone a have not reached zone b for 3.0 s",
	}, lines)
}

func TestExamineNodeWarnsOfFullReplicasAndUnreachableZones(t *testing.T) {
	problems := func(c messages.Condition) (out []string) {
		c.Node, c.HasDisk, c.Runners = "n1", true, 1
		for _, f := range examineNode(NodeResult{Condition: &c}, nil) {
			out = append(out, f.Problem)
		}
		return out
	}
	must.Eq(t, []string{"takes no new adds to tallies", "2 adds to tallies wait for disks; it does not reach [x:1]"},
		problems(messages.Condition{Role: messages.Controller, Partition: messages.PartitionCondition{Tally: messages.TallyCondition{Full: true, Unconfirmed: 2, Unreachable: []string{"x:1"}}}}))
	must.SliceContains(t, problems(messages.Condition{Role: messages.Router, Partition: messages.PartitionCondition{UnreachableZones: []messages.UnreachableZone{{Zone: "b", SinceUs: 4_500_000}, {Zone: "c", SinceUs: 1}}}}), "has not reached zone b for 4 s")
}

func TestRolloutsListsStageAndCountsOfNodes(t *testing.T) {
	trying := messages.ServiceRollout{Service: "s", Target: "v2", SharePerMille: 30, Number: 2}
	shifting := trying
	shifting.Stage = 1
	node := func(role messages.Role, list ...messages.ServiceRollout) NodeResult {
		return NodeResult{Condition: &messages.Condition{Role: role, Partition: messages.PartitionCondition{Rollouts: list}}}
	}
	lines := Rollouts([]NodeResult{node(messages.Controller, shifting), node(messages.Controller, trying), node(messages.Router, shifting), node(messages.Router, trying), node(messages.Router)})
	must.Eq(t, []string{"service s to version v2: shifting, 30 in 1000 requests while it is tried; known to 1 of 2 controllers, in force on 1 of 3 routers"}, lines)
}
