package doctor

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

// resultsOfHolder returns the result of a controller that holds the lease of a duty.
func resultsOfHolder(duty messages.DutyCondition) []NodeResult {
	duty.Name, duty.Holder, duty.Fence = "metering", "d/x", 4
	return []NodeResult{{Addr: "d", Seed: true, Condition: &messages.Condition{
		Node: "d", Role: messages.Controller, Addr: "d", MemberID: "d/x", HasDisk: true, Runners: 1,
		Duties:  []messages.DutyCondition{duty, {Name: "scaling", Holder: "e/y", Fence: 2, OverdueUs: 1 << 40}},
		Scaling: []messages.ScalingCondition{{Service: "s", Zone: "z", Present: 4, Ordered: 6, Demand: 2.5, Reason: "demand"}},
	}}}
}

func TestExamineWarnsOfOverdueUsageAndRejectedCalls(t *testing.T) {
	must.SliceEmpty(t, Examine(resultsOfHolder(messages.DutyCondition{OverdueUs: overdueUsageUs, LastCallUs: 5, Accepted: true})))
	findings := Examine(resultsOfHolder(messages.DutyCondition{OverdueUs: overdueUsageUs + 1, LastCallUs: 5, Accepted: true}))
	must.Len(t, 1, findings)
	must.StrContains(t, findings[0].Problem, "metering")
	findings = Examine(resultsOfHolder(messages.DutyCondition{LastCallUs: 5}))
	must.Len(t, 1, findings)
	must.StrContains(t, findings[0].Problem, "fence 4")
}

func TestDutiesListsDutiesOfHolders(t *testing.T) {
	must.Eq(t, []string{
		"metering: held by d under fence 4, last call 2.5 s ago, accepted: true, oldest window not reported ended 3.0 s ago",
		`s in z: 4 runners present, 6 ordered, 2.5 busy by demand, last order for "demand"`,
	}, Duties(resultsOfHolder(messages.DutyCondition{LastCallUs: 2_500_000, Accepted: true, OverdueUs: 3_000_000})))
}
