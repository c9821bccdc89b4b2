package admission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/canary"
	"beechtide.org/beechtide/internal/messages"
)

// newRolloutAdmitter returns an admitter with the given numbers of runners of the old and the
// target version of a service, and a rollout in the given stage.
func newRolloutAdmitter(stage canary.Stage, old, updated int) *Admitter {
	a := New(Defaults, "a", 1)
	var records []messages.RunnerRecord
	for i := range old {
		records = append(records, messages.RunnerRecord{ID: fmt.Sprint("old", i), Service: "s", Addr: fmt.Sprint("o", i), Zone: "a", Capacity: 8, Version: "v1"})
	}
	for i := range updated {
		records = append(records, messages.RunnerRecord{ID: fmt.Sprint("new", i), Service: "s", Addr: fmt.Sprint("n", i), Zone: "a", Capacity: 8, Version: "v2"})
	}
	a.SetService("s", records, 100_000, 0)
	a.SetRollouts([]messages.ServiceRollout{{Service: "s", Target: "v2", Stage: int(stage), SharePerMille: 100, Number: 1}}, nil)
	return a
}

// candidatesByVersion returns the number of candidates for a request by software version.
func candidatesByVersion(a *Admitter, request Request) map[string]int {
	out := map[string]int{}
	for _, c := range a.Candidates(request, 1) {
		out[a.pool("s").runners[c.ID].record.Version]++
	}
	return out
}

func TestRolloutStageSelectsCandidateVersions(t *testing.T) {
	request, canaryRequest := Request{Service: "s", TokensIn: 10}, Request{Service: "s", TokensIn: 10, Canary: true}
	for _, c := range []struct {
		name                          string
		stage                         canary.Stage
		old, updated                  int
		usualVersions, canaryVersions map[string]int
	}{
		{"tried on few runners", canary.Trial, 40, 40, map[string]int{"v1": 40}, map[string]int{"v2": 2}},
		{"tried without runners", canary.Trial, 40, 0, map[string]int{"v1": 40}, map[string]int{"v1": 40}},
		{"shifting", canary.Shifting, 4, 4, map[string]int{"v2": 4}, map[string]int{"v2": 4}},
		{"shifting without runners", canary.Shifting, 4, 0, map[string]int{"v1": 4}, map[string]int{"v1": 4}},
		{"settled", canary.Settled, 4, 4, map[string]int{"v2": 4}, map[string]int{"v2": 4}},
		{"reverted", canary.Reverted, 4, 4, map[string]int{"v1": 4}, map[string]int{"v1": 4}},
		{"reverted, and no other is left", canary.Reverted, 0, 4, map[string]int{}, map[string]int{}},
	} {
		a := newRolloutAdmitter(c.stage, c.old, c.updated)
		must.Eq(t, c.usualVersions, candidatesByVersion(a, request), must.Sprint(c.name))
		must.Eq(t, c.canaryVersions, candidatesByVersion(a, canaryRequest), must.Sprint(c.name))
	}
}

// Guards against EXPOSURE: a version was reverted, and the next order made its runners count as old, good
// ones while they still ran.
func TestRevertedVersionGetsNothingDuringTheNextRollout(t *testing.T) {
	for stage := canary.Trial; stage <= canary.Reverted; stage++ {
		a := newRolloutAdmitter(stage, 4, 4)
		next := []messages.ServiceRollout{{Service: "s", Target: "v3", Stage: int(stage), SharePerMille: 100, Number: 2}}
		a.SetRollouts(next, []messages.RevertedVersion{{Service: "s", Version: "v2"}, {Service: "other", Version: "v1"}})
		for _, request := range []Request{{Service: "s", TokensIn: 10}, {Service: "s", TokensIn: 10, Canary: true}} {
			must.Eq(t, map[string]int{"v1": 4}, candidatesByVersion(a, request), must.Sprint(stage))
		}
		must.False(t, a.VersionAllowed(&Admission{service: "s", Runner: messages.RunnerRecord{Version: "v2"}}))
		must.True(t, a.VersionAllowed(&Admission{service: "s", Runner: messages.RunnerRecord{Version: "v1"}}))
	}
}

func TestCanaryShareIsDrawnOnlyWhileVersionIsTried(t *testing.T) {
	const draws = 10_000
	for stage, share := range map[canary.Stage]int{canary.Trial: draws / 10, canary.Shifting: 0, canary.Reverted: 0} {
		a, drawn := newRolloutAdmitter(stage, 4, 4), 0
		for range draws {
			if a.DrawCanary("s") {
				drawn++
			}
		}
		must.Between(t, share*9/10, drawn, share*11/10, must.Sprint(stage))
	}
}

// If nodes chose different runners, the load would be spread over more of them, and the version
// would be tried under less load than it has to serve later.
func TestNodesChooseTheSameCanaryRunners(t *testing.T) {
	canaryRequest := Request{Service: "s", TokensIn: 10, Canary: true}
	ids := func(seed uint64) (out []string) {
		a := newRolloutAdmitter(canary.Trial, 40, 40)
		a.Zone = fmt.Sprint("zone", seed)
		for _, c := range a.Candidates(canaryRequest, 1) {
			out = append(out, c.ID)
		}
		return out
	}
	must.Eq(t, ids(1), ids(2))
}

func TestOutcomesAreCountedByVersionAndClass(t *testing.T) {
	a := newRolloutAdmitter(canary.Trial, 1, 1)
	end := func(isCanary, succeeded bool, firstTokenUs int64) {
		request := Request{Service: "s", TokensIn: 100, Canary: isCanary, Class: "500 ms", TimeLeftUs: 1_000_000}
		decision := a.Submit(request, 1000)
		must.NotNil(t, decision.Admission)
		if succeeded {
			a.RecordFirstToken(decision.Admission, 1000+firstTokenUs)
		}
		a.RecordOutcome(decision.Admission, succeeded, 1000+firstTokenUs)
		a.Release(decision.Admission, true, 1000+firstTokenUs)
	}
	end(true, true, 10_000)
	end(true, true, 5_000_000)
	end(true, false, 10_000)
	end(false, true, 10_000)
	evidence := canary.Evidence{}
	for id, load := range a.OwnLoads(2000) {
		canary.Collect(evidence, a.Rollouts()[0], id, load)
	}
	must.Eq(t, canary.Evidence{
		canary.AllRequests: {New: canary.Outcome{Answers: 3, Bad: 1}, Baseline: canary.Outcome{Answers: 1}},
		"500 ms failed":    {New: canary.Outcome{Answers: 3, Bad: 1}, Baseline: canary.Outcome{Answers: 1}},
		"500 ms slow":      {New: canary.Outcome{Answers: 2, Bad: 1}, Baseline: canary.Outcome{Answers: 1}},
	}, evidence)
	a.SetRollouts([]messages.ServiceRollout{{Service: "s", Target: "v2", Stage: int(canary.Settled), Number: 1}}, nil)
	for id := range a.OwnLoads(2000) {
		_, ok := canary.ParseKey(id)
		must.False(t, ok, must.Sprint("outcomes must not be published after the end of the rollout"))
	}
}
