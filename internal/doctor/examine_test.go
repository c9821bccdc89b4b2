package doctor

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/messages"
)

const (
	requestedUs = 1_000_000 // the doctor's time of day
	millisecond = 1_000     // in microseconds
)

// healthyResults returns the results of a healthy system: the controllers a, b and c,
// which are seeds and form the group of the only partition, and the router x.
func healthyResults() []NodeResult {
	group := []messages.Member{{ID: "a/0", Addr: "a"}, {ID: "b/0", Addr: "b"}, {ID: "c/0", Addr: "c"}}
	var results []NodeResult
	for _, addr := range []string{"a", "b", "c"} {
		results = append(results, NodeResult{
			Addr: addr, Role: messages.Controller, Seed: true,
			RequestedUs: requestedUs, RoundTripUs: 2 * millisecond,
			Condition: &messages.Condition{
				Node: addr, Role: messages.Controller, Addr: addr, MemberID: addr + "/0",
				TimeUs: requestedUs + millisecond, Versions: []int64{4}, Groups: [][]messages.Member{group},
				HasDisk: true, SaveUs: 900, Runners: 3,
			},
		})
	}
	return append(results, NodeResult{
		Addr: "x", Role: messages.Router, RequestedUs: requestedUs,
		Condition: &messages.Condition{
			Node: "x", Role: messages.Router, Addr: "x", TimeUs: requestedUs, Versions: []int64{4}, Runners: 3,
		},
	})
}

func TestExamineHealthySystemHasNoFindings(t *testing.T) {
	must.SliceEmpty(t, Examine(healthyResults()))
	must.Eq(t, 0, ExitStatus(nil))
}

func TestExamineAcceptsFewSnapshotsAndDisklessNonMember(t *testing.T) {
	results := healthyResults()
	results[3].Condition.Wholes, results[3].Condition.Changes = 30, 100_000
	results = append(results, NodeResult{
		Addr: "d", Role: messages.Controller, RequestedUs: requestedUs,
		Condition: &messages.Condition{
			Node: "d", Role: messages.Controller, Addr: "d", MemberID: "d/x", TimeUs: requestedUs,
			Versions: []int64{4}, Groups: results[0].Condition.Groups, Runners: 3,
		},
	})
	must.SliceEmpty(t, Examine(results), must.Sprint("few snapshots relative to changes, and a controller without a disk that is in no group"))
}

func TestExamineReportsEachProblem(t *testing.T) {
	for _, c := range []struct {
		want   string
		status int
		damage func([]NodeResult)
	}{
		{"seed does not answer", 1, func(r []NodeResult) { r[2].Condition = nil }},
		{"members [c/0] do not answer", 1, func(r []NodeResult) { r[2].Condition = nil }},
		{"a repair waits for members [d/1]", 1, func(r []NodeResult) { r[1].Condition.Unconfirmed = []string{"d/1"} }},
		{"no majority", 3, func(r []NodeResult) { r[1].Condition, r[2].Condition = nil, nil }},
		{"no node answers", 3, func(r []NodeResult) {
			for i := range r {
				r[i].Condition = nil
			}
		}},
		{"no seed answers", 3, func(r []NodeResult) { r[0].Condition, r[1].Condition, r[2].Condition = nil, nil, nil }},
		{"that its peers know does not answer", 1, func(r []NodeResult) { r[3].Condition = nil }},
		{"no group is known", 3, func(r []NodeResult) {
			for i := range 3 {
				r[i].Condition.Groups = [][]messages.Member{{}}
			}
		}},
		{"partition 0 is at version 3, other nodes have 4", 1, func(r []NodeResult) { r[3].Condition.Versions[0] = 3 }},
		{"in memory only", 1, func(r []NodeResult) { r[0].Condition.HasDisk = false }},
		{"last write to disk failed: full", 1, func(r []NodeResult) { r[0].Condition.SaveFault = "full" }},
		{"last write to disk took 900 ms", 1, func(r []NodeResult) { r[0].Condition.SaveUs = 900_000 }},
		{"members [b/0] do not answer", 1, func(r []NodeResult) { r[1].Condition.MemberID = "b/new" }},
		{"a controller: knows no runner", 1, func(r []NodeResult) { r[0].Condition.Runners = 0 }},
		{"heartbeats of runner r1 are missing", 1, func(r []NodeResult) { r[0].Condition.Stale = []string{"r1"} }},
		{"cache events of runner r1", 1, func(r []NodeResult) { r[0].Condition.Unread = []string{"r1"} }},
		{"x router: thresholds of runner r1", 1, func(r []NodeResult) { r[3].Condition.Blind = []string{"r1"} }},
		{"needed 30 snapshots beside 900", 1, func(r []NodeResult) { r[3].Condition.Wholes, r[3].Condition.Changes = 30, 900 }},
		{"2 messages that it could not decode", 1, func(r []NodeResult) { r[3].Condition.Malformed = 2 }},
		{"x router: violated the invariant some_rule 2 times", 3, func(r []NodeResult) {
			r[3].Condition.Violations = []messages.ViolationCount{{Name: "some_rule", Count: 2}}
		}},
		{"2000 ms off", 1, func(r []NodeResult) { r[3].Condition.TimeUs += 2_000 * millisecond }},
	} {
		t.Run(c.want, func(t *testing.T) {
			results := healthyResults()
			c.damage(results)
			findings := Examine(results)
			text := ""
			for _, f := range findings {
				text += f.String() + "\n"
				must.NotEq(t, "", f.Remedy)
			}
			must.StrContains(t, text, c.want)
			must.Eq(t, c.status, ExitStatus(findings))
		})
	}
}
