package soak

import (
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/load"
	"beechtide.org/beechtide/internal/standin"
)

// evacuatedEvidence contains an evacuation of the zone of runner r2 from 10 s to 20 s, in calm.
func evacuatedEvidence() Evidence {
	return Evidence{
		Faulty: at(5000), Calm: at(9000),
		EvacuationEvidence: EvacuationEvidence{
			Evacuations: []Evacuation{{Zone: "b", Acknowledged: at(10000), Ended: at(20000), Returned: at(20100), Calm: true}},
			RunnerZones: map[string]string{"r1": "a", "r2": "b"},
		},
	}
}

// addRun adds a request that begins to run at a runner.
func addRun(e *Evidence, runner string, ms int) {
	run := standin.Run{Attempt: "x" + runner, Runner: runner, Path: "/pay/x", Tenant: tenantName, Seal: "s" + runner, Began: at(ms)}
	e.Runs = append(e.Runs, run)
	e.Records = append(e.Records, load.Record{Attempt: run.Attempt, Kind: load.Kind{Path: run.Path}, Sent: at(ms), Ended: at(ms + 10), Outcome: load.Answered, Status: 200, Seal: run.Seal})
}

func TestEvaluateEvacuationsReportsBrokenRules(t *testing.T) {
	const early, late = 10000 + evacuateMs - 100, 15000
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
		want   []Rule
	}{
		{"no request", func(*Evidence) {}, nil},
		{"request in another zone", func(e *Evidence) { addRun(e, "r1", late) }, nil},
		{"request within the bound", func(e *Evidence) { addRun(e, "r2", early) }, nil},
		{"request after the bound", func(e *Evidence) { addRun(e, "r2", late) }, []Rule{RuleEvacuation}},
		{"request after the end", func(e *Evidence) { addRun(e, "r2", 21000) }, nil},
		{"request beside a paused controller", func(e *Evidence) {
			addRun(e, "r2", late)
			e.Spans = append(e.Spans, span(PauseController, "controller-0", late-2000, late-1000))
		}, nil},
		{"zone not used again", func(e *Evidence) { addRun(e, "r2", 1000) }, []Rule{RuleEvacuation}},
		{"memory over the limit", func(e *Evidence) {
			e.MemoryPeaks = []MemoryPeak{{Node: "router-0", Bytes: 161 << 20, Limit: memoryMB << 20}}
		}, []Rule{RuleMemory}},
		{"memory within the limit", func(e *Evidence) {
			e.MemoryPeaks = []MemoryPeak{{Node: "router-0", Bytes: 159 << 20, Limit: memoryMB << 20}}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			evidence := evacuatedEvidence()
			c.change(&evidence)
			var broken []Rule
			for _, violation := range Evaluate(evidence) {
				broken = append(broken, violation.Rule)
			}
			must.Eq(t, c.want, broken)
		})
	}
}
